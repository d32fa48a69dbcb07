// Tests of membership under faults: failed nodes, lossy or partitioned networks, clocks set back,
// replaced processes and datagrams of other clusters.
#include "coordination/membership/GossipFleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::membership {

namespace {

using std::chrono::seconds;

constexpr std::size_t faultyNode = 5;

bool isSameNode(std::size_t node, std::size_t other)
{
    return node == other;
}

// Counts the pairs of members of which one records the other as dead.
std::size_t deadViewCount(GossipFleet &fleet)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node)
        count += fleet.countViews(node, MemberHealth::Dead);
    return count;
}

} // namespace

class MembershipFaultTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipFaultTest);
    CPPUNIT_TEST(onlyFailedMembersAreDeclaredDead);
    CPPUNIT_TEST(isolatedMemberReturnsWithoutRestart);
    CPPUNIT_TEST(isolatedMemberDeclaresNobodyDead);
    CPPUNIT_TEST(partitionedHalvesMerge);
    CPPUNIT_TEST(separateGroupsOfJoiningMembersMerge);
    CPPUNIT_TEST(flappingMemberEndsAlive);
    CPPUNIT_TEST(oldIncarnationIsRefusedAndStops);
    CPPUNIT_TEST(joiningMemberWithClockBehindTakesHigherIncarnation);
    CPPUNIT_TEST(wrongClusterAndWrongTargetChangeNothing);
    CPPUNIT_TEST(settingsOutOfRangeAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyFailedMembersAreDeclaredDead()
    {
        // Callers of a dead entry wait for timeouts, so all members must record it as dead. A live
        // entry must not be declared dead because of occasional loss. With one-way loss, either the
        // member's refutations get lost or it receives nothing; it must be declared dead in both
        // cases.
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
                     return !isSameNode(from, faultyNode) && !isSameNode(to, faultyNode);
                 },
                 true},
                {"sends nothing", 0.05,
                 [](std::size_t from, std::size_t) { return !isSameNode(from, faultyNode); }, true},
                {"hears nothing", 0.05,
                 [](std::size_t, std::size_t to) { return !isSameNode(to, faultyNode); }, true},
        };
        for (const Case &fault : cases)
            for (std::uint64_t seed = 11; seed < 15; ++seed) {
                GossipFleet fleet({.nodes = 18, .loss = fault.loss, .seed = seed});
                fleet.run(seconds(3));
                fleet.linkFilter = fault.passes;
                for (int second = 0; second < 40; ++second) {
                    fleet.run(seconds(1));
                    CPPUNIT_ASSERT_MESSAGE(fault.name, fault.dies || deadViewCount(fleet) == 0);
                }
                for (std::size_t node = 0; node < fleet.size(); ++node) {
                    const bool expectDead = fault.dies && node == faultyNode;
                    const std::size_t dead = fleet.countViews(node, MemberHealth::Dead);
                    // One view of a live member may be dead: that of the faulty member.
                    CPPUNIT_ASSERT_MESSAGE(
                            std::string(fault.name) + ", member " + std::to_string(node),
                            expectDead ? dead == 17 : dead <= (fault.dies ? 1U : 0U));
                }
            }
    }

    void separateGroupsOfJoiningMembersMerge()
    {
        // Guards against a fleet that is started at once and stays in two separate halves: if each
        // member contacts seeds only until it knows one other member, groups that form at the same
        // time never contact seeds again. Seen with six processes; here a partition that ends after
        // both groups have formed produces them.
        for (std::uint64_t seed = 31; seed < 41; ++seed) {
            GossipFleet fleet({.nodes = 6, .seed = seed, .preload = false});
            fleet.linkFilter = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
            fleet.run(seconds(4));
            for (std::size_t node = 0; node < fleet.size(); ++node)
                CPPUNIT_ASSERT_EQUAL(std::size_t(3), fleet.at(node).members().liveCount());
            fleet.linkFilter = {};
            const auto whole = [&] {
                for (std::size_t node = 0; node < fleet.size(); ++node)
                    if (fleet.at(node).members().liveCount() != fleet.size())
                        return false;
                return true;
            };
            CPPUNIT_ASSERT(fleet.runUntil(whole, seconds(10)) >= state::Duration::zero());
        }
    }

    void isolatedMemberReturnsWithoutRestart()
    {
        // An isolated VM is declared dead while its process goes on running. After the network
        // heals, all members must record it as alive again without a restart.
        GossipFleet fleet({.nodes = 18, .loss = 0.05, .seed = 12});
        fleet.run(seconds(2));
        fleet.linkFilter = [](std::size_t from, std::size_t to) {
            return !isSameNode(from, faultyNode) && !isSameNode(to, faultyNode);
        };
        fleet.run(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.countViews(faultyNode, MemberHealth::Dead));
        fleet.linkFilter = {};
        const auto back = [&] { return fleet.countViews(faultyNode, MemberHealth::Alive) == 17; };
        CPPUNIT_ASSERT(fleet.runUntil(back, seconds(30)) >= state::Duration::zero());
        CPPUNIT_ASSERT(fleet.at(faultyNode).selfRecord().version > 1);
    }

    void isolatedMemberDeclaresNobodyDead()
    {
        // To an isolated member, all others are silent. If it declared them dead, each would have
        // to refute that afterwards, and ownership would move needlessly meanwhile.
        GossipFleet fleet({.nodes = 18, .seed = 13});
        fleet.run(seconds(2));
        fleet.linkFilter = [](std::size_t from, std::size_t to) {
            return !isSameNode(from, faultyNode) && !isSameNode(to, faultyNode);
        };
        fleet.run(seconds(120));
        CPPUNIT_ASSERT(fleet.at(faultyNode).isIsolated(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), fleet.at(faultyNode).members().liveCount());
        fleet.linkFilter = {};
        fleet.run(seconds(30));
        CPPUNIT_ASSERT(!fleet.at(faultyNode).isIsolated(fleet.now()));
        for (std::size_t node = 0; node < fleet.size(); ++node)
            CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.countViews(node, MemberHealth::Alive));
    }

    void partitionedHalvesMerge()
    {
        // Regions lose each other for an hour, three minutes in this test, and each half declares
        // the other dead. Probe rounds skip dead members, so only the slow reconnect can join the
        // halves.
        GossipFleet fleet({.nodes = 12, .seed = 14});
        fleet.run(seconds(2));
        fleet.linkFilter = [](std::size_t from, std::size_t to) { return (from < 6) == (to < 6); };
        fleet.run(seconds(180));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.at(0).members().liveCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet.at(11).members().liveCount());
        fleet.linkFilter = {};
        const auto whole = [&] {
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                if (fleet.countViews(node, MemberHealth::Alive) != 11)
                    return false;
            }
            return true;
        };
        CPPUNIT_ASSERT(fleet.runUntil(whole, seconds(60)) >= state::Duration::zero());
    }

    void flappingMemberEndsAlive()
    {
        // The network of a VM fails and recovers repeatedly. A higher version refutes each
        // suspicion in whatever order the two arrive; once the network is stable, all members must
        // record the VM as alive.
        GossipFleet fleet({.nodes = 18, .loss = 0.05, .duplication = 0.1, .seed = 15});
        fleet.run(seconds(2));
        bool cut = false;
        fleet.linkFilter = [&](std::size_t from, std::size_t to) {
            return !cut || (!isSameNode(from, faultyNode) && !isSameNode(to, faultyNode));
        };
        for (int turn = 0; turn < 12; ++turn) {
            cut = !cut;
            fleet.run(seconds(turn % 3 + 2));
        }
        cut = false;
        fleet.run(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), fleet.countViews(faultyNode, MemberHealth::Alive));
    }

    void oldIncarnationIsRefusedAndStops()
    {
        // A VM is replaced under the same id while the old process is only stalled. When that
        // process resumes, its datagrams must change nothing, and it must learn that it is
        // superseded.
        GossipFleet fleet({.nodes = 6, .seed = 16});
        fleet.run(seconds(2));
        Membership old = fleet.at(faultyNode);
        fleet.restart(faultyNode, 9'000);
        fleet.run(seconds(3));
        fleet.serve(faultyNode);
        fleet.run(seconds(10));
        const MemberRecord before =
                fleet.at(0).members().find(GossipFleet::idOf(faultyNode))->record;
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
        const MemberRecord after =
                fleet.at(0).members().find(GossipFleet::idOf(faultyNode))->record;
        CPPUNIT_ASSERT(after.phase == MemberPhase::Serving && after.incarnation == 9'000);
    }

    void joiningMemberWithClockBehindTakesHigherIncarnation()
    {
        // A process restarts on a VM whose clock was set back, so its incarnation is lower than
        // that of its predecessor. It must not be refused forever.
        GossipFleet fleet({.nodes = 6, .seed = 17});
        fleet.run(seconds(2));
        fleet.kill(faultyNode);
        fleet.run(seconds(20));
        fleet.restart(faultyNode, 500);
        fleet.run(seconds(10));
        fleet.serve(faultyNode);
        fleet.run(seconds(10));
        CPPUNIT_ASSERT(fleet.at(faultyNode).selfRecord().incarnation > 1'000);
        CPPUNIT_ASSERT(!fleet.at(faultyNode).isSuperseded());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), fleet.countViews(faultyNode, MemberHealth::Alive));
    }

    void wrongClusterAndWrongTargetChangeNothing()
    {
        // Two clusters share a network because of a wrong setting, or another VM takes over an
        // address. Neither may leak members or let the wrong process acknowledge a ping.
        GossipFleet fleet({.nodes = 3, .seed = 18});
        MemberRecord foreignMember{state::VmId("stranger"), 1, 1, MemberPhase::Serving};
        foreignMember.description = std::make_shared<const MemberDescription>();
        GossipMessage message{GossipKind::Ping,    "other", state::VmId("stranger"), 1, 4,
                              GossipFleet::idOf(0)};
        message.members = {foreignMember};
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
