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
    , retryBudget(settings.retryShare, settings.retryBurst)
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
    // Counted from the last try: notes of many peers arrive more often than the period, and would
    // otherwise put the poll off for as long as they keep coming.
    if (this->queue.size() > 0)
        consider(this->placementTriedAt + queuePollPeriod);
    if (this->longPromptQueue.hasOwn())
        consider(this->longPlacementDueAt);
    if (this->backlogShared)
        consider(this->backlogSharedAt + backlogSharePeriod);
    for (const state::RequestId &id : this->reservationHolders)
        consider(this->activeRequests.at(id).renewAt);
    if (this->answersUntil && !this->activeRequests.empty())
        consider(this->answersCheckedAt + answerCheckPeriod);
    return wake;
}

void Dispatcher::noteRunTime(const ActiveRequest &active)
{
    if (active.startedAt != state::Instant{})
        this->runTimes[this->isLong(active.request) ? 1 : 0].add(active.predictedAnswerTime,
                                                                 this->now - active.startedAt);
}

void Dispatcher::on(const RequestArrived &event)
{
    const CompletionRequest &request = event.request;
    if (this->activeRequests.contains(request.id))
        return;
    const LengthClass lengthClass = this->lengthClassOf(request.promptTokens);
    this->engines.notePause(request.model, request.toleratedPause, this->now);
    if (std::optional<Refuse> refusal = this->admissionRefusal(request, lengthClass)) {
        refusal->rank = request.rank;
        ++this->counters.refused;
        this->actions.emplace_back(*refusal);
        return;
    }
    ++this->counters.admitted;
    ActiveRequest active;
    active.request = request;
    active.requestHash = requestHashOf(request.id);
    active.lengthClass = lengthClass;
    active.usesSpan = this->needsSpan(request);
    this->deadlines.emplace(request.deadline, request.id);
    ActiveRequest &stored =
            this->activeRequests.emplace(request.id, std::move(active)).first->second;
    this->enqueue(stored, false);
    this->placeWaiting();
}

void Dispatcher::on(const CallerCancelled &event)
{
    this->endRequest(event.id);
    this->placeWaiting();
}

void Dispatcher::on(const SlicePrefilled &event)
{
    ActiveRequest *active = this->findAttempt(event.id, event.attempt);
    if (active == nullptr || active->phase != Phase::Prefilling)
        return;
    routing::SpanPart &part = active->plan.parts[active->currentPart];
    part.prefilledTo = std::clamp(event.upTo, part.prefilledTo, part.to);
    this->dispatchNext(*active);
    this->placeWaiting();
}

void Dispatcher::on(const TokensReceived &event)
{
    ActiveRequest *active = this->findAttempt(event.id, event.attempt);
    if (active == nullptr)
        return;
    active->receivedTokens = std::max(active->receivedTokens, event.nextOffset);
    if (active->phase != Phase::Prefilling)
        return;
    active->phase = Phase::Decoding;
    routing::SpanPart &part = active->plan.parts[active->currentPart];
    part.prefilledTo = part.to;
    this->shareWorkNote(*active, active->currentPart, routing::WorkStage::Decoding);
    this->placeWaiting();
}

void Dispatcher::on(const RequestFinished &event)
{
    const ActiveRequest *active = this->findAttempt(event.id, event.attempt);
    if (active == nullptr)
        return;
    ++this->counters.finished;
    this->retryBudget.addSuccess();
    this->noteRunTime(*active);
    if (this->policy.rankedOverload && active->startedAt != state::Instant{}) {
        this->overloadByModel[active->request.model].noteHeld(active->request.rank,
                                                              this->now - active->startedAt);
    }
    // The engine has already freed the stream, so endRequest() must not cancel it.
    this->activeRequests.at(event.id).dispatched = false;
    this->endRequest(event.id);
    this->placeWaiting();
}

void Dispatcher::on(const TableChanged &event)
{
    for (const state::TableRow &row : event.rows)
        this->queue.setRow(row);
    this->placeWaiting();
}

void Dispatcher::on(const Tick &)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->now) {
        const state::RequestId id = this->deadlines.begin()->second;
        const Ran ran = this->activeRequests.at(id).dispatched ? Ran::Unknown : Ran::No;
        ++this->counters.expired;
        this->actions.emplace_back(Expire{id, ran});
        this->endRequest(id);
    }
    for (const state::RequestId &id : this->reservationHolders) {
        ActiveRequest &active = this->activeRequests.at(id);
        if (active.renewAt <= this->now)
            this->renewReservations(active);
    }
    this->refuseOverdue();
    this->refuseUnanswerable();
    this->placeWaiting();
    this->shareWaitingPrompts();
    this->shareBacklog();
}

Dispatcher::ActiveRequest *Dispatcher::findAttempt(const state::RequestId &id,
                                                   std::uint32_t attempt)
{
    const auto found = this->activeRequests.find(id);
    // Late events of an abandoned attempt are ignored: another engine runs the request now, and
    // counting both would mix two streams.
    if (found == this->activeRequests.end() || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

// Every request ends here, so that no reservation, limit or work on an engine is left behind.
void Dispatcher::endRequest(const state::RequestId &id)
{
    const auto found = this->activeRequests.find(id);
    if (found == this->activeRequests.end())
        return;
    ActiveRequest &active = found->second;
    if (active.phase == Phase::Queued) {
        if (const auto prompt = this->longPromptQueue.findOwn(active.requestHash))
            this->sendWaitingNote(active, *prompt, routing::WorkStage::Ended);
        this->dequeue(active);
    }
    const bool onEngine = active.phase == Phase::Prefilling || active.phase == Phase::Decoding;
    if (onEngine) {
        if (active.dispatched) {
            this->actions.emplace_back(CancelOnEngine{
                    id, active.attempt, active.plan.parts[active.currentPart].engine});
        }
        this->shareWorkNote(active, active.currentPart, routing::WorkStage::Ended);
    }
    this->releaseReservations(active);
    if (this->hooks.releaseLimit)
        this->hooks.releaseLimit(active.request, active.receivedTokens, this->now);
    this->deadlines.erase({active.request.deadline, id});
    this->activeRequests.erase(found);
}

std::uint64_t Dispatcher::requestHashOf(const state::RequestId &id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

// Asks the queues instead of isLong(): the model's engines may have left, or may work in another
// way, since the request was queued.
void Dispatcher::dequeue(const ActiveRequest &active)
{
    if (this->longPromptQueue.findOwn(active.requestHash))
        this->longPromptQueue.remove(active.requestHash);
    else
        this->queue.remove(this->queuedRequestOf(active));
}

void Dispatcher::refuse(const state::RequestId &id, RefusalReason reason,
                        state::Duration retryAfter)
{
    const Ran ran = this->activeRequests.at(id).dispatched ? Ran::Unknown : Ran::No;
    ++this->counters.refused;
    Refuse refusal{id, reason, retryAfter, ran};
    refusal.rank = this->activeRequests.at(id).request.rank;
    this->actions.emplace_back(refusal);
    this->endRequest(id);
}

void Dispatcher::refuseAfterAttempts(const ActiveRequest &active, bool retryBudgetSpent,
                                     std::optional<state::Duration> retryAfter)
{
    Refuse refusal;
    refusal.id = active.request.id;
    refusal.reason = RefusalReason::AttemptsExhausted;
    refusal.retryAfter = retryAfter.value_or(std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double>(this->idealSeconds(active.request))));
    refusal.rank = active.request.rank;
    refusal.ran = active.dispatched ? Ran::Unknown : Ran::No;
    refusal.failedAttempts = std::uint32_t(active.failedEngines.size());
    refusal.retryBudgetSpent = retryBudgetSpent;
    ++this->counters.refused;
    this->actions.emplace_back(refusal);
    this->endRequest(refusal.id);
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
    for (std::size_t each = 0; each < lengthClassCount; ++each)
        note.waitingTokens[each] = this->queue.waitingTokensUpTo(LengthClass(each));
    note.waitingWeight = this->queue.weightWaiting();
    this->actions.emplace_back(ShareBacklog{note});
}

} // namespace lavenderthread::coordination::admission
