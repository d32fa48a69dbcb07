// Steps the consensus state machine and performs its actions in the order that Actions requires.
#include "program/ControlMember.h"

#include "program/Clock.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::consensus::Actions;
using coordination::consensus::Event;
using coordination::consensus::Member;
using coordination::consensus::Message;
using coordination::consensus::ProposalAnswer;
using coordination::consensus::ProposalOutcome;
using coordination::consensus::ReadAnswer;
using coordination::consensus::Role;
using coordination::consensus::RoleChange;
using coordination::consensus::SnapshotPointer;
using coordination::consensus::SnapshotRequest;
using state::log::LogEntry;
using state::log::LogEntryKind;

namespace {

constexpr std::size_t maximumLearnedAddresses = 128;

std::int64_t microsecondsOf(state::Instant time)
{
    return time.time_since_epoch().count();
}

} // namespace

ControlMember::ControlMember(asio::io_context &io, const ControlMemberSettings &chosen,
                             Machine built, ControlMemberHooks memberHooks)
    : strand(asio::make_strand(asio::any_io_executor(io.get_executor())))
    , settings(chosen)
    , hooks(std::move(memberHooks))
    , machine(std::move(built))
    , timer(this->strand)
{}

state::Result<std::shared_ptr<ControlMember>>
ControlMember::create(asio::io_context &io, const ControlMemberSettings &settings,
                      const coordination::consensus::StoredState &stored, ControlMemberHooks hooks)
{
    BOOST_OUTCOME_TRY(Machine machine, Machine::create(settings.consensus, settings.id, stored,
                                                       settings.seed, monotonicNow()));
    return std::shared_ptr<ControlMember>(
            new ControlMember(io, settings, std::move(machine), std::move(hooks)));
}

void ControlMember::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->publish();
        self->armTimer();
    });
}

void ControlMember::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        if (self->stopped)
            return;
        self->proposePending();
        self->stopped = true;
        self->timer.cancel();
        self->ordersUntil = 0;
        for (const auto &[id, done] : std::exchange(self->proposals, {}))
            done(ProposalResult{.outcome = ProposalOutcome::LeadershipLost});
        for (const auto &[id, done] : std::exchange(self->reads, {}))
            done(ReadAnswer{.id = id});
    });
}

void ControlMember::propose(std::string payload, ProposalDone done)
{
    bool first = false;
    {
        const std::lock_guard lock(this->pendingProposalsMutex);
        first = this->pendingProposals.empty();
        this->pendingProposals.push_back({std::move(payload), std::move(done)});
    }
    if (first)
        asio::post(this->strand, [self = this->shared_from_this()] { self->proposePending(); });
}

void ControlMember::proposePending()
{
    std::vector<PendingProposal> batch;
    {
        const std::lock_guard lock(this->pendingProposalsMutex);
        batch.swap(this->pendingProposals);
    }
    coordination::consensus::Propose propose;
    for (PendingProposal &waiting : batch) {
        if (this->stopped) {
            waiting.done(ProposalResult{.outcome = ProposalOutcome::NotLeader});
            continue;
        }
        const std::uint64_t id = this->nextId++;
        this->proposals[id] = std::move(waiting.done);
        propose.proposals.push_back({id, std::move(waiting.payload)});
    }
    if (!propose.proposals.empty())
        this->step(propose);
}

void ControlMember::proposeChange(const coordination::consensus::MemberChange &change,
                                  ProposalDone done)
{
    asio::post(this->strand, [self = this->shared_from_this(), change, done = std::move(done)] {
        if (self->stopped) {
            done(ProposalResult{.outcome = ProposalOutcome::NotLeader});
            return;
        }
        const std::uint64_t id = self->nextId++;
        self->proposals[id] = done;
        self->step(coordination::consensus::ProposeChange{id, change});
    });
}

void ControlMember::read(coordination::consensus::ReadKind kind, ReadDone done)
{
    asio::post(this->strand, [self = this->shared_from_this(), kind, done = std::move(done)] {
        if (self->stopped) {
            done(ReadAnswer{});
            return;
        }
        const std::uint64_t id = self->nextId++;
        self->reads[id] = done;
        self->step(coordination::consensus::Read{id, kind});
    });
}

void ControlMember::receive(const std::string &bytes)
{
    const state::Result<protocol::ConsensusFrame> frame = protocol::decodeConsensusFrame(bytes);
    if (frame.has_error()) {
        asio::post(this->strand, [self = this->shared_from_this(), error = frame.error()] {
            if (!self->stopped)
                self->hooks.badMessage(error);
        });
        return;
    }
    asio::post(this->strand, [self = this->shared_from_this(), known = frame.value()] {
        const Message &message = known.message;
        self->learnedAddresses[message.from] = known.replyTo;
        if (self->learnedAddresses.size() > maximumLearnedAddresses)
            self->learnedAddresses.erase(self->learnedAddresses.begin());
        self->step(coordination::consensus::Received{message});
    });
}

void ControlMember::persisted(std::uint64_t sequence)
{
    this->post(coordination::consensus::Persisted{sequence});
}

void ControlMember::persistFailed(const state::Error &error)
{
    this->post(coordination::consensus::PersistFailed{error});
}

void ControlMember::snapshotSaved(const SnapshotPointer &snapshot)
{
    this->post(coordination::consensus::SnapshotTaken{snapshot});
}

bool ControlMember::maySendOrders() const
{
    const std::int64_t now = microsecondsOf(monotonicNow());
    return now >= this->ordersFrom && now < this->ordersUntil;
}

// Defers the event, so that a hook running on the strand may call this: the current step finishes
// first.
void ControlMember::post(Event event)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), event = std::move(event)] { self->step(event); });
}

void ControlMember::step(const Event &event)
{
    if (this->stopped)
        return;
    this->performActions(this->machine.step(event, monotonicNow()));
    this->publish();
    this->armTimer();
}

void ControlMember::performActions(Actions actions)
{
    if (actions.persistSequence != 0)
        this->hooks.persist({actions.persistSequence, actions.hardState, actions.snapshot,
                             std::move(actions.entries)});
    this->sendMessages(actions.messages);
    this->applyCommitted(actions);
    // Revokes the right to send orders before the callers of a deposed leader are answered.
    if (actions.roleChange)
        this->changeRole(*actions.roleChange);
    this->answerCallers(actions);
    if (actions.snapshotRequest)
        this->takeSnapshot(*actions.snapshotRequest);
}

void ControlMember::sendMessages(const std::vector<Message> &messages)
{
    for (const Message &message : messages) {
        const std::optional<state::Address> to = this->addressOf(message.to);
        if (to)
            this->hooks.send(*to,
                             protocol::encodeConsensusFrame({this->settings.address, message}));
    }
}

std::optional<state::Address> ControlMember::addressOf(const state::VmId &id) const
{
    const Member *member = this->machine.members().find(id);
    if (member != nullptr)
        return member->address;
    const auto found = this->learnedAddresses.find(id);
    if (found != this->learnedAddresses.end())
        return found->second;
    return std::nullopt;
}

void ControlMember::applyCommitted(const Actions &actions)
{
    bool membersChanged = false;
    if (actions.restore) {
        this->hooks.restore(*actions.restore);
        membersChanged = true;
    }
    const bool leads = this->machine.currentRole() == Role::Leader;
    for (const LogEntry &entry : actions.committed) {
        if (entry.kind == LogEntryKind::Configuration)
            membersChanged = true;
        if (entry.kind != LogEntryKind::Command)
            continue;
        state::control::Answer answer = this->hooks.apply(entry);
        // Every command of this leader's term was proposed here, so each answer is collected once.
        if (leads && entry.position.term == this->machine.currentTerm())
            this->applied.insert_or_assign(entry.position.index, std::move(answer));
    }
    if (membersChanged)
        this->hooks.membersChanged(this->machine.committedMembers());
}

void ControlMember::answerCallers(const Actions &actions)
{
    for (const ProposalAnswer &answer : actions.answers) {
        auto waiting = this->proposals.extract(answer.id);
        if (waiting.empty())
            continue;
        ProposalResult result{answer.outcome, answer.position, {}, answer.leader, answer.error};
        if (answer.outcome == ProposalOutcome::Committed) {
            auto known = this->applied.extract(answer.position.index);
            if (!known.empty())
                result.answer = std::move(known.mapped());
        }
        waiting.mapped()(std::move(result));
    }
    for (const ReadAnswer &answer : actions.reads) {
        auto waiting = this->reads.extract(answer.id);
        if (!waiting.empty())
            waiting.mapped()(answer);
    }
    if (this->machine.currentRole() != Role::Leader)
        this->applied.clear();
}

void ControlMember::changeRole(const RoleChange &change)
{
    if (change.role == Role::Leader)
        this->ordersFrom = microsecondsOf(change.ordersFrom);
    else
        this->ordersUntil = 0;
    this->hooks.roleChanged(change);
}

void ControlMember::takeSnapshot(const SnapshotRequest &wanted)
{
    this->hooks.captureState([weak = this->weak_from_this(), wanted](std::string bytes) {
        const auto self = weak.lock();
        if (!self)
            return;
        auto snapshot = std::make_shared<const state::log::LogSnapshot>(
                state::log::LogSnapshot{wanted.last, wanted.configuration, std::move(bytes)});
        asio::post(self->strand, [self, snapshot] {
            if (!self->stopped)
                self->hooks.saveSnapshot(snapshot);
        });
    });
}

void ControlMember::publish()
{
    const std::optional<state::Instant> until = this->machine.leaseUntil();
    this->ordersUntil = until ? microsecondsOf(*until) : 0;
    ControlMemberStatus next;
    next.role = this->machine.currentRole();
    next.term = this->machine.currentTerm();
    next.committed = this->machine.committedIndex();
    next.applied = this->machine.appliedIndex();
    next.leader = this->machine.knownLeader();
    next.members = this->machine.members();
    next.caughtUp = this->machine.caughtUpLearners(monotonicNow());
    if (next != *this->published.read())
        this->published.publish(std::move(next));
}

void ControlMember::armTimer()
{
    const state::Instant due = this->machine.nextTimer();
    if (due == this->timerDeadline || due == state::Instant::max())
        return;
    this->timerDeadline = due;
    this->timer.expires_at(std::chrono::steady_clock::time_point(due.time_since_epoch()));
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error)
            return;
        self->timerDeadline = {};
        self->step(coordination::consensus::Tick{});
    });
}

} // namespace lavenderthread::program
