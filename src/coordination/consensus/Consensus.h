// Raft consensus of one control member as a deterministic state machine: (state, event, now) ->
// actions. Implements pre-vote, check-quorum, a leader lease, learners and single-member changes.
//
// Sources: Consensus.cpp (events, timers, writes), Election.cpp, Replication.cpp (leader),
// Following.cpp (follower), SnapshotTransfer.cpp, Proposals.cpp (proposals, reads, member
// changes).
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

// State read from disk at startup. The driver has already restored its own state from `snapshot`.
// The initial member set is passed as a snapshot at position {0, 0}; a new member starts with an
// empty set.
struct StoredState
{
    state::log::HardState hardState;
    state::log::LogSnapshot snapshot;
    std::vector<state::log::LogEntry> entries; // contiguous; those up to snapshot.last are skipped
};

// Handles one event at a time. It performs no I/O: the driver carries out the returned actions.
class Consensus
{
public:
    // Errors: InvalidArgument (settings, id), Corrupt (snapshot, entries and term are
    // inconsistent).
    static state::Result<Consensus> create(const Settings &settings, const state::VmId &self,
                                           const StoredState &stored, std::uint64_t seed,
                                           state::Instant now);

    Actions step(const Event &event, state::Instant now);
    state::Instant nextTimer() const; // when Tick is due; a late Tick only delays

    Role currentRole() const { return this->role; }
    std::uint64_t currentTerm() const { return this->hardState.currentTerm; }
    std::uint64_t appliedIndex() const { return this->applied; }
    std::uint64_t committedIndex() const { return this->commit; }
    state::log::LogPosition lastPosition() const { return this->log.last(); }
    const state::VmId &id() const { return this->self; }
    // The newest set in the log, which may still be truncated.
    const MemberSet &members() const { return this->configurations.back().members; }
    // The newest applied set, which is final.
    const MemberSet &committedMembers() const;
    std::optional<Member> knownLeader() const;
    // True while this leader may acknowledge proposals, answer reads and issue orders.
    bool holdsLease(state::Instant now) const;
    // When the lease ends, as far as known now; empty without a lease.
    std::optional<state::Instant> leaseUntil() const;
    // Learners that can be promoted now; empty if this member is not the leader.
    std::set<state::VmId> caughtUpLearners(state::Instant now) const;

private:
    struct Configuration
    {
        std::uint64_t index = 0;
        MemberSet members;
    };
    // A write that is not yet synced. Invariant: `last` is the last log index that the write
    // covers; a later truncation below it lowers it.
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
        std::optional<std::uint64_t> index; // commit index when leadership was confirmed
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
    Actions finishStep();
    void halt(const state::Error &error);
    void send(const state::VmId &to, MessageBody body);
    void sendWhenPersisted(const state::VmId &to, MessageBody body);
    std::uint64_t assignWriteSequence();
    void writeHardState(std::uint64_t term, const std::string &votedFor);
    void appendEntry(state::log::LogEntry entry);
    void truncateFrom(std::uint64_t index);
    void applyCommitted();
    void requestSnapshot();
    void releaseHeldMessages();

    // Election.cpp
    bool hasActiveLeader() const;
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
    void sendHeartbeats();
    void sendAppend(const state::VmId &peer, Progress &peerProgress, bool evenIfEmpty);
    void sendNewEntries();
    void handle(const state::VmId &from, const AppendResponse &response);
    // Returns the peer's progress if this member leads in the response's term, otherwise nullptr.
    // Steps down if the response's term is higher.
    Progress *progressForResponse(const state::VmId &from, std::uint64_t term, SendStamp stamp);
    void recordAck(Progress &peerProgress, SendStamp stamp);
    void onAppendRejected(const state::VmId &from, Progress &peerProgress,
                          const AppendResponse &response);
    void advanceCommit();
    void establishLeadership();
    std::optional<state::Instant> quorumAckTime() const;
    bool quorumAckedSince(state::Instant since, const MemberSet &set) const;
    void updateTrackedPeers();

    // Following.cpp
    void handle(const state::VmId &from, const AppendRequest &request);
    void storeEntries(const AppendRequest &request);
    std::uint64_t matchHint(const state::log::LogPosition &previous) const;
    void onLeaderContact(const state::VmId &from, std::uint64_t term);

    // SnapshotTransfer.cpp
    void sendSnapshotChunk(const state::VmId &peer, Progress &peerProgress);
    void handle(const state::VmId &from, const SnapshotChunk &chunk);
    void handle(const state::VmId &from, const SnapshotResponse &response);
    void installSnapshot(IncomingSnapshot complete, const MemberSet &members);

    // Proposals.cpp
    void handle(const Propose &propose);
    void handle(const ProposeChange &change);
    void handle(const Read &read);
    std::optional<ProposalAnswer> refusal(ProposalId id) const;
    state::Result<MemberSet> checkChange(const MemberChange &change) const;
    void answerCompletedRequests();
    void abandonProposals();

    Settings settings;
    state::VmId self;
    std::mt19937_64 random;
    state::Instant now;
    Actions actions; // of the current step

    state::log::HardState hardState; // in memory; durable once its write is synced
    MemoryLog log;
    SnapshotPointer latestSnapshot;           // last.index >= log start index
    std::deque<Configuration> configurations; // in the log, oldest first, never empty
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;      // <= commit, <= persisted
    std::uint64_t persisted = 0;    // last log index synced on this member
    SnapshotPointer pendingRestore; // received snapshot; restored once synced
    bool snapshotRequested = false;

    std::uint64_t issuedSequence = 0;
    std::uint64_t persistedSequence = 0;
    std::deque<Write> writes;             // by sequence, all above persistedSequence
    std::deque<HeldMessage> heldMessages; // by sequence
    // Messages of this step that are held until all writes issued so far are synced.
    std::vector<Message> messagesAfterPersist;

    Role role = Role::Follower;
    state::VmId leader; // of the current term, empty if unknown
    // Last contact with a leader, or startup. A crash loses the time of the last contact, so a
    // restarted member assumes the latest one possible and withholds its vote that long.
    state::Instant lastLeaderContact;
    state::Instant electionDue;
    std::set<state::VmId> votes;
    std::uint64_t ownVoteSequence = 0; // the vote for itself counts once this write is synced
    std::optional<IncomingSnapshot> incomingSnapshot;

    // Leader only.
    std::map<state::VmId, Progress> progress; // every other member
    state::Instant electedAt;
    state::Instant nextHeartbeat;
    std::uint64_t termStartIndex = 0;    // of the no-op entry that starts this term
    bool established = false;            // the entry at termStartIndex is committed and applied
    std::deque<PendingProposal> pending; // by index
    std::deque<WaitingRead> waitingReads;
};

} // namespace lavenderthread::coordination::consensus
