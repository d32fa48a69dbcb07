// Tests single rules of the consensus: random schedules do not show which rule prevented a
// violation.
#include "coordination/consensus/Consensus.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::consensus {

using state::ErrorCode;

namespace {

Member voter(const std::string &id)
{
    return {state::VmId(id), {"10.0.0.1", 1}, MemberRole::Voter};
}

Member learner(const std::string &id)
{
    return {state::VmId(id), {"10.0.0.1", 1}, MemberRole::Learner};
}

MemberSet setOf(const std::vector<Member> &members)
{
    return MemberSet::create(members).value();
}

StoredState firstStart()
{
    StoredState stored;
    stored.snapshot.configuration = setOf({voter("a"), voter("b"), voter("c")}).encode();
    return stored;
}

// Member "a" of three. The test acts as the other two members and as the disk.
struct SingleMember
{
    explicit SingleMember(const Settings &settings = {}, const StoredState &stored = firstStart())
        : machine(Consensus::create(settings, state::VmId("a"), stored, 1, {}).value())
    {}

    Consensus machine;
    state::Instant now;

    Actions step(const Event &event) { return this->machine.step(event, this->now); }
    Actions receive(const std::string &from, MessageBody body)
    {
        return this->step(Received{{state::VmId(from), state::VmId("a"), std::move(body)}});
    }
    Actions completeSync(const Actions &actions)
    {
        return this->step(Persisted{actions.persistSequence});
    }
    Actions answerAppend(std::uint64_t index)
    {
        return this->receive("b", AppendResponse{this->machine.currentTerm(), true, index,
                                                 this->now.time_since_epoch().count()});
    }

    // Makes the member leader of term 1 with its first entry committed.
    void becomeLeader()
    {
        this->now = this->machine.nextTimer();
        this->step(Tick{});
        this->completeSync(this->receive("b", VoteResponse{1, true, true}));
        this->completeSync(this->receive("b", VoteResponse{1, false, true}));
        this->answerAppend(1);
    }
};

} // namespace

class ConsensusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConsensusTest);
    CPPUNIT_TEST(voteIsSentAfterSync);
    CPPUNIT_TEST(isolatedLeaderStopsBeforeNextElection);
    CPPUNIT_TEST(failedSyncStopsMember);
    CPPUNIT_TEST(leaderWithHangingDiskStepsDown);
    CPPUNIT_TEST(membersChangeOneAtATime);
    CPPUNIT_TEST(rejectsCorruptStoredState);
    CPPUNIT_TEST(outgrownSnapshotIsReplaced);
    CPPUNIT_TEST_SUITE_END();

    // The number of 50-byte entries that are committed until a snapshot is requested.
    static int entriesUntilSnapshot(const Settings &settings, std::size_t snapshotBytes)
    {
        StoredState stored = firstStart();
        stored.snapshot.bytes.assign(snapshotBytes, 's');
        SingleMember member(settings, stored);
        member.becomeLeader();
        for (int entries = 1; entries < 100; ++entries) {
            const std::uint64_t id = static_cast<std::uint64_t>(entries);
            const Actions synced =
                    member.completeSync(member.step(Propose{{{id, std::string(50, 'c')}}}));
            if (synced.snapshotRequest || member.answerAppend(id + 1).snapshotRequest)
                return entries;
        }
        return 100;
    }

public:
    // Guards against a member that has no state to serve after all members lost power, until a
    // leader is elected, because small commands never made a snapshot due.
    void outgrownSnapshotIsReplaced()
    {
        Settings settings;
        settings.trailingEntries = 4;
        settings.minimumCompactionBytes = 400;
        settings.maximumCompactionBytes = 2'000;
        CPPUNIT_ASSERT_EQUAL(9, entriesUntilSnapshot(settings, 10));
        CPPUNIT_ASSERT_EQUAL(21, entriesUntilSnapshot(settings, 1'000));
        CPPUNIT_ASSERT_EQUAL(41, entriesUntilSnapshot(settings, 100'000));
    }

    // A vote sent before its sync could be forgotten in a crash and granted again, and one term
    // would have two leaders. The vote is held until it is synced.
    void voteIsSentAfterSync()
    {
        SingleMember member;
        member.now += std::chrono::milliseconds(499);
        CPPUNIT_ASSERT(member.receive("b", VoteRequest{1, {}, false}).messages.empty());
        // The vote is no longer withheld for a leader contact from before the restart.
        member.now += std::chrono::milliseconds(2);
        const Actions asked = member.receive("b", VoteRequest{1, {}, false});
        CPPUNIT_ASSERT(asked.messages.empty() && asked.hardState->votedFor == "b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), member.completeSync(asked).messages.size());
        const Actions second = member.receive("c", VoteRequest{1, {}, false});
        CPPUNIT_ASSERT(!std::get<VoteResponse>(second.messages.at(0).body).granted);
    }

    // The leader is isolated. Its lease, counted from sending the last answered heartbeat, ends
    // before any voter may grant a vote. A change that a late response commits is not acknowledged,
    // and new proposals are refused.
    void isolatedLeaderStopsBeforeNextElection()
    {
        SingleMember member;
        member.becomeLeader();
        CPPUNIT_ASSERT(member.machine.holdsLease(member.now));
        const state::Instant heard = member.now;
        member.completeSync(member.step(Propose{{{7, "change"}}}));
        member.now = heard + std::chrono::milliseconds(491); // 500 ms, 1% drift on both clocks
        CPPUNIT_ASSERT(!member.machine.holdsLease(member.now));
        const Actions late =
                member.receive("b", AppendResponse{1, true, 2, heard.time_since_epoch().count()});
        CPPUNIT_ASSERT(late.committed.size() == 1 && late.answers.empty());
        const Actions refused = member.step(Propose{{{8, "change"}}});
        CPPUNIT_ASSERT(refused.answers.at(0).outcome == ProposalOutcome::Refused);
        member.now = heard + std::chrono::milliseconds(500);
        const Actions resigned = member.step(Tick{});
        CPPUNIT_ASSERT(resigned.answers.at(0).outcome == ProposalOutcome::LeadershipLost);
        CPPUNIT_ASSERT(resigned.roleChange->role == Role::Follower);
    }

    void failedSyncStopsMember()
    {
        SingleMember member;
        member.becomeLeader();
        member.step(Propose{{{7, "change"}}});
        const Actions failed = member.step(
                PersistFailed{state::makeError(ErrorCode::StorageFailed, "sync", "disk full")});
        CPPUNIT_ASSERT(failed.roleChange->error->code == ErrorCode::StorageFailed);
        CPPUNIT_ASSERT(failed.answers.at(0).outcome == ProposalOutcome::LeadershipLost);
        const Actions asked = member.receive("b", AppendRequest{2, {1, 1}, 1, 0, {}});
        CPPUNIT_ASSERT(asked.messages.empty() && asked.persistSequence == 0);
        CPPUNIT_ASSERT(!member.machine.holdsLease(member.now));
    }

    // The sync neither ends nor fails. With responses from a quorum, the lease would be renewed
    // forever while nothing is applied, so the leader steps down.
    void leaderWithHangingDiskStepsDown()
    {
        SingleMember member;
        member.becomeLeader();
        member.step(Propose{{{7, "change"}}});
        for (int tick = 0; tick < 21; ++tick) {
            CPPUNIT_ASSERT(member.machine.currentRole() == Role::Leader);
            member.now += std::chrono::milliseconds(100);
            member.step(Tick{});
            member.answerAppend(2);
            if (member.machine.currentRole() != Role::Leader)
                return;
        }
        CPPUNIT_FAIL("the leader did not step down");
    }

    // Member "c" lost its disk and is replaced by "d", which joins as a learner and votes once
    // caught up; "c" is removed last. A second change is refused while one is in progress.
    void membersChangeOneAtATime()
    {
        const MemberSet target = setOf({voter("a"), voter("b"), voter("d")});
        MemberSet current = setOf({voter("a"), voter("b"), voter("c")});
        const std::set<state::VmId> caughtUp{state::VmId("d")};
        std::vector<MemberChangeKind> steps;
        while (const auto change = nextMemberChange(current, target, caughtUp)) {
            steps.push_back(change->kind);
            current = current.withChange(*change).value();
        }
        CPPUNIT_ASSERT(current == target);
        CPPUNIT_ASSERT((steps
                        == std::vector{MemberChangeKind::AddLearner, MemberChangeKind::Promote,
                                       MemberChangeKind::Remove}));
        CPPUNIT_ASSERT(!nextMemberChange(setOf({voter("a"), voter("b"), voter("c"), learner("d")}),
                                         target, {}));

        SingleMember member;
        member.becomeLeader();
        member.step(ProposeChange{1, {MemberChangeKind::AddLearner, learner("d")}});
        CPPUNIT_ASSERT(member.machine.members().find(state::VmId("d")) != nullptr);
        const Actions second =
                member.step(ProposeChange{2, {MemberChangeKind::Remove, voter("c")}});
        CPPUNIT_ASSERT(second.answers.at(0).error->code == ErrorCode::Conflict);
    }

    void rejectsCorruptStoredState()
    {
        StoredState gap = firstStart();
        gap.hardState.currentTerm = 1;
        gap.entries = {{{1, 2}, state::log::LogEntryKind::Noop, {}}};
        StoredState newer = firstStart();
        newer.entries = {{{1, 1}, state::log::LogEntryKind::Noop, {}}};
        StoredState members = firstStart();
        members.snapshot.configuration = "voter a somewhere\n";
        for (const StoredState &stored : {gap, newer, members}) {
            const auto refused = Consensus::create({}, state::VmId("a"), stored, 1, {});
            CPPUNIT_ASSERT(refused.has_error() && refused.error().code == ErrorCode::Corrupt);
        }
        Settings settings;
        settings.electionTimeout = settings.heartbeatInterval;
        CPPUNIT_ASSERT(
                Consensus::create(settings, state::VmId("a"), firstStart(), 1, {}).error().code
                == ErrorCode::InvalidArgument);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusTest);

} // namespace lavenderthread::coordination::consensus
