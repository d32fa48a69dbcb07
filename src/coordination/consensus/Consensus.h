// The consensus of one control member: (state, event, now) -> actions, Raft with pre-vote,
// check-quorum, a leader lease, learners and one-at-a-time change of members.
//
// Sources: Consensus.cpp (events, timers, writes), Election.cpp, Replication.cpp (leader),
// Following.cpp (follower), SnapshotTransfer.cpp, Proposals.cpp (proposals, reads, members).
#pragma once

#include "coordination/consensus/Events.h"
#include "coordination/consensus/Members.h"
#include "coordination/consensus/MemoryLog.h"
#include "coordination/consensus/Progress.h"
#include "coordination/consensus/Settings.h"
#include "state/Error.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace lavenderthread::coordination::consensus {

// What the disk held at start. The driver has restored its state from `snapshot`. A first member
// set is given as a snapshot at position {0, 0}; a newcomer starts with an empty one.
struct Stored
{
    state::log::HardState hardState;
    state::log::LogSnapshot snapshot;
    std::vector<state::log::LogEntry> entries; // contiguous; those up to snapshot.last are skipped
};

class Consensus
{
public:
    // Errors: InvalidArgument (settings, id), Corrupt (the stored parts do not fit together).
    static state::Result<Consensus> create(const Settings &settings, const state::VmId &self,
                                           const Stored &stored, std::uint64_t seed,
                                           state::Instant now);

    Actions step(const Event &event, state::Instant now);
    state::Instant nextTimer() const; // Tick is due then; later does no harm but delay

    Role currentRole() const { return this->role; }
    std::uint64_t currentTerm() const { return this->hardState.currentTerm; }
    std::uint64_t appliedIndex() const { return this->applied; }
    std::uint64_t committedIndex() const { return this->commit; }
    state::log::LogPosition lastPosition() const { return this->log.last(); }
    const state::VmId &id() const { return this->self; }
    // The newest set in the log, and the one that can't be undone any more.
    const MemberSet &members() const { return this->configurations.back().members; }
    const MemberSet &committedMembers() const;
    std::optional<Member> knownLeader() const;
    // True while this leader may acknowledge, answer reads and give orders.
    bool holdsLease(state::Instant now) const;
    // Where that ends as far as is known now; nothing without a lease.
    std::optional<state::Instant> leaseUntil() const;
    // Learners that may be promoted now; empty if not leader.
    std::set<state::VmId> caughtUpLearners(state::Instant now) const;

private:
    struct Configuration
    {
        std::uint64_t index = 0;
        MemberSet members;
    };
    // A write on its way to the disk. Invariant: `last` is the end of what the write left in the
    // log, lowered when a later write cuts below it.
    struct Write
    {
        std::uint64_t sequence = 0;
        std::uint64_t last = 0;
        state::Instant issued;
    };
    struct HeldMessage
    {
        std::uint64_t sequence = 0;
        Message message;
    };
    struct PendingProposal
    {
        ProposalId id = 0;
        state::log::LogPosition position;
    };
    struct WaitingRead
    {
        Read read;
        state::Instant arrived;
        std::optional<std::uint64_t> index; // committed when leadership was confirmed
    };
    struct IncomingSnapshot
    {
        state::log::LogSnapshot snapshot;
        std::uint64_t totalBytes = 0;
    };

    Consensus(const Settings &chosen, state::VmId name, std::uint64_t seed, state::Instant at);

    // Consensus.cpp
    void handle(const Tick &tick);
    void handle(const Received &received);
    void handle(const Persisted &persisted);
    void handle(const PersistFailed &failed);
    void handle(const SnapshotTaken &taken);
    Actions finish();
    void halt(const state::Error &error);
    void send(const state::VmId &to, MessageBody body);
    void sendWhenPersisted(const state::VmId &to, MessageBody body);
    std::uint64_t markPersist();
    void writeHardState(std::uint64_t term, const std::string &votedFor);
    void appendEntry(state::log::LogEntry entry);
    void truncateFrom(std::uint64_t index);
    void applyCommitted();
    void askForSnapshot();
    void releaseHeldMessages();

    // Election.cpp
    bool hearsLeader() const;
    void resetElectionTimer();
    void startPreVote();
    void startElection();
    void requestVotes(bool preVote);
    void countVotes();
    void becomeFollower(std::uint64_t term, const state::VmId &newLeader);
    void becomeLeader();
    void handle(const state::VmId &from, const VoteRequest &request);
    void handle(const state::VmId &from, const VoteResponse &response);

    // Replication.cpp
    void heartbeat();
    void sendAppend(const state::VmId &peer, Progress &progress, bool evenIfEmpty);
    void sendNewEntries();
    void handle(const state::VmId &from, const AppendResponse &response);
    // Where the peer stands, if this leads in the term of its answer; steps down for a higher one.
    Progress *answering(const state::VmId &from, std::uint64_t term, SendStamp stamp);
    void noteAnswer(Progress &progress, SendStamp stamp);
    void onRefused(const state::VmId &from, Progress &progress, const AppendResponse &response);
    void advanceCommit();
    void establish();
    std::optional<state::Instant> quorumAcked() const;
    bool quorumAnswersSince(state::Instant since, const MemberSet &set) const;
    void syncProgress();

    // Following.cpp
    void handle(const state::VmId &from, const AppendRequest &request);
    void storeEntries(const AppendRequest &request);
    std::uint64_t matchHint(const state::log::LogPosition &previous) const;
    void hearLeader(const state::VmId &from, std::uint64_t term);

    // SnapshotTransfer.cpp
    void sendSnapshotPiece(const state::VmId &peer, Progress &progress);
    void handle(const state::VmId &from, const SnapshotPiece &piece);
    void handle(const state::VmId &from, const SnapshotResponse &response);
    void installSnapshot(IncomingSnapshot complete, const MemberSet &members);

    // Proposals.cpp
    void handle(const Propose &propose);
    void handle(const ProposeChange &change);
    void handle(const Read &read);
    std::optional<ProposalAnswer> refusal(ProposalId id) const;
    state::Result<MemberSet> checkChange(const MemberChange &change) const;
    void answerReady();
    void abandonProposals();

    Settings settings;
    state::VmId self;
    std::mt19937_64 random;
    state::Instant now;
    Actions actions; // of the step under way

    state::log::HardState hardState; // as in memory; synced once its write is
    MemoryLog log;
    SnapshotPointer latestSnapshot;           // last.index >= log start
    std::deque<Configuration> configurations; // of the log, oldest first, never empty
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;      // <= commit, <= persisted
    std::uint64_t persisted = 0;    // last log index synced here
    SnapshotPointer pendingRestore; // received; applied once it is synced
    bool snapshotAsked = false;

    std::uint64_t issuedSequence = 0;
    std::uint64_t doneSequence = 0;
    std::deque<Write> writes;           // by sequence, all above doneSequence
    std::deque<HeldMessage> held;       // by sequence
    std::vector<Message> unsentAnswers; // of this step; held if the step or an earlier one writes

    Role role = Role::Follower;
    state::VmId leader; // of the current term, empty if unknown
    // When this member last heard a leader, or started: what it promised before a crash is
    // forgotten, so it keeps the longest promise it can have made.
    state::Instant leaderHeard;
    state::Instant electionDue;
    std::set<state::VmId> votes;
    std::uint64_t ownVoteSequence = 0; // own vote counts once this is synced
    std::optional<IncomingSnapshot> incoming;

    // Leader only.
    std::map<state::VmId, Progress> progress; // every member but this one
    state::Instant electedAt;
    state::Instant nextHeartbeat;
    std::uint64_t firstOwnIndex = 0;     // of the entry with which this term began
    bool established = false;            // that entry is committed and applied
    std::deque<PendingProposal> pending; // by index
    std::deque<WaitingRead> waitingReads;
};

} // namespace lavenderthread::coordination::consensus
