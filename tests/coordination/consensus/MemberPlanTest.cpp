// Tests MemberPlan: which members are replaced, which are waited for, and that a repair never
// lowers the number of disks that hold the state.
#include "coordination/consensus/MemberPlan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::consensus {

class MemberPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberPlanTest);
    CPPUNIT_TEST(shortAbsenceIsTolerated);
    CPPUNIT_TEST(removedVmIsReplaced);
    CPPUNIT_TEST(emptyDiskReturnsAsNewMember);
    CPPUNIT_TEST(failedMemberStaysWithoutReplacement);
    CPPUNIT_TEST(addsNoMoreThanWantedVoters);
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

public:
    void shortAbsenceIsTolerated()
    {
        MemberPlan plan({});
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

    void addsNoMoreThanWantedVoters()
    {
        MemberPlan plan({});
        const MemberSet set = setOf({this->a, this->b, this->c});
        const std::vector<MemberCandidate> live = {this->a, this->b, this->c, this->d};
        CPPUNIT_ASSERT(set == plan.target(set, live, this->start));
        MemberPlan five({.wantedVoters = 5});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), five.target(set, live, this->start).voterCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberPlanTest);

} // namespace lavenderthread::coordination::consensus
