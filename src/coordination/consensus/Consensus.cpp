// Startup, event dispatch, timers, and the ordering of writes before messages.
#include "coordination/consensus/Consensus.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::consensus {

using state::ErrorCode;
using state::makeError;
using state::log::LogEntry;
using state::log::LogEntryKind;

Consensus::Consensus(const Settings &chosen, state::VmId name, std::uint64_t seed,
                     state::Instant at)
    : settings(chosen)
    , self(std::move(name))
    , random(seed)
    , now(at)
    , lastLeaderContact(at)
    , electionDue(at)
    , electedAt(at)
    , nextHeartbeat(at)
{}

state::Result<Consensus> Consensus::create(const Settings &settings, const state::VmId &self,
                                           const StoredState &stored, std::uint64_t seed,
                                           state::Instant now)
{
    BOOST_OUTCOME_TRYV(settings.check());
    if (self.empty())
        return makeError(ErrorCode::InvalidArgument, "consensus.create", "member id is empty");
    BOOST_OUTCOME_TRY(MemberSet members, MemberSet::decode(stored.snapshot.configuration));
    Consensus machine(settings, self, seed, now);
    machine.hardState = stored.hardState;
    machine.log = MemoryLog(stored.snapshot.last);
    machine.latestSnapshot = std::make_shared<const state::log::LogSnapshot>(stored.snapshot);
    machine.configurations.push_back({stored.snapshot.last.index, std::move(members)});
    machine.commit = machine.applied = stored.snapshot.last.index;
    for (const LogEntry &entry : stored.entries) {
        if (entry.position.index <= stored.snapshot.last.index)
            continue;
        const bool fits = entry.position.index == machine.log.last().index + 1
                          && entry.position.term >= machine.log.last().term;
        if (!fits)
            return makeError(ErrorCode::Corrupt, "consensus.create",
                             "gap or decreasing term before log entry "
                                     + std::to_string(entry.position.index));
        if (entry.kind == LogEntryKind::Configuration) {
            BOOST_OUTCOME_TRY(MemberSet next, MemberSet::decode(entry.payload));
            machine.configurations.push_back({entry.position.index, std::move(next)});
        }
        machine.log.append(entry);
    }
    if (machine.log.last().term > stored.hardState.currentTerm)
        return makeError(ErrorCode::Corrupt, "consensus.create",
                         "log entries have a higher term than the stored current term");
    machine.persisted = machine.log.last().index;
    machine.resetElectionTimer();
    return machine;
}

Actions Consensus::step(const Event &event, state::Instant at)
{
    this->now = std::max(this->now, at);
    this->actions = Actions{};
    std::visit([this](const auto &kind) { this->handle(kind); }, event);
    return this->finishStep();
}

state::Instant Consensus::nextTimer() const
{
    if (this->role == Role::Stopped)
        return state::Instant::max();
    if (this->role != Role::Leader)
        return this->electionDue;
    const state::Instant heardQuorum =
            std::max(this->electedAt, this->quorumAckTime().value_or(this->electedAt));
    state::Instant due =
            std::min(this->nextHeartbeat, heardQuorum + this->settings.electionTimeout);
    if (!this->writes.empty())
        due = std::min(due, this->writes.front().issued + this->settings.diskStallTimeout);
    return due;
}

void Consensus::handle(const Tick & /*tick*/)
{
    if (this->now < this->nextTimer())
        return;
    if (this->role != Role::Leader) {
        if (this->members().isVoter(this->self))
            this->startPreVote();
        else
            this->resetElectionTimer();
        return;
    }
    // Check-quorum: an isolated leader would otherwise keep accepting proposals that it can never
    // commit, and its callers would wait instead of contacting the new leader.
    const state::Instant oldest = this->now - this->settings.electionTimeout;
    const bool isolated = this->electedAt <= oldest
                          && !this->quorumAckedSince(oldest + state::Duration(1), this->members());
    // A leader whose disk hangs would keep its lease but acknowledge nothing, so it steps down. Its
    // vote requests stay held until the disk completes the pending writes.
    const bool stalled =
            !this->writes.empty()
            && this->writes.front().issued + this->settings.diskStallTimeout <= this->now;
    if (isolated || stalled) {
        this->becomeFollower(this->hardState.currentTerm, {});
        return;
    }
    if (this->nextHeartbeat <= this->now)
        this->sendHeartbeats();
}

void Consensus::handle(const Received &received)
{
    const Message &message = received.message;
    if (this->role == Role::Stopped || message.to != this->self || message.from == this->self)
        return;
    std::visit([&](const auto &body) { this->handle(message.from, body); }, message.body);
}

void Consensus::handle(const Persisted &done)
{
    if (this->role == Role::Stopped || done.sequence <= this->persistedSequence)
        return;
    this->persistedSequence = std::min(done.sequence, this->issuedSequence);
    while (!this->writes.empty() && this->writes.front().sequence <= this->persistedSequence) {
        this->persisted = this->writes.front().last;
        this->writes.pop_front();
    }
    if (this->role == Role::Candidate)
        this->countVotes();
    if (this->role == Role::Leader)
        this->advanceCommit();
    this->applyCommitted();
}

void Consensus::handle(const PersistFailed &failed)
{
    this->halt(failed.error);
}

void Consensus::handle(const SnapshotTaken &taken)
{
    this->snapshotRequested = false;
    const std::uint64_t last = taken.snapshot->last.index;
    if (last > this->applied || last <= this->latestSnapshot->last.index)
        return;
    this->latestSnapshot = taken.snapshot;
    if (last <= this->log.startPosition().index + this->settings.trailingEntries)
        return;
    this->log.compactTo(last - this->settings.trailingEntries);
    while (this->configurations.size() > 1
           && this->configurations[1].index <= this->log.startPosition().index)
        this->configurations.pop_front();
}

Actions Consensus::finishStep()
{
    if (this->role != Role::Stopped)
        this->answerCompletedRequests();
    if (this->actions.persistSequence != 0)
        this->writes.push_back({this->issuedSequence, this->log.last().index, this->now});
    for (Message &message : this->messagesAfterPersist)
        this->heldMessages.push_back({this->issuedSequence, std::move(message)});
    this->messagesAfterPersist.clear();
    this->releaseHeldMessages();
    return std::move(this->actions);
}

void Consensus::halt(const state::Error &error)
{
    if (this->role == Role::Stopped)
        return;
    this->abandonProposals();
    this->role = Role::Stopped;
    this->leader = {};
    this->heldMessages.clear();
    this->messagesAfterPersist.clear();
    this->actions = Actions{.answers = std::move(this->actions.answers),
                            .reads = std::move(this->actions.reads)};
    this->actions.roleChange = RoleChange{Role::Stopped, {}, {}, error};
}

void Consensus::send(const state::VmId &to, MessageBody body)
{
    this->actions.messages.push_back({this->self, to, std::move(body)});
}

// Votes, vote requests and append responses depend on state that must survive a crash. If they were
// sent before the sync, a crash could lead to two votes in one term, or to a committed entry that
// no member stores.
void Consensus::sendWhenPersisted(const state::VmId &to, MessageBody body)
{
    this->messagesAfterPersist.push_back({this->self, to, std::move(body)});
}

void Consensus::releaseHeldMessages()
{
    while (!this->heldMessages.empty()
           && this->heldMessages.front().sequence <= this->persistedSequence) {
        this->actions.messages.push_back(std::move(this->heldMessages.front().message));
        this->heldMessages.pop_front();
    }
}

std::uint64_t Consensus::assignWriteSequence()
{
    if (this->actions.persistSequence == 0)
        this->actions.persistSequence = ++this->issuedSequence;
    return this->actions.persistSequence;
}

void Consensus::writeHardState(std::uint64_t term, const std::string &votedFor)
{
    const state::log::HardState next{term, votedFor};
    if (next == this->hardState)
        return;
    this->hardState = next;
    this->assignWriteSequence();
    this->actions.hardState = next;
}

void Consensus::appendEntry(LogEntry entry)
{
    this->assignWriteSequence();
    this->actions.entries.push_back(entry);
    if (entry.kind == LogEntryKind::Configuration) {
        // The sender validated the set, so a decoding error is a bug in this process or its peer.
        state::Result<MemberSet> members = MemberSet::decode(entry.payload);
        if (members.has_error()) {
            this->halt(members.error());
            return;
        }
        this->configurations.push_back({entry.position.index, std::move(members).value()});
    }
    this->log.append(std::move(entry));
}

void Consensus::truncateFrom(std::uint64_t index)
{
    this->log.truncateFrom(index);
    while (this->configurations.size() > 1 && this->configurations.back().index >= index)
        this->configurations.pop_back();
    this->persisted = std::min(this->persisted, index - 1);
    for (Write &write : this->writes)
        write.last = std::min(write.last, index - 1);
}

void Consensus::applyCommitted()
{
    if (this->pendingRestore) {
        if (this->persisted < this->pendingRestore->last.index)
            return;
        this->applied = this->pendingRestore->last.index;
        this->actions.restore = std::exchange(this->pendingRestore, nullptr);
    }
    const std::uint64_t limit = std::min(this->commit, this->persisted);
    while (this->applied < limit)
        this->actions.committed.push_back(this->log.at(++this->applied));
    if (this->role == Role::Leader)
        this->establishLeadership();
    this->requestSnapshot();
}

void Consensus::requestSnapshot()
{
    const std::size_t payloadLimit =
            std::clamp(this->latestSnapshot->bytes.size(), this->settings.minimumCompactionBytes,
                       this->settings.maximumCompactionBytes);
    const bool due = this->log.size() > this->settings.compactionEntries
                     || this->log.payloadBytes() > payloadLimit;
    const std::uint64_t newEntries = this->applied - this->latestSnapshot->last.index;
    if (!due || this->snapshotRequested || newEntries == 0
        || newEntries < this->settings.trailingEntries / 2)
        return;
    this->snapshotRequested = true;
    this->actions.snapshotRequest = SnapshotRequest{
            {*this->log.termAt(this->applied), this->applied}, this->committedMembers().encode()};
}

const MemberSet &Consensus::committedMembers() const
{
    const MemberSet *found = &this->configurations.front().members;
    for (const Configuration &configuration : this->configurations) {
        if (configuration.index <= this->applied)
            found = &configuration.members;
    }
    return *found;
}

std::optional<Member> Consensus::knownLeader() const
{
    const Member *found = this->members().find(this->leader);
    if (found == nullptr)
        return std::nullopt;
    return *found;
}

} // namespace lavenderthread::coordination::consensus
