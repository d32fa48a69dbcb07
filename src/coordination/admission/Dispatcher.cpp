// The lifecycle of a request: arrival, progress, and its single final answer.
#include "coordination/admission/Dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::admission {

namespace {

// While requests wait, an engine can become free without an event: predicted work drains with time.
constexpr state::Duration queuePollPeriod = std::chrono::milliseconds(5);
constexpr state::Duration backlogSharePeriod = std::chrono::milliseconds(50);

} // namespace

Dispatcher::Dispatcher(state::VmId entry, const routing::PolicySettings &settings,
                       DispatcherHooks dispatcherHooks, std::uint64_t seed)
    : self(std::move(entry))
    , policy(settings)
    , hooks(std::move(dispatcherHooks))
    , engines(this->self.value(), settings, this->hooks.fleet, seed)
    , retries(settings.retryShare, settings.retryBurst)
{}

std::vector<Action> Dispatcher::handle(const Event &event, state::Instant at)
{
    this->now = std::max(this->now, at);
    this->actions.clear();
    std::visit([this](const auto &each) { this->on(each); }, event);
    return std::exchange(this->actions, {});
}

std::optional<state::Instant> Dispatcher::nextWake() const
{
    std::optional<state::Instant> wake;
    const auto consider = [&wake](state::Instant at) { wake = wake ? std::min(*wake, at) : at; };
    if (!this->deadlines.empty())
        consider(this->deadlines.begin()->first);
    if (this->queue.size() > 0 || this->longQueue.hasOwn())
        consider(this->now + queuePollPeriod);
    if (this->backlogShared)
        consider(this->backlogSharedAt + backlogSharePeriod);
    for (const state::RequestId &id : this->spans)
        consider(this->flights.at(id).renewAt);
    return wake;
}

void Dispatcher::on(const RequestArrived &event)
{
    const CompletionRequest &request = event.request;
    if (this->flights.contains(request.id))
        return;
    const LengthClass lengthClass = this->classOf(request.promptTokens);
    this->engines.notePause(request.model, request.pause, this->now);
    if (const std::optional<Refuse> refusal = this->refusalOf(request, lengthClass)) {
        ++this->tally.refused;
        this->actions.emplace_back(*refusal);
        return;
    }
    ++this->tally.admitted;
    Flight active;
    active.request = request;
    active.work = workOf(request.id);
    active.lengthClass = lengthClass;
    active.span = this->needsSpan(request);
    this->deadlines.emplace(request.deadline, request.id);
    Flight &stored = this->flights.emplace(request.id, std::move(active)).first->second;
    this->enqueue(stored, false);
    this->pump();
}

void Dispatcher::on(const CallerCancelled &event)
{
    this->end(event.id);
    this->pump();
}

void Dispatcher::on(const SlicePrefilled &event)
{
    Flight *active = this->current(event.id, event.attempt);
    if (active == nullptr || active->phase != Phase::Prefilling)
        return;
    routing::SpanPart &part = active->plan.parts[active->running];
    part.done = std::clamp(event.upTo, part.done, part.to);
    this->dispatchNext(*active);
    this->pump();
}

void Dispatcher::on(const TokensReceived &event)
{
    Flight *active = this->current(event.id, event.attempt);
    if (active == nullptr)
        return;
    active->received = std::max(active->received, event.nextOffset);
    if (active->phase != Phase::Prefilling)
        return;
    active->phase = Phase::Decoding;
    routing::SpanPart &part = active->plan.parts[active->running];
    part.done = part.to;
    this->tell(*active, active->running, routing::WorkStage::Decoding);
    this->pump();
}

void Dispatcher::on(const RequestFinished &event)
{
    const Flight *active = this->current(event.id, event.attempt);
    if (active == nullptr)
        return;
    ++this->tally.finished;
    this->retries.succeeded();
    // The engine has already freed the stream, so endRequest() must not cancel it.
    this->flights.at(event.id).handedOver = false;
    this->end(event.id);
    this->pump();
}

void Dispatcher::on(const TableChanged &event)
{
    for (const state::TableRow &row : event.rows)
        this->queue.setRow(row);
    this->pump();
}

void Dispatcher::on(const Tick &)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->now) {
        const state::RequestId id = this->deadlines.begin()->second;
        const Ran ran = this->flights.at(id).handedOver ? Ran::Unknown : Ran::No;
        ++this->tally.expired;
        this->actions.emplace_back(Expire{id, ran});
        this->end(id);
    }
    for (const state::RequestId &id : this->spans) {
        Flight &active = this->flights.at(id);
        if (active.renewAt <= this->now)
            this->renew(active);
    }
    this->refuseHopeless();
    this->pump();
    this->shareWaiting();
    this->shareBacklog();
}

Dispatcher::Flight *Dispatcher::current(const state::RequestId &id, std::uint32_t attempt)
{
    const auto found = this->flights.find(id);
    // Late events of an abandoned attempt are ignored: another engine runs the request now, and
    // counting both would mix two streams.
    if (found == this->flights.end() || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

// Every request ends here, so that no reservation, limit or work on an engine is left behind.
void Dispatcher::end(const state::RequestId &id)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end())
        return;
    Flight &active = found->second;
    if (active.phase == Phase::Queued) {
        if (const auto prompt = this->longQueue.findOwn(active.work))
            this->tellWaiting(active, *prompt, routing::WorkStage::Ended);
        this->dequeue(active);
    }
    const bool onEngine = active.phase == Phase::Prefilling || active.phase == Phase::Decoding;
    if (onEngine) {
        if (active.handedOver) {
            this->actions.emplace_back(
                    CancelOnEngine{id, active.attempt, active.plan.parts[active.running].engine});
        }
        this->tell(active, active.running, routing::WorkStage::Ended);
    }
    this->giveBack(active);
    if (this->hooks.releaseLimit)
        this->hooks.releaseLimit(active.request, active.received, this->now);
    this->deadlines.erase({active.request.deadline, id});
    this->flights.erase(found);
}

std::uint64_t Dispatcher::workOf(const state::RequestId &id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

// Asks the queues instead of isLong(): the model's engines may have left, or may work in another
// way, since the request was queued.
void Dispatcher::dequeue(const Flight &active)
{
    if (this->longQueue.findOwn(active.work))
        this->longQueue.remove(active.work);
    else
        this->queue.remove(this->queuedOf(active));
}

void Dispatcher::refuse(const state::RequestId &id, RefusalReason reason,
                        state::Duration retryAfter)
{
    const Ran ran = this->flights.at(id).handedOver ? Ran::Unknown : Ran::No;
    ++this->tally.refused;
    this->actions.emplace_back(Refuse{id, reason, retryAfter, ran});
    this->end(id);
}

void Dispatcher::shareBacklog()
{
    const bool hasWaiting = this->queue.size() > 0;
    if (!this->policy.shareWork || (!hasWaiting && !this->backlogShared)
        || this->now < this->backlogSharedAt + backlogSharePeriod)
        return;
    this->backlogSharedAt = this->now;
    this->backlogShared = hasWaiting;
    BacklogNote note;
    note.entry = this->self;
    note.leastService = this->queue.leastService(this->now).value_or(0);
    for (std::size_t each = 0; each < lengthClasses; ++each)
        note.waitingTokens[each] = this->queue.tokensUpTo(LengthClass(each));
    note.waitingWeight = this->queue.weightWaiting();
    this->actions.emplace_back(ShareBacklog{note});
}

} // namespace lavenderthread::coordination::admission
