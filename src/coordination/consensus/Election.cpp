// Pre-vote, votes and terms.
#include "coordination/consensus/Consensus.h"

#include <algorithm>

namespace lavenderthread::coordination::consensus {

using state::log::LogEntry;
using state::log::LogEntryKind;

// The other half of the leader's lease: while this holds, this member helps nobody to a new term.
// Without it a leader could be elected beside one that still answers reads from its old state.
bool Consensus::hearsLeader() const
{
    if (this->role == Role::Leader)
        return this->holdsLease(this->now);
    return this->now < this->leaderHeard + this->settings.electionTimeout;
}

void Consensus::resetElectionTimer()
{
    std::uniform_int_distribution<std::int64_t> spread(0, this->settings.electionTimeout.count());
    this->electionDue =
            this->now + this->settings.electionTimeout + state::Duration(spread(this->random));
}

// A member that was cut off asks first whether it would win. Its term stays as it is until then, so
// that its return does not depose a leader that everybody else hears.
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
    if (this->role == Role::Candidate && this->doneSequence >= this->ownVoteSequence)
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
    this->incoming.reset(); // another leader's snapshot of the same place may be other bytes
}

void Consensus::becomeLeader()
{
    this->role = Role::Leader;
    this->leader = this->self;
    this->established = false;
    this->electedAt = this->now;
    this->progress.clear();
    this->syncProgress();
    // Entries of earlier terms are committed only by one of this term on top of them.
    this->firstOwnIndex = this->log.last().index + 1;
    this->appendEntry(
            LogEntry{{this->hardState.currentTerm, this->firstOwnIndex}, LogEntryKind::Noop, {}});
    this->heartbeat();
}

void Consensus::handle(const state::VmId &from, const VoteRequest &request)
{
    if (this->hearsLeader())
        return;
    const bool newEnough = request.last >= this->log.last();
    if (request.preVote) {
        const bool granted = request.term > this->hardState.currentTerm && newEnough;
        const std::uint64_t term = granted ? request.term : this->hardState.currentTerm;
        this->sendWhenPersisted(from, VoteResponse{term, true, granted});
        return;
    }
    if (request.term > this->hardState.currentTerm)
        this->becomeFollower(request.term, {});
    const std::string &votedFor = this->hardState.votedFor;
    const bool granted = request.term == this->hardState.currentTerm && newEnough
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
    const bool ours = response.preVote
                              ? this->role == Role::PreCandidate && response.term == current + 1
                              : this->role == Role::Candidate && response.term == current;
    if (!ours)
        return;
    this->votes.insert(from);
    this->countVotes();
}

} // namespace lavenderthread::coordination::consensus
