// Tests MemberPlan: which members are replaced, which are waited for, and that a repair never
// lowers the number of disks that hold the state.
#include "coordination/consensus/MemberPlan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lavenderthread::coordination::consensus {

class MemberPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberPlanTest);
    CPPUNIT_TEST(shortAbsenceIsTolerated);
    CPPUNIT_TEST(removedVmIsReplaced);
    CPPUNIT_TEST(emptyDiskReturnsAsNewMember);
    CPPUNIT_TEST(failedMemberStaysWithoutReplacement);
    CPPUNIT_TEST(addsNoMoreThanMostVoters);
    CPPUNIT_TEST(allControlMembersVote);
    CPPUNIT_TEST(lossOfMostFoundersLeavesQuorum);
    CPPUNIT_TEST(membersAwayForLongRaiseNoQuorum);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{std::chrono::seconds(100)};

    static MemberCandidate candidate(const std::string &id, int host)
    {
        return {state::VmId(id), {"10.0.0." + std::to_string(host), 7340}};
    }

    static MemberSet setOf(const std::vector<MemberCandidate> &members)
    {
        std::vector<Member> voters;
        for (const MemberCandidate &member : members)
            voters.push_back({member.id, member.address, MemberRole::Voter});
        return MemberSet::create(voters).value();
    }

    // Applies single changes until `target` is reached; returns the lowest voter count on the way.
    static std::size_t applyChanges(MemberSet &current, const MemberSet &target)
    {
        std::size_t lowest = current.voterCount();
        std::set<state::VmId> caughtUp;
        while (const auto change = nextMemberChange(current, target, caughtUp)) {
            current = current.withChange(*change).value();
            caughtUp.insert(change->member.id);
            lowest = std::min(lowest, current.voterCount());
        }
        return lowest;
    }

    const MemberCandidate a = candidate("a", 1);
    const MemberCandidate b = candidate("b", 2);
    const MemberCandidate c = candidate("c", 3);
    const MemberCandidate d = candidate("d", 4);
    const MemberCandidate e = candidate("e", 5);

public:
    void shortAbsenceIsTolerated()
    {
        MemberPlan plan({.mostVoters = 3});
        const MemberSet set = setOf({this->a, this->b, this->c});
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b, this->d}, this->start));
        const state::Instant soon = this->start + std::chrono::seconds(3);
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b, this->c, this->d}, soon));
    }

    // A VM is gone for good and a new one replaces it at another address: after some seconds the
    // new one becomes a voter, and only then the old one is removed.
    void removedVmIsReplaced()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, this->d};
        plan.target(set, live, this->start);
        const MemberSet target = plan.target(set, live, this->start + std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), applyChanges(set, target));
        CPPUNIT_ASSERT(set.isVoter(this->d.id));
        CPPUNIT_ASSERT(set.find(this->c.id) == nullptr);
    }

    // A VM returns at its address with an empty disk, under a new identity. Its old identity can
    // never respond again and is replaced at once, before a second VM may be lost.
    void emptyDiskReturnsAsNewMember()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, candidate("c-2", 3)};
        const MemberSet target = plan.target(set, live, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), applyChanges(set, target));
        CPPUNIT_ASSERT(set.isVoter(state::VmId("c-2")));
        CPPUNIT_ASSERT(set.find(this->c.id) == nullptr);
    }

    // Removing a failed member without a replacement would let a quorum of fewer disks decide.
    void failedMemberStaysWithoutReplacement()
    {
        MemberPlan plan({});
        const MemberSet set = setOf({this->a, this->b, this->c});
        plan.target(set, {this->a, this->b}, this->start);
        const state::Instant late = this->start + std::chrono::minutes(10);
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b}, late));
    }

    void addsNoMoreThanMostVoters()
    {
        MemberPlan three({.mostVoters = 3});
        const MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, this->c, this->d};
        CPPUNIT_ASSERT(set == three.target(set, live, this->start));
        MemberPlan five({.mostVoters = 5});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), five.target(set, live, this->start).voterCount());
    }

    void allControlMembersVote()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, this->c, this->d, this->e};
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             applyChanges(set, plan.target(set, live, this->start)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), set.voterCount());
    }

    // Two of the first three voters lose power; three of five control members run, and a change
    // that was acknowledged stays unknown to most entries if these can't elect a leader.
    void lossOfMostFoundersLeavesQuorum()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, this->c, this->d, this->e};
        applyChanges(set, plan.target(set, live, this->start));
        const std::vector<MemberCandidate> left = {this->c, this->d, this->e};
        const auto running = std::ranges::count_if(
                left, [&](const MemberCandidate &each) { return set.isVoter(each.id); });
        CPPUNIT_ASSERT(std::size_t(running) >= set.quorum());
    }

    // Members that stay away must not be counted for ever: with each replacement the quorum would
    // grow until the live members no longer reach it.
    void membersAwayForLongRaiseNoQuorum()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c, this->d, this->e});
        const std::vector<MemberCandidate> fourLive = {this->a, this->b, this->c, this->d};
        plan.target(set, fourLive, this->start);
        const state::Instant late = this->start + std::chrono::seconds(5);
        CPPUNIT_ASSERT(set == plan.target(set, fourLive, late)); // the quorum is 3 either way
        const std::vector<MemberCandidate> replaced = {this->a, this->b, this->c, this->d,
                                                       candidate("f", 6)};
        applyChanges(set, plan.target(set, replaced, late));
        CPPUNIT_ASSERT(set == setOf(replaced));
        const std::vector<MemberCandidate> threeLive = {this->a, this->b, this->c};
        plan.target(set, threeLive, late);
        applyChanges(set, plan.target(set, threeLive, late + std::chrono::seconds(5)));
        CPPUNIT_ASSERT(set == setOf(threeLive));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberPlanTest);

} // namespace lavenderthread::coordination::consensus
