// Tests which members are sent a deregistration again and when it is finished.
#include "coordination/membership/DeregistrationTracker.h"

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

std::set<state::VmId>
recipients(const std::vector<DeregistrationTracker::MissingConfirmations> &due)
{
    std::set<state::VmId> members;
    for (const DeregistrationTracker::MissingConfirmations &missing : due)
        members.insert(missing.member->record.id);
    return members;
}

} // namespace

class DeregistrationTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeregistrationTrackerTest);
    CPPUNIT_TEST(onlyUnconfirmedMembersGetResends);
    CPPUNIT_TEST(deadMembersAreNotWaitedFor);
    CPPUNIT_TEST(joiningMemberGetsPendingDeregistration);
    CPPUNIT_TEST(silentMembersAreGivenUpAfterLimit);
    CPPUNIT_TEST(silentMembersDoNotBlockResendsToOthers);
    CPPUNIT_TEST(confirmationOfEarlierIncarnationDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyUnconfirmedMembersGetResends()
    {
        const MemberTable members = membersUpTo(4);
        DeregistrationTracker tracker;
        tracker.track(left("e"), at(0));
        CPPUNIT_ASSERT(tracker.takeDueResends(members, self, at(100)).empty());
        tracker.recordConfirmation(memberKey(idOf(1)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        CPPUNIT_ASSERT((recipients(tracker.takeDueResends(members, self, at(200)))
                        == std::set{idOf(2), idOf(3)}));
        CPPUNIT_ASSERT(tracker.takeDueResends(members, self, at(300)).empty());
        tracker.recordConfirmation(memberKey(idOf(2)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        CPPUNIT_ASSERT(
                (recipients(tracker.takeDueResends(members, self, at(400))) == std::set{idOf(3)}));
        tracker.recordConfirmation(memberKey(idOf(3)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        tracker.removeFinished(members, self, at(410));
        CPPUNIT_ASSERT(!tracker.isPending(state::EndpointId("e")));
    }

    void deadMembersAreNotWaitedFor()
    {
        MemberTable members = membersUpTo(3);
        DeregistrationTracker tracker;
        tracker.track(left("e"), at(0));
        tracker.recordConfirmation(memberKey(idOf(1)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        tracker.removeFinished(members, self, at(300));
        CPPUNIT_ASSERT(tracker.isPending(state::EndpointId("e")));
        MemberRecord dead = memberOf(2);
        dead.health = MemberHealth::Dead;
        members.apply(dead, at(400));
        tracker.removeFinished(members, self, at(400));
        CPPUNIT_ASSERT(!tracker.isPending(state::EndpointId("e")));
    }

    // Guards against a process that starts during a deregistration, gets its state from a member
    // that doesn't know of the deregistration yet, and is never told.
    void joiningMemberGetsPendingDeregistration()
    {
        MemberTable members = membersUpTo(3);
        DeregistrationTracker tracker;
        tracker.track(left("e"), at(0));
        tracker.recordConfirmation(memberKey(idOf(1)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        members.apply(memberOf(7), at(100));
        CPPUNIT_ASSERT((recipients(tracker.takeDueResends(members, self, at(200)))
                        == std::set{idOf(2), idOf(7)}));
    }

    void silentMembersAreGivenUpAfterLimit()
    {
        const MemberTable members = membersUpTo(2);
        DeregistrationTracker tracker;
        tracker.track(left("e"), at(0));
        tracker.removeFinished(members, self, at(9'999));
        CPPUNIT_ASSERT(tracker.isPending(state::EndpointId("e")));
        tracker.removeFinished(members, self, at(10'000));
        CPPUNIT_ASSERT(!tracker.isPending(state::EndpointId("e")));
    }

    // Guards against a failure domain that failed and is not yet recorded as dead: if its members
    // got all resends, the live members would get none.
    void silentMembersDoNotBlockResendsToOthers()
    {
        const MemberTable members = membersUpTo(200);
        DeregistrationTracker tracker;
        tracker.track(left("e"), at(0));
        std::set<state::VmId> all;
        for (int tick = 1; tick <= 8; ++tick) {
            const std::set<state::VmId> resentTo =
                    recipients(tracker.takeDueResends(members, self, at(tick * 200)));
            CPPUNIT_ASSERT(resentTo.size() <= DeregistrationTrackerSettings().membersPerResend);
            all.insert(resentTo.begin(), resentTo.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(199), all.size());
    }

    void confirmationOfEarlierIncarnationDoesNotCount()
    {
        const MemberTable members = membersUpTo(2);
        DeregistrationTracker tracker;
        tracker.track(left("e", 1), at(0));
        tracker.track(left("e", 2), at(100));
        tracker.recordConfirmation(memberKey(idOf(1)),
                                   deregistrationKey(state::EndpointId("e"), 1));
        tracker.removeFinished(members, self, at(200));
        CPPUNIT_ASSERT(tracker.isPending(state::EndpointId("e")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeregistrationTrackerTest);

} // namespace lavenderthread::coordination::membership
