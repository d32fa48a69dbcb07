// Single rules of the consensus that random schedules would pass by without telling which one held.
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

Stored firstStart()
{
    Stored stored;
    stored.snapshot.configuration = setOf({voter("a"), voter("b"), voter("c")}).encode();
    return stored;
}

// Member "a" of three, alone with the test, which plays the other two and the disk.
struct Solo
{
    explicit Solo(const Settings &settings = {}, const Stored &stored = firstStart())
        : machine(Consensus::create(settings, state::VmId("a"), stored, 1, {}).value())
    {}

    Consensus machine;
    state::Instant now;

    Actions give(const Event &event) { return this->machine.step(event, this->now); }
    Actions hear(const std::string &from, MessageBody body)
    {
        return this->give(Received{{state::VmId(from), state::VmId("a"), std::move(body)}});
    }
    Actions synced(const Actions &actions)
    {
        return this->give(Persisted{actions.persistSequence});
    }
    Actions answerAppend(std::uint64_t index)
    {
        return this->hear("b", AppendResponse{this->machine.currentTerm(), true, index,
                                              this->now.time_since_epoch().count()});
    }

    // Leader of term 1 whose first entry is committed.
    void lead()
    {
        this->now = this->machine.nextTimer();
        this->give(Tick{});
        this->synced(this->hear("b", VoteResponse{1, true, true}));
        this->synced(this->hear("b", VoteResponse{1, false, true}));
        this->answerAppend(1);
    }
};

} // namespace

class ConsensusTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConsensusTest);
    CPPUNIT_TEST(voteLeavesAfterItsSync);
    CPPUNIT_TEST(isolatedLeaderStopsInTime);
    CPPUNIT_TEST(failedSyncSilencesTheMember);
    CPPUNIT_TEST(leaderWithHangingDiskResigns);
    CPPUNIT_TEST(membersChangeOneAtATime);
    CPPUNIT_TEST(refusesToStartOnDamage);
    CPPUNIT_TEST(logThatOutgrowsItsSnapshotIsReplaced);
    CPPUNIT_TEST_SUITE_END();

    // Entries of 50 bytes that are committed until a snapshot is wanted.
    static int entriesUntilSnapshot(const Settings &settings, std::size_t snapshotBytes)
    {
        Stored stored = firstStart();
        stored.snapshot.bytes.assign(snapshotBytes, 's');
        Solo solo(settings, stored);
        solo.lead();
        for (int entries = 1; entries < 100; ++entries) {
            const std::uint64_t id = static_cast<std::uint64_t>(entries);
            const Actions synced = solo.synced(solo.give(Propose{{{id, std::string(50, 'c')}}}));
            if (synced.snapshotWanted || solo.answerAppend(id + 1).snapshotWanted)
                return entries;
        }
        return 100;
    }

public:
    // Guards against a member that, when all have lost power, holds nothing that it could hand out
    // before a leader is elected, since small commands had never filled the log.
    void logThatOutgrowsItsSnapshotIsReplaced()
    {
        Settings settings;
        settings.trailingEntries = 4;
        settings.compactionLeastBytes = 400;
        settings.compactionBytes = 2'000;
        CPPUNIT_ASSERT_EQUAL(9, entriesUntilSnapshot(settings, 10));
        CPPUNIT_ASSERT_EQUAL(21, entriesUntilSnapshot(settings, 1'000));
        CPPUNIT_ASSERT_EQUAL(41, entriesUntilSnapshot(settings, 100'000));
    }

    // A vote that left before its sync could be given again after a crash, and one term would have
    // two leaders. It stays here until the disk has it.
    void voteLeavesAfterItsSync()
    {
        Solo solo;
        solo.now += std::chrono::milliseconds(499);
        CPPUNIT_ASSERT(solo.hear("b", VoteRequest{1, {}, false}).messages.empty());
        solo.now += std::chrono::milliseconds(2); // what it promised before a restart is over
        const Actions asked = solo.hear("b", VoteRequest{1, {}, false});
        CPPUNIT_ASSERT(asked.messages.empty() && asked.hardState->votedFor == "b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), solo.synced(asked).messages.size());
        const Actions second = solo.hear("c", VoteRequest{1, {}, false});
        CPPUNIT_ASSERT(!std::get<VoteResponse>(second.messages.at(0).body).granted);
    }

    // The leader is cut off. Its lease ends before any voter's promise can, counted from the
    // sending of the heartbeat that was answered last; a change that is committed by a late answer
    // is not acknowledged, and new ones are refused.
    void isolatedLeaderStopsInTime()
    {
        Solo solo;
        solo.lead();
        CPPUNIT_ASSERT(solo.machine.holdsLease(solo.now));
        const state::Instant heard = solo.now;
        solo.synced(solo.give(Propose{{{7, "change"}}}));
        solo.now = heard + std::chrono::milliseconds(491); // 500 ms, 1% drift on both clocks
        CPPUNIT_ASSERT(!solo.machine.holdsLease(solo.now));
        const Actions late =
                solo.hear("b", AppendResponse{1, true, 2, heard.time_since_epoch().count()});
        CPPUNIT_ASSERT(late.committed.size() == 1 && late.answers.empty());
        const Actions refused = solo.give(Propose{{{8, "change"}}});
        CPPUNIT_ASSERT(refused.answers.at(0).outcome == ProposalOutcome::Refused);
        solo.now = heard + std::chrono::milliseconds(500);
        const Actions resigned = solo.give(Tick{});
        CPPUNIT_ASSERT(resigned.answers.at(0).outcome == ProposalOutcome::LeadershipLost);
        CPPUNIT_ASSERT(resigned.roleChange->role == Role::Follower);
    }

    void failedSyncSilencesTheMember()
    {
        Solo solo;
        solo.lead();
        solo.give(Propose{{{7, "change"}}});
        const Actions failed = solo.give(
                PersistFailed{state::makeError(ErrorCode::StorageFailed, "sync", "disk full")});
        CPPUNIT_ASSERT(failed.roleChange->error->code == ErrorCode::StorageFailed);
        CPPUNIT_ASSERT(failed.answers.at(0).outcome == ProposalOutcome::LeadershipLost);
        const Actions asked = solo.hear("b", AppendRequest{2, {1, 1}, 1, 0, {}});
        CPPUNIT_ASSERT(asked.messages.empty() && asked.persistSequence == 0);
        CPPUNIT_ASSERT(!solo.machine.holdsLease(solo.now));
    }

    // Sync neither ends nor fails. With answers from a quorum the lease would go on for ever while
    // nothing is applied, so the leader makes way.
    void leaderWithHangingDiskResigns()
    {
        Solo solo;
        solo.lead();
        solo.give(Propose{{{7, "change"}}});
        for (int beat = 0; beat < 21; ++beat) {
            CPPUNIT_ASSERT(solo.machine.currentRole() == Role::Leader);
            solo.now += std::chrono::milliseconds(100);
            solo.give(Tick{});
            solo.answerAppend(2);
            if (solo.machine.currentRole() != Role::Leader)
                return;
        }
        CPPUNIT_FAIL("still leads");
    }

    // A lost disk "c" is replaced by "d": it enters as a learner, votes once caught up, and "c"
    // leaves last. A second change while one is under way is refused.
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

        Solo solo;
        solo.lead();
        solo.give(ProposeChange{1, {MemberChangeKind::AddLearner, learner("d")}});
        CPPUNIT_ASSERT(solo.machine.members().find(state::VmId("d")) != nullptr);
        const Actions second = solo.give(ProposeChange{2, {MemberChangeKind::Remove, voter("c")}});
        CPPUNIT_ASSERT(second.answers.at(0).error->code == ErrorCode::Conflict);
    }

    void refusesToStartOnDamage()
    {
        Stored gap = firstStart();
        gap.hardState.currentTerm = 1;
        gap.entries = {{{1, 2}, state::log::LogEntryKind::Noop, {}}};
        Stored newer = firstStart();
        newer.entries = {{{1, 1}, state::log::LogEntryKind::Noop, {}}};
        Stored members = firstStart();
        members.snapshot.configuration = "voter a somewhere\n";
        for (const Stored &stored : {gap, newer, members}) {
            const auto refused = Consensus::create({}, state::VmId("a"), stored, 1, {});
            CPPUNIT_ASSERT(refused.has_error() && refused.error().code == ErrorCode::Corrupt);
        }
        Settings settings;
        settings.electionTimeout = settings.heartbeat;
        CPPUNIT_ASSERT(
                Consensus::create(settings, state::VmId("a"), firstStart(), 1, {}).error().code
                == ErrorCode::InvalidArgument);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusTest);

} // namespace lavenderthread::coordination::consensus
