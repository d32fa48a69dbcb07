// Input events of the consensus state machine, and the actions that its driver carries out.
#pragma once

#include "coordination/consensus/Members.h"
#include "coordination/consensus/Messages.h"
#include "state/Error.h"
#include "state/Time.h"
#include "state/log/LogEntry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lavenderthread::coordination::consensus {

using SnapshotPointer = std::shared_ptr<const state::log::LogSnapshot>;
using ProposalId = std::uint64_t; // chosen by the driver; unique while the proposal is pending
using ReadId = std::uint64_t;

struct Tick
{
    auto operator<=>(const Tick &) const = default;
};

struct Received
{
    Message message;
};

struct Proposal
{
    ProposalId id = 0;
    std::string payload;
};

// Proposals of one event form a batch: one write and one message to each member.
struct Propose
{
    std::vector<Proposal> proposals;
};

struct ProposeChange
{
    ProposalId id = 0;
    MemberChange change;
};

// Lease: answered without a message while the lease holds. QuorumRound: waits until a quorum
// answers a heartbeat sent after the read arrived, and so does not depend on clocks.
enum class ReadKind : std::uint8_t { Lease, QuorumRound };

struct Read
{
    ReadId id = 0;
    ReadKind kind = ReadKind::Lease;
};

// All writes up to this sequence number are synced to disk.
struct Persisted
{
    std::uint64_t sequence = 0;
};

// A write or sync failed. The content of the disk is unknown, so the member stops answering until
// it is restarted from its stored state.
struct PersistFailed
{
    state::Error error;
};

// The driver has stored the snapshot requested by SnapshotRequest.
struct SnapshotTaken
{
    SnapshotPointer snapshot;
};

using Event = std::variant<Tick, Received, Propose, ProposeChange, Read, Persisted, PersistFailed,
                           SnapshotTaken>;

enum class ProposalOutcome : std::uint8_t {
    Committed,      // durable on a quorum and applied here
    LeadershipLost, // outcome unknown: the next leader may still commit it
    NotLeader,      // not in the log; `leader` is the current leader if known
    Refused,        // not in the log; `error` gives the reason
};

struct ProposalAnswer
{
    ProposalId id = 0;
    ProposalOutcome outcome = ProposalOutcome::NotLeader;
    state::log::LogPosition position;  // for Committed
    std::optional<Member> leader;      // for NotLeader and LeadershipLost, if known
    std::optional<state::Error> error; // for Refused
};

// When the answer is delivered, the state applied up to `index` contains every change acknowledged
// before the read was requested. If not confirmed: retry at `leader`, or here if there is none.
struct ReadAnswer
{
    ReadId id = 0;
    bool confirmed = false;
    std::uint64_t index = 0;
    std::optional<Member> leader;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Stopped };

// Emitted when a member becomes able to act as leader (the first entry of its term is committed, so
// its state is up to date), when it loses leadership, and when it stops permanently.
struct RoleChange
{
    Role role = Role::Follower;      // Follower, Leader or Stopped
    state::log::LogPosition fencing; // for Leader: below the position of every order it will issue
    // For Leader: orders to endpoints that ignore fencing are delayed until this time. The voters
    // have already waited for the old lease to end; the delay also covers an order that was in
    // flight at that moment.
    state::Instant ordersFrom;
    std::optional<state::Error> error; // for Stopped
};

// Asks the driver to store the state applied so far as a snapshot and to return it in
// SnapshotTaken.
struct SnapshotRequest
{
    state::log::LogPosition last;
    std::string configuration;
};

// The driver performs these in order:
// 1. If persistSequence is not 0, starts to write and sync hardState, snapshot and entries, and
//    reports Persisted when all are synced (later writes may wait and share a sync).
// 2. Sends messages.
// 3. Restores `restore`, then applies `committed`.
// 4. Delivers answers and reads.
struct Actions
{
    std::uint64_t persistSequence = 0;
    std::optional<state::log::HardState> hardState;
    SnapshotPointer snapshot; // received from the leader; replaces the whole log
    // Replace all stored entries from the first one's index.
    std::vector<state::log::LogEntry> entries;

    std::vector<Message> messages;

    SnapshotPointer restore; // replaces the applied state
    std::vector<state::log::LogEntry> committed;
    std::vector<ProposalAnswer> answers;
    std::vector<ReadAnswer> reads;
    std::optional<RoleChange> roleChange;
    std::optional<SnapshotRequest> snapshotRequest;
};

} // namespace lavenderthread::coordination::consensus
