// Leader: replicates the log, processes responses, advances the commit index and keeps the lease.
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

void Consensus::sendHeartbeats()
{
    this->nextHeartbeat = this->now + this->settings.heartbeatInterval;
    for (auto &[peer, peerProgress] : this->progress)
        this->sendAppend(peer, peerProgress, true);
}

void Consensus::sendNewEntries()
{
    for (auto &[peer, peerProgress] : this->progress) {
        if (peerProgress.mode == ProgressMode::Replicate)
            this->sendAppend(peer, peerProgress, false);
    }
}

void Consensus::sendAppend(const state::VmId &peer, Progress &peerProgress, bool evenIfEmpty)
{
    const bool compacted = peerProgress.next <= this->log.startPosition().index;
    if (compacted || peerProgress.mode == ProgressMode::Snapshot) {
        const bool recentlySent =
                peerProgress.mode == ProgressMode::Snapshot
                && this->now < peerProgress.chunkSentAt + this->settings.heartbeatInterval;
        if (!recentlySent)
            this->sendSnapshotChunk(peer, peerProgress);
        return;
    }
    const std::uint64_t inFlight = peerProgress.next - 1 - peerProgress.match;
    const std::size_t maximumEntries =
            peerProgress.mode == ProgressMode::Probe ? this->settings.maximumBatchEntries
            : inFlight >= this->settings.maximumInFlightEntries
                    ? 0
                    : std::min(this->settings.maximumBatchEntries,
                               this->settings.maximumInFlightEntries - inFlight);
    AppendRequest request;
    request.term = this->hardState.currentTerm;
    request.previous = {*this->log.termAt(peerProgress.next - 1), peerProgress.next - 1};
    request.commitIndex = this->commit;
    request.stamp = stampOf(this->now);
    if (maximumEntries > 0)
        request.entries = this->log.slice(peerProgress.next, maximumEntries,
                                          this->settings.maximumBatchBytes);
    if (request.entries.empty() && !evenIfEmpty)
        return;
    if (peerProgress.mode == ProgressMode::Replicate)
        peerProgress.next += request.entries.size();
    this->send(peer, std::move(request));
}

void Consensus::recordAck(Progress &peerProgress, SendStamp stamp)
{
    const state::Instant sent{state::Duration(stamp)};
    if (sent <= this->now
        && (!peerProgress.lastAckedSendTime || *peerProgress.lastAckedSendTime < sent))
        peerProgress.lastAckedSendTime = sent;
}

Progress *Consensus::progressForResponse(const state::VmId &from, std::uint64_t term,
                                         SendStamp stamp)
{
    if (term > this->hardState.currentTerm) {
        this->becomeFollower(term, {});
        return nullptr;
    }
    const auto found = this->progress.find(from);
    if (this->role != Role::Leader || term < this->hardState.currentTerm
        || found == this->progress.end())
        return nullptr;
    this->recordAck(found->second, stamp);
    return &found->second;
}

void Consensus::handle(const state::VmId &from, const AppendResponse &response)
{
    Progress *responder = this->progressForResponse(from, response.term, response.stamp);
    if (responder == nullptr)
        return;
    Progress &peerProgress = *responder;
    if (!response.accepted) {
        this->onAppendRejected(from, peerProgress, response);
        return;
    }
    if (response.index > this->log.last().index)
        return;
    peerProgress.match = std::max(peerProgress.match, response.index);
    peerProgress.next = std::max(peerProgress.next, peerProgress.match + 1);
    const bool reached = peerProgress.next > this->log.startPosition().index;
    if (peerProgress.mode == ProgressMode::Probe && response.stamp >= peerProgress.awaitedStamp) {
        peerProgress.mode = ProgressMode::Replicate;
        peerProgress.next = peerProgress.match + 1;
    } else if (peerProgress.mode == ProgressMode::Snapshot && reached) {
        peerProgress.mode = ProgressMode::Replicate;
        peerProgress.snapshot = nullptr;
    }
    this->advanceCommit();
    this->applyCommitted();
    if (this->role == Role::Leader && peerProgress.mode == ProgressMode::Replicate)
        this->sendAppend(from, peerProgress, false);
}

void Consensus::onAppendRejected(const state::VmId &from, Progress &peerProgress,
                                 const AppendResponse &response)
{
    if (peerProgress.mode == ProgressMode::Snapshot || response.stamp < peerProgress.awaitedStamp)
        return;
    const std::uint64_t next =
            std::max(peerProgress.match + 1, std::min(peerProgress.next, response.index + 1));
    if (peerProgress.mode == ProgressMode::Probe && next == peerProgress.next)
        return;
    peerProgress.next = next;
    peerProgress.mode = ProgressMode::Probe;
    peerProgress.awaitedStamp = stampOf(this->now);
    this->sendAppend(from, peerProgress, true);
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
    // An entry of an earlier term can still be replaced even if a quorum stores it; an entry of the
    // current term can't.
    if (reached > this->commit && this->log.termAt(reached) == this->hardState.currentTerm)
        this->commit = reached;
}

void Consensus::establishLeadership()
{
    if (!this->established && this->applied >= this->termStartIndex) {
        this->established = true;
        // Every order of this term carries the position of its own entry, which is above this one.
        this->actions.roleChange = RoleChange{Role::Leader,
                                              {this->hardState.currentTerm, this->termStartIndex},
                                              this->electedAt + this->settings.electionTimeout,
                                              std::nullopt};
    }
    // A leader that is being removed stays leader until its removal is committed.
    if (this->established && this->committedMembers().find(this->self) == nullptr) {
        this->answerCompletedRequests();
        this->becomeFollower(this->hardState.currentTerm, {});
    }
}

// The latest send time such that a quorum has answered a request sent then or later; empty if there
// is none or this member is not the leader.
std::optional<state::Instant> Consensus::quorumAckTime() const
{
    if (this->role != Role::Leader)
        return std::nullopt;
    constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min();
    const auto ackedOf = [this](const state::VmId &id) {
        if (id == this->self)
            return stampOf(this->now);
        const auto found = this->progress.find(id);
        const bool hasAck =
                found != this->progress.end() && found->second.lastAckedSendTime.has_value();
        return hasAck ? stampOf(*found->second.lastAckedSendTime) : never;
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
    const std::optional<state::Instant> acked = this->quorumAckTime();
    if (!acked)
        return std::nullopt;
    return *acked + this->settings.lease();
}

bool Consensus::holdsLease(state::Instant at) const
{
    const std::optional<state::Instant> until = this->leaseUntil();
    return until && at < *until;
}

bool Consensus::quorumAckedSince(state::Instant since, const MemberSet &set) const
{
    std::size_t answering = 0;
    for (const Member &member : set.all()) {
        const auto found = this->progress.find(member.id);
        const bool answers = member.id == this->self
                             || (found != this->progress.end() && found->second.lastAckedSendTime
                                 && *found->second.lastAckedSendTime >= since);
        if (answers && member.role == MemberRole::Voter)
            ++answering;
    }
    return answering >= set.quorum();
}

// Keeps one Progress for every other member of the newest member set.
void Consensus::updateTrackedPeers()
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
