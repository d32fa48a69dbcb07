// Contract of the plan of control members: what is replaced, what is waited for, and that a repair
// never lowers the number of disks that hold the state.
#include "coordination/consensus/MemberPlan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::consensus {

class MemberPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberPlanTest);
    CPPUNIT_TEST(shortAbsenceIsWaitedFor);
    CPPUNIT_TEST(removedMachineIsReplaced);
    CPPUNIT_TEST(wipedDiskComesBackAsAnother);
    CPPUNIT_TEST(withoutSuccessorsTheDeadKeepTheirPlace);
    CPPUNIT_TEST(noMoreThanWanted);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{std::chrono::seconds(100)};

    static Candidate candidate(const std::string &id, int host)
    {
        return {state::VmId(id), {"10.0.0." + std::to_string(host), 7340}};
    }

    static MemberSet setOf(const std::vector<Candidate> &members)
    {
        std::vector<Member> voters;
        for (const Candidate &each : members)
            voters.push_back({each.id, each.address, MemberRole::Voter});
        return MemberSet::create(voters).value();
    }

    // Moves to the plan's target one change at a time; gives the least number of voters on the way.
    static std::size_t follow(MemberSet &current, const MemberSet &target)
    {
        std::size_t least = current.voterCount();
        std::set<state::VmId> caughtUp;
        while (const auto change = nextMemberChange(current, target, caughtUp)) {
            current = current.withChange(*change).value();
            caughtUp.insert(change->member.id);
            least = std::min(least, current.voterCount());
        }
        return least;
    }

    const Candidate a = candidate("a", 1);
    const Candidate b = candidate("b", 2);
    const Candidate c = candidate("c", 3);
    const Candidate d = candidate("d", 4);

public:
    void shortAbsenceIsWaitedFor()
    {
        MemberPlan plan({});
        const MemberSet set = setOf({this->a, this->b, this->c});
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b, this->d}, this->start));
        const state::Instant soon = this->start + std::chrono::seconds(3);
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b, this->c, this->d}, soon));
    }

    // A machine is gone for good and a new one stands in for it at another address: after some
    // seconds the new one votes, and only then the old one leaves.
    void removedMachineIsReplaced()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<Candidate> live = {this->a, this->b, this->d};
        plan.target(set, live, this->start);
        const MemberSet target = plan.target(set, live, this->start + std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), follow(set, target));
        CPPUNIT_ASSERT(set.isVoter(this->d.id));
        CPPUNIT_ASSERT(set.find(this->c.id) == nullptr);
    }

    // A machine comes back at its address with an empty disk, under another identity. Its former
    // self can never answer again and is replaced at once, before a second machine may be lost.
    void wipedDiskComesBackAsAnother()
    {
        MemberPlan plan({});
        MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<Candidate> live = {this->a, this->b, candidate("c-2", 3)};
        const MemberSet target = plan.target(set, live, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), follow(set, target));
        CPPUNIT_ASSERT(set.isVoter(state::VmId("c-2")));
        CPPUNIT_ASSERT(set.find(this->c.id) == nullptr);
    }

    // Dropping a dead member without a successor would let fewer disks decide.
    void withoutSuccessorsTheDeadKeepTheirPlace()
    {
        MemberPlan plan({});
        const MemberSet set = setOf({this->a, this->b, this->c});
        plan.target(set, {this->a, this->b}, this->start);
        const state::Instant late = this->start + std::chrono::minutes(10);
        CPPUNIT_ASSERT(set == plan.target(set, {this->a, this->b}, late));
    }

    void noMoreThanWanted()
    {
        MemberPlan plan({});
        const MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<Candidate> live = {this->a, this->b, this->c, this->d};
        CPPUNIT_ASSERT(set == plan.target(set, live, this->start));
        MemberPlan five({.wantedVoters = 5});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), five.target(set, live, this->start).voterCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberPlanTest);

} // namespace lavenderthread::coordination::consensus
