// Fault table of membership: who is declared dead, who is not, and what old or forged senders do.
#include "coordination/membership/GossipFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::membership {

namespace {

using std::chrono::seconds;

constexpr std::size_t faulty = 5;

bool isAt(std::size_t node, std::size_t other)
{
    return node == other;
}

// Members that some other one holds for dead.
std::size_t accusations(GossipFleet &fleet)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node)
        count += fleet.seeing(node, MemberHealth::Dead);
    return count;
}

} // namespace

class MembershipFaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipFaultTest);
    CPPUNIT_TEST(deadAreFoundAndLiveAreKept);
    CPPUNIT_TEST(healedMembersComeBackEverywhere);
    CPPUNIT_TEST(isolatedMemberAccusesNobody);
    CPPUNIT_TEST(splitHalvesJoinAgain);
    CPPUNIT_TEST(islandsOfJoinersFindEachOther);
    CPPUNIT_TEST(flappingMemberSettlesAlive);
    CPPUNIT_TEST(oldIncarnationIsRefusedAndStops);
    CPPUNIT_TEST(joinerWithClockBehindTakesHigherIncarnation);
    CPPUNIT_TEST(wrongClusterAndWrongTargetChangeNothing);
    CPPUNIT_TEST(settingsOutOfRangeAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void deadAreFoundAndLiveAreKept()
    {
        // Callers of a dead entry wait for timeouts, so it must leave all views; a live one whose
        // datagrams are lost now and then must stay. One-way loss: the member hears its accusation
        // but its refutation gets nowhere, or it hears nothing at all; both are as good as dead.
        struct Case
        {
            const char *name;
            double loss;
            std::function<bool(std::size_t, std::size_t)> passes;
            bool dies;
        };
        const std::vector<Case> cases{
                {"no fault", 0, {}, false},
                {"5% loss", 0.05, {}, false},
                {"20% loss", 0.2, {}, false},
                {"one path cut", 0.02,
                 [](std::size_t from, std::size_t to) { return !(from == 5 && to == 6); }, false},
                {"isolated", 0.05,
                 [](std::size_t from, std::size_t to) {
                     return !isAt(from, faulty) && !isAt(to, faulty);
                 },
                 true},
                {"sends nothing", 0.05,
                 [](std::size_t from, std::size_t) { return !isAt(from, faulty); }, true},
                {"hears nothing", 0.05,
                 [](std::size_t, std::size_t to) { return !isAt(to, faulty); }, true},
        };
        for (const Case &fault : cases)
            for (std::uint64_t seed = 11; seed < 15; ++seed) {
                GossipFleet fleet({.nodes = 18, .loss = fault.loss, .seed = seed});
                fleet.run(seconds(3));
                fleet.passes = fault.passes;
                for (int second = 0; second < 40; ++second) {
                    fleet.run(seconds(1));
                    CPPUNIT_ASSERT_MESSAGE(fault.name, fault.dies || accusations(fleet) == 0);
                }
                for (std::size_t node = 0; node < fleet.size(); ++node) {
                    const bool expectDead = fault.dies && node == faulty;
                    const std::size_t dead = fleet.seeing(node, MemberHealth::Dead);
                    // The faulty member's own opinion counts for nothing here.
                    CPPUNIT_ASSERT_MESSAGE(
                            std::string(fault.name) + ", member " + std::to_string(node),
                            expectDead ? dead == 17 : dead <= (fault.dies ? 1U : 0U));
                }
            }
    }

    void islandsOfJoinersFindEachOther()
    {
        // An operator starts a whole fleet at once and sees two half fleets that stay apart: each
        // member asks seeds until it has met one other, and two pairs that meet at the same moment
        // have no reason to ask again. Seen with six processes; here the pairs are made by a cut
        // that ends once both have formed.
        for (std::uint64_t seed = 31; seed < 41; ++seed) {
            GossipFleet fleet({.nodes = 6, .seed = seed, .preload = false});
            fleet.passes = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
            fleet.run(seconds(4));
            for (std::size_t node = 0; node < fleet.size(); ++node)
                CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.at(node).members().liveCount());
            fleet.passes = {};
            const auto whole = [&] {
                for (std::size_t node = 0; node < fleet.size(); ++node)
                    if (fleet.at(node).members().liveCount() != fleet.size())
                        return false;
                return true;
            };
            CPPUNIT_ASSERT(fleet.runUntil(whole, seconds(10)) >= state::Duration::zero());
        }
    }

    void healedMembersComeBackEverywhere()
    {
        // An isolated VM was declared dead while its process ran on. After the network heals, it
        // must be named again by all, without a restart.
        GossipFleet fleet({.nodes = 18, .loss = 0.05, .seed = 12});
        fleet.run(seconds(2));
        fleet.passes = [](std::size_t from, std::size_t to) {
            return !isAt(from, faulty) && !isAt(to, faulty);
        };
        fleet.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.seeing(faulty, MemberHealth::Dead));
        fleet.passes = {};
        const auto back = [&] { return fleet.seeing(faulty, MemberHealth::Alive) == 17; };
        CPPUNIT_ASSERT(fleet.runUntil(back, seconds(30)) >= state::Duration::zero());
        CPPUNIT_ASSERT(fleet.at(faulty).selfRecord().version > 1);
    }

    void isolatedMemberAccusesNobody()
    {
        // While cut off, a member finds all others silent. If it declared them dead, each of them
        // would have to refute that after the cut, and owners would move for nothing meanwhile.
        GossipFleet fleet({.nodes = 18, .seed = 13});
        fleet.run(seconds(2));
        fleet.passes = [](std::size_t from, std::size_t to) {
            return !isAt(from, faulty) && !isAt(to, faulty);
        };
        fleet.run(seconds(120));
        CPPUNIT_ASSERT(fleet.at(faulty).isIsolated(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), fleet.at(faulty).members().liveCount());
        fleet.passes = {};
        fleet.run(seconds(30));
        CPPUNIT_ASSERT(!fleet.at(faulty).isIsolated(fleet.now()));
        for (std::size_t node = 0; node < fleet.size(); ++node)
            CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.seeing(node, MemberHealth::Alive));
    }

    void splitHalvesJoinAgain()
    {
        // Regions lose each other for an hour, and each half declares the other dead. Nobody probes
        // the dead in the usual round; the slow reconnect has to bring the halves together.
        GossipFleet fleet({.nodes = 12, .seed = 14});
        fleet.run(seconds(2));
        fleet.passes = [](std::size_t from, std::size_t to) { return (from < 6) == (to < 6); };
        fleet.run(seconds(180));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.at(0).members().liveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.at(11).members().liveCount());
        fleet.passes = {};
        const auto whole = [&] {
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                if (fleet.seeing(node, MemberHealth::Alive) != 11)
                    return false;
            }
            return true;
        };
        CPPUNIT_ASSERT(fleet.runUntil(whole, seconds(60)) >= state::Duration::zero());
    }

    void flappingMemberSettlesAlive()
    {
        // A VM's network comes and goes. Each accusation is refuted by a higher version, whatever
        // order the two arrive in; when the network stays, all must agree that the VM lives.
        GossipFleet fleet({.nodes = 18, .loss = 0.05, .duplication = 0.1, .seed = 15});
        fleet.run(seconds(2));
        bool cut = false;
        fleet.passes = [&](std::size_t from, std::size_t to) {
            return !cut || (!isAt(from, faulty) && !isAt(to, faulty));
        };
        for (int turn = 0; turn < 12; ++turn) {
            cut = !cut;
            fleet.run(seconds(turn % 3 + 2));
        }
        cut = false;
        fleet.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.seeing(faulty, MemberHealth::Alive));
    }

    void oldIncarnationIsRefusedAndStops()
    {
        // A VM was replaced under its id while the old process was only stalled. When it wakes, its
        // datagrams must change nothing, and it must learn that it is over.
        GossipFleet fleet({.nodes = 6, .seed = 16});
        fleet.run(seconds(2));
        Membership old = fleet.at(faulty);
        fleet.restart(faulty, 9'000);
        fleet.run(seconds(3));
        fleet.serve(faulty);
        fleet.run(seconds(10));
        const MemberRecord before = fleet.at(0).members().find(GossipFleet::idOf(faulty))->record;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9'000), before.incarnation);
        GossipActions answered;
        for (const GossipSend &send : old.setSelf({MemberPhase::Leaving}, fleet.now()).sends)
            answered = fleet.at(0).receive(send.message, {}, fleet.now());
        for (int tick = 0; tick < 30; ++tick) {
            for (const GossipSend &send : old.tick(fleet.now()).sends) {
                for (const GossipSend &reply :
                     fleet.at(0).receive(send.message, {}, fleet.now()).sends)
                    old.receive(reply.message, GossipFleet::addressOf(0), fleet.now());
            }
            fleet.run(Membership::tickInterval);
        }
        CPPUNIT_ASSERT(old.isSuperseded());
        CPPUNIT_ASSERT(old.tick(fleet.now()).sends.empty());
        CPPUNIT_ASSERT(fleet.at(0).counters().refusedIncarnation > 0);
        const MemberRecord after = fleet.at(0).members().find(GossipFleet::idOf(faulty))->record;
        CPPUNIT_ASSERT(after.phase == MemberPhase::Serving && after.incarnation == 9'000);
    }

    void joinerWithClockBehindTakesHigherIncarnation()
    {
        // A process restarts on a VM whose clock was set back, so its incarnation is below that of
        // its former life. It must not stay out for good.
        GossipFleet fleet({.nodes = 6, .seed = 17});
        fleet.run(seconds(2));
        fleet.kill(faulty);
        fleet.run(seconds(20));
        fleet.restart(faulty, 500);
        fleet.run(seconds(10));
        fleet.serve(faulty);
        fleet.run(seconds(10));
        CPPUNIT_ASSERT(fleet.at(faulty).selfRecord().incarnation > 1'000);
        CPPUNIT_ASSERT(!fleet.at(faulty).isSuperseded());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), fleet.seeing(faulty, MemberHealth::Alive));
    }

    void wrongClusterAndWrongTargetChangeNothing()
    {
        // Two clusters share a network by a wrong setting, and an address is used again by another
        // VM. Neither may leak members or let a ping be answered by the wrong process.
        GossipFleet fleet({.nodes = 3, .seed = 18});
        MemberRecord stranger{state::VmId("stranger"), 1, 1, MemberPhase::Serving};
        stranger.description = std::make_shared<const MemberDescription>();
        GossipMessage message{GossipKind::Ping,    "other", state::VmId("stranger"), 1, 4,
                              GossipFleet::idOf(0)};
        message.members = {stranger};
        CPPUNIT_ASSERT(fleet.at(0).receive(message, {}, fleet.now()).sends.empty());
        CPPUNIT_ASSERT(fleet.at(0).members().find(state::VmId("stranger")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fleet.at(0).counters().refusedCluster);
        message.cluster = "test";
        message.members.clear();
        message.target = GossipFleet::idOf(1);
        CPPUNIT_ASSERT(fleet.at(0).receive(message, {}, fleet.now()).sends.empty());
        message.target = GossipFleet::idOf(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             fleet.at(0).receive(message, {}, fleet.now()).sends.size());
    }

    void settingsOutOfRangeAreRefused()
    {
        const GossipFleet fleet({.nodes = 1});
        const std::vector<std::function<void(MembershipSettings &)>> faults{
                [](MembershipSettings &bad) { bad.cluster.clear(); },
                [](MembershipSettings &bad) { bad.self = state::VmId(std::string(129, 'a')); },
                [](MembershipSettings &bad) { bad.incarnation = 0; },
                [](MembershipSettings &bad) { bad.datagramBytes = 500; }};
        for (const auto &fault : faults) {
            MembershipSettings bad = fleet.settingsOf(0);
            fault(bad);
            const auto made = Membership::create(bad, fleet.now());
            CPPUNIT_ASSERT(made.has_error());
            CPPUNIT_ASSERT_EQUAL(std::string("membership.create"), made.error().step);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipFaultTest);

} // namespace lavenderthread::coordination::membership
