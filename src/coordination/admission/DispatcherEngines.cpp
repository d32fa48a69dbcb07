// Events from engines and peers, and the handling of attempts lost with an engine.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::admission {

void Dispatcher::on(const EngineAnnounced &event)
{
    const routing::EngineView *known = this->engines.find(event.description.id);
    const bool restarted =
            known != nullptr && event.description.incarnation > known->description().incarnation;
    // A restarted engine has lost its streams and its KV memory, as if it were gone.
    if (restarted)
        this->on(EngineGone{event.description.id});
    this->engines.announce(event.description, event.profile);
    this->pump();
}

void Dispatcher::on(const EngineGone &event)
{
    if (this->engines.find(event.engine) == nullptr)
        return;
    std::vector<state::RequestId> lost;
    for (const auto &[id, active] : this->flights) {
        if (active.phase != Phase::Queued && active.needs(event.engine))
            lost.push_back(id);
    }
    // The earliest deadline first; also makes the order reproducible.
    std::ranges::sort(lost, {}, [this](const state::RequestId &id) {
        return std::pair(this->flights.at(id).request.deadline, id);
    });
    for (const state::RequestId &id : lost)
        this->attemptLost(this->flights.at(id), event.engine, false, true);
    this->engines.remove(event.engine);
    this->pump();
}

void Dispatcher::on(const EngineDraining &event)
{
    if (routing::EngineView *view = this->engines.find(event.engine))
        view->draining = event.draining;
    this->pump();
}

void Dispatcher::on(const EngineSuspected &event)
{
    if (routing::EngineView *view = this->engines.find(event.engine))
        view->suspected = event.suspected;
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

void Dispatcher::on(const PeerWorkNoted &event)
{
    const routing::WorkNote &note = event.note;
    if (note.stage == routing::WorkStage::Waiting) {
        const double seconds = std::chrono::duration<double>(note.engineTime).count();
        this->longQueue.notePeer({note.work, seconds, this->now - note.age}, this->now);
        return;
    }
    this->longQueue.remove(note.work);
    this->applyNote(note);
    if (note.chargedTokens > 0)
        this->queue.charge(note.key, note.chargedTokens, this->now);
}

void Dispatcher::on(const PeerBacklogNoted &event)
{
    this->peers[event.note.entry] = {event.note, this->now + this->policy.backlogShareLife};
    std::optional<double> least;
    std::erase_if(this->peers,
                  [this](const auto &each) { return each.second.second <= this->now; });
    for (const auto &[peer, backlog] : this->peers) {
        if (backlog.first.waitingWeight > 0 && (!least || backlog.first.leastService < *least))
            least = backlog.first.leastService;
    }
    this->queue.setPeersLeast(least);
}

void Dispatcher::on(const AttemptFailed &event)
{
    Flight *active = this->current(event.id, event.attempt);
    if (active == nullptr || active->plan.parts.empty())
        return;
    const state::EndpointId engine = active->plan.parts[active->running].engine;
    this->attemptLost(*active, engine, event.didNotRun, false);
    this->pump();
}

// A silent stream alone is no reason to abandon a response: an engine that waits for a lost helper
// continues after a second or two, and a caller whose response is cut off loses what would still
// have come. So the request leaves its engine only if it has an attempt left and the retry budget
// pays for it.
void Dispatcher::on(const MoveAsked &event)
{
    MoveAnswered answer{event.id, event.attempt, false};
    Flight *active = this->current(event.id, event.attempt);
    if (active != nullptr && active->request.idempotent) {
        const std::uint32_t attempts = active->request.attempts;
        const bool lastRun = attempts > 0 ? active->runs + 1 >= attempts
                                          : active->attempt >= this->policy.attemptsLimit;
        answer.allowed = !lastRun && (active->moving || this->retries.take());
        active->moving = answer.allowed;
    }
    this->actions.emplace_back(answer);
}

// A request with its own limit may run on that many engines. Engines that refuse it don't count
// towards the limit, but only a few more attempts are made because of them.
bool Dispatcher::isExhausted(const Flight &active) const
{
    constexpr std::uint32_t extraAttempts = 2;
    const std::uint32_t attempts = active.request.attempts;
    if (attempts == 0)
        return active.attempt >= this->policy.attemptsLimit;
    return active.runs >= attempts || active.failed.size() >= attempts + extraAttempts;
}

void Dispatcher::attemptLost(Flight &active, const state::EndpointId &engine, bool didNotRun,
                             bool engineLost)
{
    const bool wasReserving = active.phase == Phase::Reserving;
    const bool onEngine = !wasReserving;
    const bool runningLost = onEngine && active.plan.parts[active.running].engine == engine;
    if (const routing::EngineView *view = this->engines.find(engine))
        active.avoid = view->description().failureDomain;

    if (onEngine) {
        // Decoding needs the KV of every part, so a stream on a surviving engine can't go on.
        if (!runningLost) {
            this->actions.emplace_back(CancelOnEngine{active.request.id, active.attempt,
                                                      active.plan.parts[active.running].engine});
        }
        this->tell(active, active.running, routing::WorkStage::Ended);
        if (didNotRun && active.attempt <= 1)
            active.handedOver = false;
    }
    const bool ran = active.handedOver && !didNotRun;
    active.failed.push_back(engine);
    active.runs += didNotRun || wasReserving ? 0 : 1;
    const bool noBudgetNeeded = wasReserving || (didNotRun && !this->policy.budgetRefused);
    const bool repeatable = didNotRun || active.request.idempotent;
    const bool alreadyPaid = std::exchange(active.moving, false);
    const bool allowed = noBudgetNeeded || (repeatable && (alreadyPaid || this->retries.take()));
    if ((ran && !active.request.idempotent) || !allowed || this->isExhausted(active)) {
        // Refused now and not at the deadline, with the time after which to retry.
        active.phase = Phase::Reserving; // none of it is on an engine any more
        this->refuse(active.request.id, RefusalReason::AttemptsExhausted,
                     std::chrono::duration_cast<state::Duration>(
                             std::chrono::duration<double>(this->idealSeconds(active.request))));
        return;
    }
    if (onEngine && !didNotRun)
        ++this->tally.retried;
    ++active.attempt;
    if (!active.span) {
        this->releaseTickets(active);
        active.plan = {};
        this->enqueue(active, true);
        return;
    }
    for (routing::SpanPart &part : active.plan.parts) {
        if (part.engine == engine)
            this->tally.recomputedTokens += part.done - part.from;
    }
    active.phase = Phase::Reserving;
    if (engineLost
        && routing::replaceLost(active.plan, engine, this->engines, active.request.model,
                                this->policy, this->now)) {
        this->spans.insert(active.request.id);
        this->reserveNext(active);
        return;
    }
    this->giveBack(active);
    active.plan = {};
    this->enqueue(active, true);
}

void Dispatcher::describe(const Flight &active, std::size_t part, routing::WorkNote &note) const
{
    const CompletionRequest &request = active.request;
    note.key = request.tableKey();
    note.promptTokens = request.promptTokens;
    note.outputTokens =
            std::uint32_t(request.maximumOutputTokens * this->policy.expectedOutputShare);
    note.memoryTokens = this->partMemory(active, part);
    for (const Flight::Ticket &reservation : active.tickets)
        note.memoryTokens -= std::min(note.memoryTokens, reservation.share.tokens);
    note.lifetime = std::max(request.deadline - this->now, state::Duration(1));
    note.pause = request.pause;
    for (const state::EndpointId &helper : active.helpers)
        note.helpers.push_back(routing::EngineKey::of(helper));
    for (const Flight::Ticket &reservation : active.tickets)
        note.helperMemory.push_back(reservation.share.tokens);
}

void Dispatcher::tell(const Flight &active, std::size_t part, routing::WorkStage stage,
                      std::uint32_t prefillTokens, std::uint32_t chargedTokens,
                      std::uint8_t priority)
{
    routing::WorkNote note;
    note.stage = stage;
    note.work = active.work + part;
    note.engine = routing::EngineKey::of(active.plan.parts[part].engine);
    note.hasHelpers = !active.helpers.empty();
    if (stage == routing::WorkStage::Dispatched) {
        this->describe(active, part, note);
        note.prefillTokens = prefillTokens;
        note.chargedTokens = chargedTokens;
        note.priority = priority;
    }
    this->on(PeerWorkNoted{note});
    if (this->policy.shareWork)
        this->actions.emplace_back(ShareWork{note});
}

} // namespace lavenderthread::coordination::admission
