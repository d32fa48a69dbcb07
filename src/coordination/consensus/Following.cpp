// Follower: stores the entries that the leader sends and acknowledges them once they are synced.
#include "coordination/consensus/Consensus.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

using state::log::LogEntry;
using state::log::LogPosition;

void Consensus::onLeaderContact(const state::VmId &from, std::uint64_t term)
{
    if (term > this->hardState.currentTerm || this->role != Role::Follower || this->leader != from)
        this->becomeFollower(term, from);
    this->lastLeaderContact = this->now;
    this->resetElectionTimer();
}

void Consensus::handle(const state::VmId &from, const AppendRequest &request)
{
    const std::uint64_t current = this->hardState.currentTerm;
    if (request.term < current) {
        this->sendWhenPersisted(from, AppendResponse{current, false, 0, request.stamp});
        return;
    }
    if (request.term == current && this->role == Role::Leader)
        return; // a term has only one leader: the message is forged or misdirected
    this->onLeaderContact(from, request.term);
    if (request.previous.index < this->log.startPosition().index) {
        // The snapshot covers this position, so it is committed and matches every leader's log.
        this->sendWhenPersisted(
                from,
                AppendResponse{request.term, true, this->log.startPosition().index, request.stamp});
        return;
    }
    if (!this->log.contains(request.previous)) {
        this->sendWhenPersisted(from,
                                AppendResponse{request.term, false,
                                               this->matchHint(request.previous), request.stamp});
        return;
    }
    this->storeEntries(request);
    if (this->role == Role::Stopped)
        return;
    const std::uint64_t match = request.previous.index + request.entries.size();
    if (std::min(request.commitIndex, match) > this->commit)
        this->commit = std::min(request.commitIndex, match);
    this->sendWhenPersisted(from, AppendResponse{request.term, true, match, request.stamp});
    this->applyCommitted();
}

void Consensus::storeEntries(const AppendRequest &request)
{
    std::uint64_t index = request.previous.index;
    for (const LogEntry &entry : request.entries) {
        ++index;
        if (entry.position.index != index || entry.position.term > request.term) {
            this->halt(state::makeError(
                    state::ErrorCode::Corrupt, "consensus.append",
                    "append request has entries out of order or of a later term at index "
                            + std::to_string(index),
                    this->leader.value()));
            return;
        }
        if (this->log.contains(entry.position))
            continue;
        if (index <= this->commit) {
            this->halt(state::makeError(state::ErrorCode::Corrupt, "consensus.append",
                                        "append request would replace the committed entry "
                                                + std::to_string(index),
                                        this->leader.value()));
            return;
        }
        if (index <= this->log.last().index)
            this->truncateFrom(index);
        this->appendEntry(entry);
        if (this->role == Role::Stopped)
            return;
    }
}

// The index the leader should try next: the end of this log, or the entry before the conflicting
// term, so that a long stale tail costs one round trip per term instead of one per entry.
std::uint64_t Consensus::matchHint(const LogPosition &previous) const
{
    const std::optional<std::uint64_t> term = this->log.termAt(previous.index);
    if (!term)
        return this->log.last().index;
    std::uint64_t index = previous.index;
    while (index > this->commit && index > this->log.startPosition().index
           && this->log.termAt(index) == term)
        --index;
    return index;
}

} // namespace lavenderthread::coordination::consensus
