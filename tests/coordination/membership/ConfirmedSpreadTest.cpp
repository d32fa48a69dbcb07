// Who is told of a deregistration again, and when that ends.
#include "coordination/membership/ConfirmedSpread.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace lavenderthread::coordination::membership {

namespace {

const state::VmId self("vm-0");

state::Instant at(int milliseconds)
{
    return state::Instant(std::chrono::milliseconds(milliseconds));
}

state::VmId idOf(int index)
{
    return state::VmId("vm-" + std::to_string(index));
}

MemberRecord memberOf(int index)
{
    MemberRecord record{idOf(index), 1};
    record.description = std::make_shared<const MemberDescription>();
    return record;
}

MemberTable membersUpTo(int count)
{
    MemberTable members;
    for (int index = 0; index < count; ++index)
        members.apply(memberOf(index), at(0));
    return members;
}

endpoints::EndpointRecord left(const char *id, std::uint64_t incarnation = 1)
{
    endpoints::EndpointRecord record{state::EndpointId(id), incarnation};
    record.phase = endpoints::EndpointPhase::Left;
    return record;
}

std::set<state::VmId> told(const std::vector<ConfirmedSpread::Missing> &due)
{
    std::set<state::VmId> members;
    for (const ConfirmedSpread::Missing &missing : due)
        members.insert(missing.member->record.id);
    return members;
}

} // namespace

class ConfirmedSpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfirmedSpreadTest);
    CPPUNIT_TEST(onlyThoseThatHaveNotConfirmedAreToldAgain);
    CPPUNIT_TEST(membersThatDieAreNotWaitedFor);
    CPPUNIT_TEST(newcomerIsToldWhileItIsOnItsWay);
    CPPUNIT_TEST(silentMembersAreGivenUp);
    CPPUNIT_TEST(silentMembersDoNotTakeAllTurns);
    CPPUNIT_TEST(confirmationOfAnEarlierLifeDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyThoseThatHaveNotConfirmedAreToldAgain()
    {
        const MemberTable members = membersUpTo(4);
        ConfirmedSpread spread;
        spread.begin(left("e"), at(0));
        CPPUNIT_ASSERT(spread.due(members, self, at(100)).empty());
        spread.confirmed(memberKey(idOf(1)), deregistrationKey(state::EndpointId("e"), 1));
        CPPUNIT_ASSERT((told(spread.due(members, self, at(200))) == std::set{idOf(2), idOf(3)}));
        CPPUNIT_ASSERT(spread.due(members, self, at(300)).empty());
        spread.confirmed(memberKey(idOf(2)), deregistrationKey(state::EndpointId("e"), 1));
        CPPUNIT_ASSERT((told(spread.due(members, self, at(400))) == std::set{idOf(3)}));
        spread.confirmed(memberKey(idOf(3)), deregistrationKey(state::EndpointId("e"), 1));
        spread.settle(members, self, at(410));
        CPPUNIT_ASSERT(!spread.isOnItsWay(state::EndpointId("e")));
    }

    void membersThatDieAreNotWaitedFor()
    {
        MemberTable members = membersUpTo(3);
        ConfirmedSpread spread;
        spread.begin(left("e"), at(0));
        spread.confirmed(memberKey(idOf(1)), deregistrationKey(state::EndpointId("e"), 1));
        spread.settle(members, self, at(300));
        CPPUNIT_ASSERT(spread.isOnItsWay(state::EndpointId("e")));
        MemberRecord dead = memberOf(2);
        dead.health = MemberHealth::Dead;
        members.apply(dead, at(400));
        spread.settle(members, self, at(400));
        CPPUNIT_ASSERT(!spread.isOnItsWay(state::EndpointId("e")));
    }

    // Guards against a process that starts beside a deregistration, and has its state from a member
    // that had not heard of it.
    void newcomerIsToldWhileItIsOnItsWay()
    {
        MemberTable members = membersUpTo(3);
        ConfirmedSpread spread;
        spread.begin(left("e"), at(0));
        spread.confirmed(memberKey(idOf(1)), deregistrationKey(state::EndpointId("e"), 1));
        members.apply(memberOf(7), at(100));
        CPPUNIT_ASSERT((told(spread.due(members, self, at(200))) == std::set{idOf(2), idOf(7)}));
    }

    void silentMembersAreGivenUp()
    {
        const MemberTable members = membersUpTo(2);
        ConfirmedSpread spread;
        spread.begin(left("e"), at(0));
        spread.settle(members, self, at(9'999));
        CPPUNIT_ASSERT(spread.isOnItsWay(state::EndpointId("e")));
        spread.settle(members, self, at(10'000));
        CPPUNIT_ASSERT(!spread.isOnItsWay(state::EndpointId("e")));
    }

    // Guards against a failure domain that is lost and not known to be: its members would be told
    // again and again, and those that live never.
    void silentMembersDoNotTakeAllTurns()
    {
        const MemberTable members = membersUpTo(200);
        ConfirmedSpread spread;
        spread.begin(left("e"), at(0));
        std::set<state::VmId> all;
        for (int tick = 1; tick <= 8; ++tick) {
            const std::set<state::VmId> now = told(spread.due(members, self, at(tick * 200)));
            CPPUNIT_ASSERT(now.size() <= ConfirmedSpreadSettings().membersPerResend);
            all.insert(now.begin(), now.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(199), all.size());
    }

    void confirmationOfAnEarlierLifeDoesNotCount()
    {
        const MemberTable members = membersUpTo(2);
        ConfirmedSpread spread;
        spread.begin(left("e", 1), at(0));
        spread.begin(left("e", 2), at(100));
        spread.confirmed(memberKey(idOf(1)), deregistrationKey(state::EndpointId("e"), 1));
        spread.settle(members, self, at(200));
        CPPUNIT_ASSERT(spread.isOnItsWay(state::EndpointId("e")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfirmedSpreadTest);

} // namespace lavenderthread::coordination::membership
