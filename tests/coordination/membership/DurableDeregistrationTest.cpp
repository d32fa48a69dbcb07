// Tests what members that store deregistrations confirm, and what they know after all processes
// were killed.
#include "coordination/membership/GossipFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace lavenderthread::coordination::membership {

namespace {

using endpoints::EndpointPhase;
using endpoints::EndpointRecord;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t nodes = 18;
constexpr std::size_t storing = 5; // the first ones
constexpr std::uint64_t born = 7;
const state::EndpointId endpoint("endpoint-1");

EndpointRecord record(EndpointPhase phase, const state::VmId &home)
{
    EndpointRecord made{endpoint, born, phase == EndpointPhase::Left ? 2U : 1U, 1, phase, home};
    state::EndpointDescription description{endpoint, {"10.0.0.9", 1}};
    description.incarnation = born;
    made.description = std::make_shared<const state::EndpointDescription>(description);
    return made;
}

FleetSettings settings()
{
    FleetSettings chosen{.nodes = nodes, .loss = 0.05};
    chosen.adjust = [](MembershipSettings &each) {
        for (std::size_t node = 0; node < storing; ++node) {
            if (each.self == GossipFleet::idOf(node))
                each.storesDeregistrations = true;
        }
    };
    return chosen;
}

} // namespace

class DurableDeregistrationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DurableDeregistrationTest);
    CPPUNIT_TEST(confirmationWaitsUntilItIsStored);
    CPPUNIT_TEST(eachIsStoredOnce);
    CPPUNIT_TEST(restoredDeregistrationOutlastsAKillOfAll);
    CPPUNIT_TEST_SUITE_END();

    static void publish(GossipFleet &fleet, std::size_t node, EndpointPhase phase)
    {
        fleet.perform(node,
                      fleet.at(node).publish(record(phase, GossipFleet::idOf(node)), fleet.now()));
    }

public:
    // Guards against the acknowledgement of a deregistration that is only in the memory of members
    // which could keep it.
    void confirmationWaitsUntilItIsStored()
    {
        GossipFleet fleet(settings());
        fleet.run(seconds(3));
        publish(fleet, nodes - 1, EndpointPhase::Live);
        fleet.run(seconds(1));
        publish(fleet, nodes - 1, EndpointPhase::Left);
        fleet.run(seconds(2));
        CPPUNIT_ASSERT(!fleet.at(nodes - 1).isDeregisteredEverywhere(endpoint));
        CPPUNIT_ASSERT(fleet.at(nodes - 1).isDeregistrationStored(endpoint)); // it stores none
        for (std::size_t node = 0; node < storing; ++node) {
            CPPUNIT_ASSERT(!fleet.at(node).isDeregistrationStored(endpoint));
            fleet.at(node).recordStored({{endpoint, born}});
            CPPUNIT_ASSERT(fleet.at(node).isDeregistrationStored(endpoint));
        }
        fleet.run(seconds(1));
        CPPUNIT_ASSERT(fleet.at(nodes - 1).isDeregisteredEverywhere(endpoint));
    }

    // Guards against a write with each of the many times that a member hears of a deregistration.
    void eachIsStoredOnce()
    {
        GossipFleet fleet(settings());
        fleet.run(seconds(3));
        Membership &member = fleet.at(0);
        std::size_t asked = 0;
        const EndpointRecord left = record(EndpointPhase::Left, GossipFleet::idOf(1));
        GossipMessage news;
        news.kind = GossipKind::News;
        news.cluster = fleet.settingsOf(0).cluster;
        news.sender = GossipFleet::idOf(1);
        news.senderIncarnation = fleet.settingsOf(1).incarnation;
        news.endpointRecords = {left};
        for (int times = 0; times < 3; ++times)
            asked += member.receive(news, GossipFleet::addressOf(1), fleet.now())
                             .deregistrations.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked);
        asked += member.publish(record(EndpointPhase::Left, GossipFleet::idOf(0)), fleet.now())
                         .deregistrations.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked);
    }

    // Guards against an announcement that was on its way when all processes were killed and puts an
    // endpoint into use again that had left; also where it comes to a member that has lost its
    // disk.
    void restoredDeregistrationOutlastsAKillOfAll()
    {
        for (const std::size_t knowing : {std::size_t(1), storing}) {
            GossipFleet fleet(settings());
            fleet.run(seconds(3));
            for (std::size_t node = 0; node < nodes; ++node)
                fleet.kill(node);
            fleet.run(seconds(1));
            for (std::size_t node = 0; node < nodes; ++node) {
                fleet.restart(node, 2);
                if (node < knowing)
                    fleet.at(node).restore({{endpoint, born}}, fleet.now());
                fleet.serve(node);
            }
            fleet.run(seconds(5));
            publish(fleet, storing, EndpointPhase::Live); // a late announcement
            fleet.run(seconds(1));
            for (std::size_t node = 0; node < nodes; ++node) {
                const auto *entry = fleet.at(node).endpointTable().find(endpoint);
                CPPUNIT_ASSERT(entry != nullptr);
                CPPUNIT_ASSERT(entry->record.phase == EndpointPhase::Left);
            }
            CPPUNIT_ASSERT(fleet.at(0).isDeregistrationStored(endpoint));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurableDeregistrationTest);

} // namespace lavenderthread::coordination::membership
