// What happens to the consensus machine, and what it asks of its driver.
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
using ProposalId = std::uint64_t; // the driver's own; unique while the proposal waits
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

// Several at once make one batch: one write and one message to each member.
struct Propose
{
    std::vector<Proposal> proposals;
};

struct ProposeChange
{
    ProposalId id = 0;
    MemberChange change;
};

// Lease: answered without a message while the lease holds. Round: waits for a quorum's answer to a
// heartbeat sent after the read arrived, and so does not rest on clocks.
enum class ReadKind : std::uint8_t { Lease, Round };

struct Read
{
    ReadId id = 0;
    ReadKind kind = ReadKind::Lease;
};

// All writes up to this sequence are on the disk and synced.
struct Persisted
{
    std::uint64_t sequence = 0;
};

// A write or sync failed. What is on the disk is unknown, so the member answers nothing any more
// until it is started again from what the disk holds.
struct PersistFailed
{
    state::Error error;
};

// The driver has stored a snapshot that SnapshotWanted asked for.
struct SnapshotTaken
{
    SnapshotPointer snapshot;
};

using Event = std::variant<Tick, Received, Propose, ProposeChange, Read, Persisted, PersistFailed,
                           SnapshotTaken>;

enum class ProposalOutcome : std::uint8_t {
    Committed,      // durable on a quorum and applied here
    LeadershipLost, // unknown: it may still be committed by the next leader
    NotLeader,      // not in the log; `leader` may tell where to go
    Refused,        // not in the log; `error` tells why
};

struct ProposalAnswer
{
    ProposalId id = 0;
    ProposalOutcome outcome = ProposalOutcome::NotLeader;
    state::log::LogPosition position;  // of Committed
    std::optional<Member> leader;      // of NotLeader and LeadershipLost, if known
    std::optional<state::Error> error; // of Refused
};

// The state applied up to `index` when the answer is handed out holds every change acknowledged
// before the read was asked. Not confirmed: ask `leader`, or again if there is none.
struct ReadAnswer
{
    ReadId id = 0;
    bool confirmed = false;
    std::uint64_t index = 0;
    std::optional<Member> leader;
};

enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader, Stopped };

// Told when a member becomes able to act as leader (its first entry is committed, so its state is
// the newest), when it stops being one, and when it stops for good.
struct RoleChange
{
    Role role = Role::Follower;      // Follower, Leader or Stopped
    state::log::LogPosition fencing; // of Leader: older than every order it will give
    // Of Leader: orders to endpoints that ignore fencing wait until here. The voters waited out the
    // old lease already; this also covers an order that was under way when that lease ended.
    state::Instant ordersFrom;
    std::optional<state::Error> error; // of Stopped
};

// The state applied so far should be stored as a snapshot and given back by SnapshotTaken.
struct SnapshotWanted
{
    state::log::LogPosition last;
    std::string configuration;
};

// The driver, in this order: starts to write and sync hardState, snapshot and entries if
// persistSequence is not 0, and gives Persisted back when all are synced (later writes may wait and
// share a sync); sends messages; restores, then applies committed; then hands out the answers.
struct Actions
{
    std::uint64_t persistSequence = 0;
    std::optional<state::log::HardState> hardState;
    SnapshotPointer snapshot;                  // received from the leader; replaces the whole log
    std::vector<state::log::LogEntry> entries; // replace all stored ones from the first one's index

    std::vector<Message> messages;

    SnapshotPointer restore; // replaces the applied state
    std::vector<state::log::LogEntry> committed;
    std::vector<ProposalAnswer> answers;
    std::vector<ReadAnswer> reads;
    std::optional<RoleChange> roleChange;
    std::optional<SnapshotWanted> snapshotWanted;
};

} // namespace lavenderthread::coordination::consensus
