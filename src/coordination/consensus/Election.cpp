// Pre-vote, elections and term changes.
#include "coordination/consensus/Consensus.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

using state::log::LogEntry;
using state::log::LogEntryKind;

// The voter's side of the leader lease: while this returns true, this member grants no vote.
// Otherwise a new leader could be elected while the old one still answers reads from stale state.
bool Consensus::hasActiveLeader() const
{
    if (this->role == Role::Leader)
        return this->holdsLease(this->now);
    return this->now < this->lastLeaderContact + this->settings.electionTimeout;
}

void Consensus::resetElectionTimer()
{
    std::uniform_int_distribution<std::int64_t> jitter(0, this->settings.electionTimeout.count());
    this->electionDue =
            this->now + this->settings.electionTimeout + state::Duration(jitter(this->random));
}

// Asks whether an election could be won before it increments the term. A member that returns from a
// partition therefore does not depose a leader that all others can reach.
void Consensus::startPreVote()
{
    this->role = Role::PreCandidate;
    this->leader = {};
    this->resetElectionTimer();
    this->votes = {this->self};
    this->requestVotes(true);
    this->countVotes();
}

void Consensus::startElection()
{
    this->role = Role::Candidate;
    this->resetElectionTimer();
    this->writeHardState(this->hardState.currentTerm + 1, this->self.value());
    this->ownVoteSequence = this->issuedSequence;
    this->votes.clear();
    this->requestVotes(false);
}

void Consensus::requestVotes(bool preVote)
{
    const std::uint64_t term = this->hardState.currentTerm + (preVote ? 1 : 0);
    for (const Member &member : this->members().all()) {
        if (member.role == MemberRole::Voter && member.id != this->self)
            this->sendWhenPersisted(member.id, VoteRequest{term, this->log.last(), preVote});
    }
}

void Consensus::countVotes()
{
    if (this->role == Role::Candidate && this->persistedSequence >= this->ownVoteSequence)
        this->votes.insert(this->self);
    const auto granted = static_cast<std::size_t>(
            std::count_if(this->votes.begin(), this->votes.end(), [this](const state::VmId &voter) {
                return this->members().isVoter(voter);
            }));
    if (granted < this->members().quorum())
        return;
    if (this->role == Role::PreCandidate)
        this->startElection();
    else
        this->becomeLeader();
}

void Consensus::becomeFollower(std::uint64_t term, const state::VmId &newLeader)
{
    if (this->role == Role::Leader) {
        this->abandonProposals();
        if (this->established)
            this->actions.roleChange = RoleChange{Role::Follower, {}, {}, std::nullopt};
        this->resetElectionTimer();
    }
    if (term > this->hardState.currentTerm)
        this->writeHardState(term, {});
    this->role = Role::Follower;
    this->leader = newLeader;
    this->established = false;
    this->progress.clear();
    // Another leader's snapshot at the same position may differ in bytes.
    this->incomingSnapshot.reset();
}

void Consensus::becomeLeader()
{
    this->role = Role::Leader;
    this->leader = this->self;
    this->established = false;
    this->electedAt = this->now;
    this->progress.clear();
    this->updateTrackedPeers();
    // Entries of earlier terms are committed only indirectly, by an entry of this term after them.
    this->termStartIndex = this->log.last().index + 1;
    this->appendEntry(
            LogEntry{{this->hardState.currentTerm, this->termStartIndex}, LogEntryKind::Noop, {}});
    this->sendHeartbeats();
}

void Consensus::handle(const state::VmId &from, const VoteRequest &request)
{
    if (this->hasActiveLeader())
        return;
    const bool logUpToDate = request.last >= this->log.last();
    if (request.preVote) {
        const bool granted = request.term > this->hardState.currentTerm && logUpToDate;
        const std::uint64_t term = granted ? request.term : this->hardState.currentTerm;
        this->sendWhenPersisted(from, VoteResponse{term, true, granted});
        return;
    }
    if (request.term > this->hardState.currentTerm)
        this->becomeFollower(request.term, {});
    const std::string &votedFor = this->hardState.votedFor;
    const bool granted = request.term == this->hardState.currentTerm && logUpToDate
                         && this->role == Role::Follower
                         && (votedFor.empty() || votedFor == from.value());
    if (granted) {
        this->writeHardState(request.term, from.value());
        this->role = Role::Follower;
        this->resetElectionTimer();
    }
    this->sendWhenPersisted(from, VoteResponse{this->hardState.currentTerm, false, granted});
}

void Consensus::handle(const state::VmId &from, const VoteResponse &response)
{
    const std::uint64_t current = this->hardState.currentTerm;
    if (!response.granted) {
        if (response.term > current)
            this->becomeFollower(response.term, {});
        return;
    }
    const bool isCurrent =
            response.preVote ? this->role == Role::PreCandidate && response.term == current + 1
                             : this->role == Role::Candidate && response.term == current;
    if (!isCurrent)
        return;
    this->votes.insert(from);
    this->countVotes();
}

} // namespace lavenderthread::coordination::consensus
