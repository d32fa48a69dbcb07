// The life of a request: arrival, progress, and the one final answer.
#include "coordination/admission/Dispatcher.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::admission {

namespace {

// While something waits, time alone can open a place: predicted work drains between events.
constexpr state::Duration queueTick = std::chrono::milliseconds(5);
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
        consider(this->now + queueTick);
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
    Flight flight;
    flight.request = request;
    flight.work = workOf(request.id);
    flight.lengthClass = lengthClass;
    flight.span = this->needsSpan(request);
    this->deadlines.emplace(request.deadline, request.id);
    Flight &kept = this->flights.emplace(request.id, std::move(flight)).first->second;
    this->enqueue(kept, false);
    this->pump();
}

void Dispatcher::on(const CallerCancelled &event)
{
    this->end(event.id);
    this->pump();
}

void Dispatcher::on(const SlicePrefilled &event)
{
    Flight *flight = this->current(event.id, event.attempt);
    if (flight == nullptr || flight->phase != Phase::Prefilling)
        return;
    routing::SpanPart &part = flight->plan.parts[flight->running];
    part.done = std::clamp(event.upTo, part.done, part.to);
    this->dispatchNext(*flight);
    this->pump();
}

void Dispatcher::on(const TokensReceived &event)
{
    Flight *flight = this->current(event.id, event.attempt);
    if (flight == nullptr)
        return;
    flight->received = std::max(flight->received, event.nextOffset);
    if (flight->phase != Phase::Prefilling)
        return;
    flight->phase = Phase::Decoding;
    routing::SpanPart &part = flight->plan.parts[flight->running];
    part.done = part.to;
    this->tell(*flight, flight->running, routing::WorkStage::Decoding);
    this->pump();
}

void Dispatcher::on(const RequestFinished &event)
{
    const Flight *flight = this->current(event.id, event.attempt);
    if (flight == nullptr)
        return;
    ++this->tally.finished;
    this->retries.succeeded();
    // The engine has freed its stream already: no cancel for it.
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
        Flight &flight = this->flights.at(id);
        if (flight.renewAt <= this->now)
            this->renew(flight);
    }
    this->refuseHopeless();
    this->pump();
    this->shareWaiting();
    this->shareBacklog();
}

Dispatcher::Flight *Dispatcher::current(const state::RequestId &id, std::uint32_t attempt)
{
    const auto found = this->flights.find(id);
    // Late events of an attempt that was given up: another engine works on the request now, and
    // counting both would splice two streams.
    if (found == this->flights.end() || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

// Every way out of a flight comes here, so that no reservation, limit or engine work is left.
void Dispatcher::end(const state::RequestId &id)
{
    const auto found = this->flights.find(id);
    if (found == this->flights.end())
        return;
    Flight &flight = found->second;
    if (flight.phase == Phase::Queued) {
        if (const auto prompt = this->longQueue.findOwn(flight.work))
            this->tellWaiting(flight, *prompt, routing::WorkStage::Ended);
        this->dequeue(flight);
    }
    const bool onEngine = flight.phase == Phase::Prefilling || flight.phase == Phase::Decoding;
    if (onEngine) {
        if (flight.handedOver) {
            this->actions.emplace_back(
                    CancelOnEngine{id, flight.attempt, flight.plan.parts[flight.running].engine});
        }
        this->tell(flight, flight.running, routing::WorkStage::Ended);
    }
    this->giveBack(flight);
    if (this->hooks.releaseLimit)
        this->hooks.releaseLimit(flight.request, flight.received, this->now);
    this->deadlines.erase({flight.request.deadline, id});
    this->flights.erase(found);
}

std::uint64_t Dispatcher::workOf(const state::RequestId &id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

// Not by what the request is now: its model's engines may have ended, or work otherwise, since it
// was queued.
void Dispatcher::dequeue(const Flight &flight)
{
    if (this->longQueue.findOwn(flight.work))
        this->longQueue.remove(flight.work);
    else
        this->queue.remove(this->queuedOf(flight));
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
    const bool waits = this->queue.size() > 0;
    if (!this->policy.shareWork || (!waits && !this->backlogShared)
        || this->now < this->backlogSharedAt + backlogSharePeriod)
        return;
    this->backlogSharedAt = this->now;
    this->backlogShared = waits;
    BacklogNote note;
    note.entry = this->self;
    note.leastService = this->queue.leastService(this->now).value_or(0);
    for (std::size_t each = 0; each < lengthClasses; ++each)
        note.waitingTokens[each] = this->queue.tokensUpTo(LengthClass(each));
    note.waitingWeight = this->queue.weightWaiting();
    this->actions.emplace_back(ShareBacklog{note});
}

} // namespace lavenderthread::coordination::admission
