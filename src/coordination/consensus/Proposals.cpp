// Client requests to the leader: proposals, reads and member changes.
#include "coordination/consensus/Consensus.h"

#include <utility>

namespace lavenderthread::coordination::consensus {

using state::ErrorCode;
using state::makeError;
using state::log::LogEntry;
using state::log::LogEntryKind;

// Returns the answer to a proposal that can't be accepted now, or empty if it can. A proposal that
// is refused here is guaranteed not to enter the log.
std::optional<ProposalAnswer> Consensus::refusal(ProposalId id) const
{
    ProposalAnswer answer{.id = id};
    if (this->role != Role::Leader) {
        answer.outcome = ProposalOutcome::NotLeader;
        answer.leader = this->knownLeader();
        return answer;
    }
    answer.outcome = ProposalOutcome::Refused;
    if (this->established && !this->holdsLease(this->now)) {
        answer.error = makeError(ErrorCode::Unavailable, "consensus.propose", "no quorum answers");
        return answer;
    }
    if (this->log.last().index - this->commit >= this->settings.maximumUncommitted) {
        answer.error = makeError(ErrorCode::Overloaded, "consensus.propose", "too many wait");
        return answer;
    }
    return std::nullopt;
}

void Consensus::handle(const Propose &propose)
{
    for (const Proposal &proposal : propose.proposals) {
        std::optional<ProposalAnswer> refused = this->refusal(proposal.id);
        if (!refused && proposal.payload.size() > this->settings.maximumPayloadBytes) {
            refused = ProposalAnswer{.id = proposal.id, .outcome = ProposalOutcome::Refused};
            refused->error =
                    makeError(ErrorCode::InvalidArgument, "consensus.propose", "payload too large");
        }
        if (refused) {
            this->actions.answers.push_back(*refused);
            continue;
        }
        const state::log::LogPosition position{this->hardState.currentTerm,
                                               this->log.last().index + 1};
        this->appendEntry(LogEntry{position, LogEntryKind::Command, proposal.payload});
        this->pending.push_back({proposal.id, position});
    }
    if (this->role == Role::Leader)
        this->sendNewEntries();
}

void Consensus::handle(const ProposeChange &propose)
{
    std::optional<ProposalAnswer> refused = this->refusal(propose.id);
    if (refused) {
        this->actions.answers.push_back(*refused);
        return;
    }
    const state::Result<MemberSet> next = this->checkChange(propose.change);
    if (next.has_error()) {
        this->actions.answers.push_back(ProposalAnswer{
                .id = propose.id, .outcome = ProposalOutcome::Refused, .error = next.error()});
        return;
    }
    const state::log::LogPosition position{this->hardState.currentTerm, this->log.last().index + 1};
    this->appendEntry(LogEntry{position, LogEntryKind::Configuration, next.value().encode()});
    this->pending.push_back({propose.id, position});
    this->updateTrackedPeers();
    this->sendNewEntries();
}

state::Result<MemberSet> Consensus::checkChange(const MemberChange &change) const
{
    const auto refuse = [](const char *cause) {
        return makeError(ErrorCode::Conflict, "consensus.members", cause);
    };
    // Member sets that differ by more than one member may have disjoint quorums, and thus two
    // leaders. An entry of this term must be committed first; otherwise a change left by a deposed
    // leader could still come between this set and the previous one.
    if (!this->established || this->configurations.back().index > this->commit)
        return refuse("another change is under way");
    BOOST_OUTCOME_TRY(MemberSet next, this->members().withChange(change));
    if (change.kind == MemberChangeKind::Promote
        && !this->caughtUpLearners(this->now).contains(change.member.id))
        return refuse("the learner is not caught up");
    // A member set without a responsive quorum could commit nothing, not even its own repair.
    if (!this->quorumAckedSince(this->now - this->settings.electionTimeout, next))
        return refuse("too few of the remaining voters answer");
    return next;
}

std::set<state::VmId> Consensus::caughtUpLearners(state::Instant at) const
{
    std::set<state::VmId> found;
    for (const auto &[id, peerProgress] : this->progress) {
        const bool answers =
                peerProgress.lastAckedSendTime
                && *peerProgress.lastAckedSendTime + this->settings.electionTimeout >= at;
        if (!this->members().isVoter(id) && answers && peerProgress.match >= this->commit)
            found.insert(id);
    }
    return found;
}

void Consensus::handle(const Read &read)
{
    if (this->role != Role::Leader
        || this->waitingReads.size() >= this->settings.maximumWaitingReads) {
        this->actions.reads.push_back({read.id, false, 0, this->knownLeader()});
        return;
    }
    this->waitingReads.push_back({read, this->now, std::nullopt});
    if (read.kind == ReadKind::QuorumRound)
        this->sendHeartbeats();
}

// Answers proposals that are committed and applied while the lease holds, and reads whose
// leadership check succeeded. A deposed leader may still receive late responses that commit an
// entry; without the lease it does not acknowledge the entry and leaves that to its successor.
void Consensus::answerCompletedRequests()
{
    if (this->role != Role::Leader || !this->established)
        return;
    const bool lease = this->holdsLease(this->now);
    while (lease && !this->pending.empty()
           && this->pending.front().position.index <= this->applied) {
        this->actions.answers.push_back(ProposalAnswer{.id = this->pending.front().id,
                                                       .outcome = ProposalOutcome::Committed,
                                                       .position = this->pending.front().position});
        this->pending.pop_front();
    }
    const std::optional<state::Instant> acked = this->quorumAckTime();
    std::deque<WaitingRead> remaining;
    for (WaitingRead waiting : this->waitingReads) {
        const bool acknowledged = acked && *acked >= waiting.arrived;
        const bool confirmed = waiting.read.kind == ReadKind::Lease ? lease : acknowledged;
        if (confirmed && !waiting.index)
            waiting.index = this->commit;
        if (confirmed && this->applied >= *waiting.index)
            this->actions.reads.push_back({waiting.read.id, true, this->applied, std::nullopt});
        else
            remaining.push_back(waiting);
    }
    this->waitingReads = std::move(remaining);
}

void Consensus::abandonProposals()
{
    for (const PendingProposal &proposal : this->pending)
        this->actions.answers.push_back(
                ProposalAnswer{.id = proposal.id, .outcome = ProposalOutcome::LeadershipLost});
    for (const WaitingRead &waiting : this->waitingReads)
        this->actions.reads.push_back({waiting.read.id, false, 0, std::nullopt});
    this->pending.clear();
    this->waitingReads.clear();
}

} // namespace lavenderthread::coordination::consensus
