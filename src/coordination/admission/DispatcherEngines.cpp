// Events from engines and peers, and the handling of attempts lost with an engine.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::admission {

void Dispatcher::on(const EngineAnnounced &event)
{
    const routing::EngineView *known = this->engines.find(event.description.id);
    const bool isNew = known == nullptr;
    const bool restarted =
            !isNew && event.description.incarnation > known->description().incarnation;
    // A restarted engine has lost its streams and its KV memory, as if it were gone.
    if (restarted)
        this->on(EngineGone{event.description.id});
    this->engines.announce(event.description, event.profile);
    if (!this->firstEngineAt)
        this->firstEngineAt = this->now;
    if (event.draining)
        this->engines.find(event.description.id)->draining = true;
    this->engines.find(event.description.id)->limitCold(event.cold, this->now);
    if (isNew)
        this->earlyWork.applyTo(*this->engines.find(event.description.id), this->now);
    this->placeWaiting();
}

void Dispatcher::on(const EngineGone &event)
{
    if (this->engines.find(event.engine) == nullptr)
        return;
    std::vector<state::RequestId> lost;
    for (const auto &[id, active] : this->activeRequests) {
        if (active.phase != Phase::Queued && active.dependsOn(event.engine))
            lost.push_back(id);
    }
    // The earliest deadline first; also makes the order reproducible.
    std::ranges::sort(lost, {}, [this](const state::RequestId &id) {
        return std::pair(this->activeRequests.at(id).request.deadline, id);
    });
    for (const state::RequestId &id : lost)
        this->handleAttemptLoss(this->activeRequests.at(id), event.engine, false, true);
    this->engines.remove(event.engine);
    this->placeWaiting();
}

void Dispatcher::on(const EngineDraining &event)
{
    if (routing::EngineView *view = this->engines.find(event.engine))
        view->draining = event.draining;
    this->placeWaiting();
}

void Dispatcher::on(const EnginesEvacuated &event)
{
    for (const state::EndpointId &engine : event.engines) {
        if (routing::EngineView *view = this->engines.find(engine))
            view->draining = true;
    }
    for (const state::EndpointId &engine : event.engines)
        this->moveReservations(engine);
    this->placeWaiting();
}

// Requests that wait for memory of an evacuated engine are placed anew; what runs there goes on.
void Dispatcher::moveReservations(const state::EndpointId &engine)
{
    std::vector<state::RequestId> waiting;
    for (const auto &[id, active] : this->activeRequests) {
        if (active.phase == Phase::Reserving && active.reservesAt(engine))
            waiting.push_back(id);
    }
    std::ranges::sort(waiting); // makes the order reproducible
    for (const state::RequestId &id : waiting) {
        ActiveRequest &active = this->activeRequests.at(id);
        ++active.moves;
        this->handleAttemptLoss(active, engine, true, false);
    }
}

void Dispatcher::on(const EngineSuspected &event)
{
    if (routing::EngineView *view = this->engines.find(event.engine))
        view->suspected = event.suspected;
}

void Dispatcher::on(const EngineEnded &event)
{
    routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr && view->description().incarnation == event.incarnation)
        view->ended = event.ended;
}

void Dispatcher::on(const EngineCold &event)
{
    routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr && view->description().incarnation == event.incarnation)
        view->limitCold(event.share, this->now);
}

void Dispatcher::on(const EngineLimited &event)
{
    const routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr && view->description().incarnation == event.incarnation)
        this->engines.limitSends(event.engine, event.perSecond, this->now);
}

void Dispatcher::on(const EngineRests &event)
{
    routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr && view->description().incarnation == event.incarnation)
        view->restUntil(event.until);
}

void Dispatcher::on(const EngineFull &event)
{
    routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr && view->description().incarnation == event.incarnation)
        view->fullUntil(event.until);
}

void Dispatcher::on(const LoadReported &event)
{
    if (routing::EngineView *view = this->engines.find(event.report.endpoint))
        view->apply(event.report, this->now);
}

void Dispatcher::on(const CacheReported &event)
{
    if (!this->policy.useCacheEvents)
        return;
    routing::EngineView *view = this->engines.find(event.engine);
    if (view != nullptr)
        view->prefixes().apply(event.incarnation, event.firstSequence, event.events);
}

void Dispatcher::on(const PeerWorkReceived &event)
{
    const routing::WorkNote &note = event.note;
    if (note.stage == routing::WorkStage::Waiting) {
        WaitingPrompt prompt;
        prompt.requestHash = note.requestHash;
        prompt.modelHash = note.modelHash;
        prompt.promptTokens = note.promptTokens;
        prompt.engineSeconds = std::chrono::duration<double>(note.prefillTime).count();
        prompt.firstEventTarget = note.firstEventTarget;
        prompt.arrival = this->now - note.age;
        prompt.rankDelay = note.rankDelay;
        this->longPromptQueue.addPeerPrompt(prompt, this->now);
        return;
    }
    this->longPromptQueue.remove(note.requestHash);
    this->applyWorkNote(note);
    this->noteAdmitted(note);
    if (note.chargedTokens > 0)
        this->queue.charge(note.key, note.chargedTokens, this->now);
}

// A peer that has just started counts no work on any engine. Each entry sends it the notes on its
// own requests.
void Dispatcher::on(const PeerJoined &event)
{
    if (!this->policy.shareWork)
        return;
    for (const auto &[id, active] : this->activeRequests) {
        const bool onEngine = active.phase == Phase::Prefilling || active.phase == Phase::Decoding;
        if (!onEngine || !active.dispatchNote)
            continue;
        routing::WorkNote note = *active.dispatchNote;
        note.chargedTokens = 0; // charged when it was dispatched
        note.lifetime = std::max(active.request.deadline - this->now, state::Duration(1));
        this->actions.emplace_back(ShareWorkWith{event.peer, note});
        if (active.phase == Phase::Prefilling)
            continue;
        note.stage = routing::WorkStage::Decoding;
        this->actions.emplace_back(ShareWorkWith{event.peer, std::move(note)});
    }
}

void Dispatcher::on(const PeerBacklogReceived &event)
{
    this->peerBacklogs[event.note.entry] = {event.note, this->now + this->policy.backlogShareLife};
    std::optional<double> least;
    std::erase_if(this->peerBacklogs,
                  [this](const auto &each) { return each.second.second <= this->now; });
    for (const auto &[peer, backlog] : this->peerBacklogs) {
        if (backlog.first.waitingWeight > 0 && (!least || backlog.first.leastService < *least))
            least = backlog.first.leastService;
    }
    this->queue.setPeersLeastService(least);
}

void Dispatcher::on(const AttemptFailed &event)
{
    ActiveRequest *active = this->findAttempt(event.id, event.attempt);
    if (active == nullptr || active->plan.parts.empty())
        return;
    const state::EndpointId engine = active->plan.parts[active->currentPart].engine;
    // The budget bounds the load of repeated requests; one that was never sent adds none.
    active->retryPaid = active->retryPaid || event.neverSent;
    // The attempt is the current one, so the engine has not been announced again since.
    if (routing::EngineView *view = this->engines.find(engine); view != nullptr && event.replaced)
        view->ended = true;
    active->moves += event.withheld ? 1 : 0;
    active->refusedConnections += event.connectionRefused ? 1 : 0;
    const routing::EngineView *failed = this->engines.find(engine);
    const bool answered = event.didNotRun && !event.neverSent;
    active->unreachableDomain = failed == nullptr || answered || event.withheld
                                        ? state::FailureDomain()
                                        : failed->description().failureDomain;
    this->handleAttemptLoss(*active, engine, event.didNotRun, false, event.replaced);
    this->placeWaiting();
}

// A silent stream alone is no reason to abandon a response: an engine that waits for a lost helper
// continues after a second or two, and a caller whose response is cut off loses what would still
// have come. So the request leaves its engine only if it has an attempt left and the retry budget
// pays for it.
void Dispatcher::on(const MoveRequested &event)
{
    MoveAnswered answer{event.id, event.attempt, false};
    ActiveRequest *active = this->findAttempt(event.id, event.attempt);
    // An entry that leaves could not send it elsewhere in time; its engine may still answer.
    if (active != nullptr && active->request.idempotent && !this->isUnanswerable(active->request)) {
        const std::uint32_t attempts = active->request.attemptLimit;
        const bool lastRun = attempts > 0 ? active->runs + 1 >= attempts
                                          : countedAttempts(*active) >= this->policy.attemptsLimit;
        answer.allowed = !lastRun && (active->retryPaid || this->retryBudget.tryTake());
        active->retryPaid = answer.allowed;
    }
    this->actions.emplace_back(answer);
}

std::uint32_t Dispatcher::countedAttempts(const ActiveRequest &active)
{
    // A lost attempt takes a number when it is lost, and another one when it is placed again.
    constexpr std::uint32_t numbersPerLoss = 2;
    const std::uint32_t uncounted =
            numbersPerLoss * (active.endedIncarnations + active.refusedConnections + active.moves);
    return active.attempt - std::min(active.attempt, uncounted);
}

// A request with its own limit may run on that many engines. Engines that refuse it don't count
// towards the limit, but only a few more attempts are made because of them. An engine that the
// request left without having been sent there counts towards neither. Nor do ended incarnations and
// refused connections: while a failure domain is down, and when it restarts, a request may meet
// several of them within milliseconds. Their own limit only ends a request that would never find
// another engine.
bool Dispatcher::isExhausted(const ActiveRequest &active) const
{
    constexpr std::uint32_t extraAttempts = 3; // failed connections and refusals
    constexpr std::uint32_t maxUncounted = 12; // of either kind
    if (std::max(active.endedIncarnations, active.refusedConnections) >= maxUncounted)
        return true;
    const std::uint32_t attempts = active.request.attemptLimit;
    if (attempts == 0)
        return countedAttempts(active) >= this->policy.attemptsLimit;
    return active.runs >= attempts
           || active.failedEngines.size()
                      >= attempts + extraAttempts + active.refusedConnections + active.moves;
}

void Dispatcher::handleAttemptLoss(ActiveRequest &active, const state::EndpointId &engine,
                                   bool didNotRun, bool engineLost, bool replaced)
{
    const bool wasReserving = active.phase == Phase::Reserving;
    const bool onEngine = !wasReserving;
    const bool runningLost = onEngine && active.plan.parts[active.currentPart].engine == engine;
    if (const routing::EngineView *view = this->engines.find(engine))
        active.avoidedDomain = view->description().failureDomain;

    if (onEngine) {
        // Decoding needs the KV of every part, so a stream on a surviving engine can't go on.
        if (!runningLost) {
            this->actions.emplace_back(
                    CancelOnEngine{active.request.id, active.attempt,
                                   active.plan.parts[active.currentPart].engine});
        }
        this->shareWorkNote(active, active.currentPart, routing::WorkStage::Ended);
        if (didNotRun && active.attempt <= 1)
            active.dispatched = false;
    }
    const bool ran = active.dispatched && !didNotRun;
    if (replaced)
        ++active.endedIncarnations; // the engine's next incarnation may take the request
    else
        active.failedEngines.push_back(engine);
    active.runs += didNotRun || wasReserving ? 0 : 1;
    const bool noBudgetNeeded =
            wasReserving || replaced || (didNotRun && !this->policy.budgetRefused);
    const bool repeatable = didNotRun || active.request.idempotent;
    const bool alreadyPaid = !replaced && std::exchange(active.retryPaid, false);
    if (const std::optional<state::Duration> after = this->retryRefusal(active)) {
        active.phase = Phase::Reserving; // none of it is on an engine any more
        this->refuseAfterAttempts(active, false, after);
        return;
    }
    if (this->isUnanswerable(active.request)) {
        active.phase = Phase::Reserving; // none of it is on an engine any more
        this->refuse(active.request.id, RefusalReason::Leaving, retryElsewhere);
        return;
    }
    const bool allowed =
            noBudgetNeeded || (repeatable && (alreadyPaid || this->retryBudget.tryTake()));
    if ((ran && !active.request.idempotent) || !allowed || this->isExhausted(active)) {
        // Refused now and not at the deadline, with the time after which to retry.
        active.phase = Phase::Reserving; // none of it is on an engine any more
        this->refuseAfterAttempts(active, repeatable && !allowed);
        return;
    }
    if (onEngine && !didNotRun)
        ++this->counters.retried;
    ++active.attempt;
    if (!active.usesSpan) {
        this->releaseHelperMemory(active);
        active.plan = {};
        this->enqueue(active, true);
        return;
    }
    for (routing::SpanPart &part : active.plan.parts) {
        if (part.engine == engine)
            this->counters.recomputedTokens += part.prefilledTo - part.from;
    }
    active.phase = Phase::Reserving;
    if (engineLost
        && routing::replaceLostEngine(active.plan, engine, this->engines, active.request.model,
                                      this->policy, this->now)) {
        this->reservationHolders.insert(active.request.id);
        this->reserveNext(active);
        return;
    }
    this->releaseReservations(active);
    active.plan = {};
    this->enqueue(active, true);
}

void Dispatcher::fillDispatchNote(const ActiveRequest &active, std::size_t part,
                                  routing::WorkNote &note) const
{
    const CompletionRequest &request = active.request;
    note.key = request.tableKey();
    note.promptTokens = request.promptTokens;
    note.outputTokens =
            std::uint32_t(request.maximumOutputTokens * this->policy.expectedOutputShare);
    note.memoryTokens = this->partMemoryTokens(active, part);
    for (const ActiveRequest::HelperReservation &reservation : active.helperReservations)
        note.memoryTokens -= std::min(note.memoryTokens, reservation.share.tokens);
    note.lifetime = std::max(request.deadline - this->now, state::Duration(1));
    note.toleratedPause = request.toleratedPause;
    for (const state::EndpointId &helper : active.helpers)
        note.helpers.push_back(routing::EngineKey::of(helper));
    for (const ActiveRequest::HelperReservation &reservation : active.helperReservations)
        note.helperMemory.push_back(reservation.share.tokens);
}

void Dispatcher::shareWorkNote(ActiveRequest &active, std::size_t part, routing::WorkStage stage,
                               std::uint32_t prefillTokens, std::uint32_t chargedTokens,
                               std::uint8_t priority)
{
    routing::WorkNote note;
    note.stage = stage;
    note.requestHash = active.requestHash + part;
    note.engine = routing::EngineKey::of(active.plan.parts[part].engine);
    note.hasHelpers = !active.helpers.empty();
    if (stage == routing::WorkStage::Dispatched) {
        this->fillDispatchNote(active, part, note);
        note.prefillTokens = prefillTokens;
        note.chargedTokens = chargedTokens;
        note.priority = priority;
        active.dispatchNote = note;
    }
    this->on(PeerWorkReceived{note});
    if (this->policy.shareWork)
        this->actions.emplace_back(ShareWork{note});
}

} // namespace lavenderthread::coordination::admission
