// A leader: it sends the log, counts answers, commits and keeps its lease.
#include "coordination/consensus/Consensus.h"

#include <algorithm>
#include <limits>

namespace lavenderthread::coordination::consensus {

namespace {

SendStamp stampOf(state::Instant time)
{
    return time.time_since_epoch().count();
}

} // namespace

void Consensus::heartbeat()
{
    this->nextHeartbeat = this->now + this->settings.heartbeat;
    for (auto &[peer, known] : this->progress)
        this->sendAppend(peer, known, true);
}

void Consensus::sendNewEntries()
{
    for (auto &[peer, known] : this->progress) {
        if (known.mode == ProgressMode::Replicate)
            this->sendAppend(peer, known, false);
    }
}

void Consensus::sendAppend(const state::VmId &peer, Progress &known, bool evenIfEmpty)
{
    const bool compacted = known.next <= this->log.beginning().index;
    if (compacted || known.mode == ProgressMode::Snapshot) {
        const bool fresh = known.mode == ProgressMode::Snapshot
                           && this->now < known.pieceSent + this->settings.heartbeat;
        if (!fresh)
            this->sendSnapshotPiece(peer, known);
        return;
    }
    const std::uint64_t inFlight = known.next - 1 - known.match;
    const std::size_t room = known.mode == ProgressMode::Probe ? this->settings.maximumBatchEntries
                             : inFlight >= this->settings.maximumInFlightEntries
                                     ? 0
                                     : std::min(this->settings.maximumBatchEntries,
                                                this->settings.maximumInFlightEntries - inFlight);
    AppendRequest request;
    request.term = this->hardState.currentTerm;
    request.previous = {*this->log.termAt(known.next - 1), known.next - 1};
    request.commitIndex = this->commit;
    request.stamp = stampOf(this->now);
    if (room > 0)
        request.entries = this->log.slice(known.next, room, this->settings.maximumBatchBytes);
    if (request.entries.empty() && !evenIfEmpty)
        return;
    if (known.mode == ProgressMode::Replicate)
        known.next += request.entries.size();
    this->send(peer, std::move(request));
}

void Consensus::noteAnswer(Progress &known, SendStamp stamp)
{
    const state::Instant sent{state::Duration(stamp)};
    if (sent <= this->now && (!known.acked || *known.acked < sent))
        known.acked = sent;
}

Progress *Consensus::answering(const state::VmId &from, std::uint64_t term, SendStamp stamp)
{
    if (term > this->hardState.currentTerm) {
        this->becomeFollower(term, {});
        return nullptr;
    }
    const auto found = this->progress.find(from);
    if (this->role != Role::Leader || term < this->hardState.currentTerm
        || found == this->progress.end())
        return nullptr;
    this->noteAnswer(found->second, stamp);
    return &found->second;
}

void Consensus::handle(const state::VmId &from, const AppendResponse &response)
{
    Progress *answering = this->answering(from, response.term, response.stamp);
    if (answering == nullptr)
        return;
    Progress &known = *answering;
    if (!response.accepted) {
        this->onRefused(from, known, response);
        return;
    }
    if (response.index > this->log.last().index)
        return;
    known.match = std::max(known.match, response.index);
    known.next = std::max(known.next, known.match + 1);
    const bool reached = known.next > this->log.beginning().index;
    if (known.mode == ProgressMode::Probe && response.stamp >= known.waitingFor) {
        known.mode = ProgressMode::Replicate;
        known.next = known.match + 1;
    } else if (known.mode == ProgressMode::Snapshot && reached) {
        known.mode = ProgressMode::Replicate;
        known.snapshot = nullptr;
    }
    this->advanceCommit();
    this->applyCommitted();
    if (this->role == Role::Leader && known.mode == ProgressMode::Replicate)
        this->sendAppend(from, known, false);
}

void Consensus::onRefused(const state::VmId &from, Progress &known, const AppendResponse &response)
{
    if (known.mode == ProgressMode::Snapshot || response.stamp < known.waitingFor)
        return;
    const std::uint64_t next = std::max(known.match + 1, std::min(known.next, response.index + 1));
    if (known.mode == ProgressMode::Probe && next == known.next)
        return;
    known.next = next;
    known.mode = ProgressMode::Probe;
    known.waitingFor = stampOf(this->now);
    this->sendAppend(from, known, true);
}

void Consensus::advanceCommit()
{
    const auto matchOf = [this](const state::VmId &id) {
        if (id == this->self)
            return this->persisted;
        const auto found = this->progress.find(id);
        return found == this->progress.end() ? 0 : found->second.match;
    };
    const std::uint64_t reached = quorumValue<std::uint64_t>(this->members(), matchOf);
    // An entry of an earlier term on a quorum can still be replaced; one of this term can't.
    if (reached > this->commit && this->log.termAt(reached) == this->hardState.currentTerm)
        this->commit = reached;
}

void Consensus::establish()
{
    if (!this->established && this->applied >= this->firstOwnIndex) {
        this->established = true;
        // Every order of this term gets the position of its own entry, which is above this one.
        this->actions.roleChange = RoleChange{Role::Leader,
                                              {this->hardState.currentTerm, this->firstOwnIndex},
                                              this->electedAt + this->settings.electionTimeout,
                                              std::nullopt};
    }
    // Who leads without being a member any more stays until its removal is committed.
    if (this->established && this->committedMembers().find(this->self) == nullptr) {
        this->answerReady();
        this->becomeFollower(this->hardState.currentTerm, {});
    }
}

// The newest instant from which on a quorum is known to have heard this leader.
std::optional<state::Instant> Consensus::quorumAcked() const
{
    if (this->role != Role::Leader)
        return std::nullopt;
    constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();
    const auto ackedOf = [this](const state::VmId &id) {
        if (id == this->self)
            return stampOf(this->now);
        const auto found = this->progress.find(id);
        const bool known = found != this->progress.end() && found->second.acked.has_value();
        return known ? stampOf(*found->second.acked) : never;
    };
    const std::int64_t acked = quorumValue<std::int64_t>(this->members(), ackedOf);
    if (acked == never)
        return std::nullopt;
    return state::Instant(state::Duration(acked));
}

std::optional<state::Instant> Consensus::leaseUntil() const
{
    if (this->role != Role::Leader || !this->established)
        return std::nullopt;
    const std::optional<state::Instant> acked = this->quorumAcked();
    if (!acked)
        return std::nullopt;
    return *acked + this->settings.lease();
}

bool Consensus::holdsLease(state::Instant at) const
{
    const std::optional<state::Instant> until = this->leaseUntil();
    return until && at < *until;
}

bool Consensus::quorumAnswersSince(state::Instant since, const MemberSet &set) const
{
    std::size_t answering = 0;
    for (const Member &member : set.all()) {
        const auto found = this->progress.find(member.id);
        const bool answers = member.id == this->self
                             || (found != this->progress.end() && found->second.acked
                                 && *found->second.acked >= since);
        if (answers && member.role == MemberRole::Voter)
            ++answering;
    }
    return answering >= set.quorum();
}

// One Progress for every other member of the newest set.
void Consensus::syncProgress()
{
    std::map<state::VmId, Progress> next;
    for (const Member &member : this->members().all()) {
        if (member.id == this->self)
            continue;
        const auto found = this->progress.find(member.id);
        Progress fresh;
        fresh.next = this->log.last().index + 1;
        next[member.id] = found == this->progress.end() ? fresh : found->second;
    }
    this->progress = std::move(next);
}

} // namespace lavenderthread::coordination::consensus
