// Engines and peers: their news, and what their loss means for the work on them.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::admission {

void Dispatcher::on(const EngineAnnounced &event)
{
    const routing::EngineView *known = this->engines.find(event.description.id);
    const bool restarted =
            known != nullptr && event.description.incarnation > known->description().incarnation;
    // A restarted engine has lost its streams and its memory, like one that is gone.
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
    for (const auto &[id, flight] : this->flights) {
        if (flight.phase != Phase::Queued && flight.needs(event.engine))
            lost.push_back(id);
    }
    // The oldest deadline first, and the same order in every run.
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
    for (const auto &[peer, noted] : this->peers) {
        if (noted.first.waitingWeight > 0 && (!least || noted.first.leastService < *least))
            least = noted.first.leastService;
    }
    this->queue.setPeersLeast(least);
}

void Dispatcher::on(const AttemptFailed &event)
{
    Flight *flight = this->current(event.id, event.attempt);
    if (flight == nullptr || flight->plan.parts.empty())
        return;
    const state::EndpointId engine = flight->plan.parts[flight->running].engine;
    this->attemptLost(*flight, engine, event.didNotRun, false);
    this->pump();
}

// Silence alone is no reason to give an answer up: an engine that waits for a lost helper goes on
// after a second or two, and a caller whose answer was cut in the middle has lost what would still
// have come. So the request leaves its engine only if it has a try left and the budget pays for it.
void Dispatcher::on(const MoveAsked &event)
{
    MoveAnswered answer{event.id, event.attempt, false};
    Flight *flight = this->current(event.id, event.attempt);
    if (flight != nullptr && flight->request.idempotent) {
        const std::uint32_t attempts = flight->request.attempts;
        const bool lastRun = attempts > 0 ? flight->runs + 1 >= attempts
                                          : flight->attempt >= this->policy.attemptsLimit;
        answer.allowed = !lastRun && (flight->moving || this->retries.take());
        flight->moving = answer.allowed;
    }
    this->actions.emplace_back(answer);
}

// A request that names its own bound may run on that many engines; engines that refuse it are not
// counted, but they can't be tried for ever either.
bool Dispatcher::isExhausted(const Flight &flight) const
{
    constexpr std::uint32_t refusalsBeside = 2;
    const std::uint32_t attempts = flight.request.attempts;
    if (attempts == 0)
        return flight.attempt >= this->policy.attemptsLimit;
    return flight.runs >= attempts || flight.failed.size() >= attempts + refusalsBeside;
}

void Dispatcher::attemptLost(Flight &flight, const state::EndpointId &engine, bool didNotRun,
                             bool engineLost)
{
    const bool wasReserving = flight.phase == Phase::Reserving;
    const bool onEngine = !wasReserving;
    const bool runningLost = onEngine && flight.plan.parts[flight.running].engine == engine;
    if (const routing::EngineView *view = this->engines.find(engine))
        flight.avoid = view->description().failureDomain;

    if (onEngine) {
        // Decoding needs the KV of every range; a stream on a surviving engine can't go on.
        if (!runningLost) {
            this->actions.emplace_back(CancelOnEngine{flight.request.id, flight.attempt,
                                                      flight.plan.parts[flight.running].engine});
        }
        this->tell(flight, flight.running, routing::WorkStage::Ended);
        if (didNotRun && flight.attempt <= 1)
            flight.handedOver = false;
    }
    const bool ran = flight.handedOver && !didNotRun;
    flight.failed.push_back(engine);
    flight.runs += didNotRun || wasReserving ? 0 : 1;
    const bool free = wasReserving || (didNotRun && !this->policy.budgetRefused);
    const bool repeatable = didNotRun || flight.request.idempotent;
    const bool paid = std::exchange(flight.moving, false);
    const bool allowed = free || (repeatable && (paid || this->retries.take()));
    if ((ran && !flight.request.idempotent) || !allowed || this->isExhausted(flight)) {
        // Given up: the caller hears it now and not at the deadline, and when to come back.
        flight.phase = Phase::Reserving; // nothing of it is on an engine any more
        this->refuse(flight.request.id, RefusalReason::AttemptsExhausted,
                     std::chrono::duration_cast<state::Duration>(
                             std::chrono::duration<double>(this->idealSeconds(flight.request))));
        return;
    }
    if (onEngine && !didNotRun)
        ++this->tally.retried;
    ++flight.attempt;
    if (!flight.span) {
        this->releaseTickets(flight);
        flight.plan = {};
        this->enqueue(flight, true);
        return;
    }
    for (routing::SpanPart &part : flight.plan.parts) {
        if (part.engine == engine)
            this->tally.recomputedTokens += part.done - part.from;
    }
    flight.phase = Phase::Reserving;
    if (engineLost
        && routing::replaceLost(flight.plan, engine, this->engines, flight.request.model,
                                this->policy, this->now)) {
        this->spans.insert(flight.request.id);
        this->reserveNext(flight);
        return;
    }
    this->giveBack(flight);
    flight.plan = {};
    this->enqueue(flight, true);
}

void Dispatcher::describe(const Flight &flight, std::size_t part, routing::WorkNote &note) const
{
    const CompletionRequest &request = flight.request;
    note.key = request.tableKey();
    note.promptTokens = request.promptTokens;
    note.outputTokens =
            std::uint32_t(request.maximumOutputTokens * this->policy.expectedOutputShare);
    note.memoryTokens = this->partMemory(flight, part);
    for (const Flight::Ticket &ticket : flight.tickets)
        note.memoryTokens -= std::min(note.memoryTokens, ticket.share.tokens);
    note.lifetime = std::max(request.deadline - this->now, state::Duration(1));
    note.pause = request.pause;
    for (const state::EndpointId &helper : flight.helpers)
        note.helpers.push_back(routing::EngineKey::of(helper));
    for (const Flight::Ticket &ticket : flight.tickets)
        note.helperMemory.push_back(ticket.share.tokens);
}

void Dispatcher::tell(const Flight &flight, std::size_t part, routing::WorkStage stage,
                      std::uint32_t prefillTokens, std::uint32_t chargedTokens,
                      std::uint8_t priority)
{
    routing::WorkNote note;
    note.stage = stage;
    note.work = flight.work + part;
    note.engine = routing::EngineKey::of(flight.plan.parts[part].engine);
    note.hasHelpers = !flight.helpers.empty();
    if (stage == routing::WorkStage::Dispatched) {
        this->describe(flight, part, note);
        note.prefillTokens = prefillTokens;
        note.chargedTokens = chargedTokens;
        note.priority = priority;
    }
    this->on(PeerWorkNoted{note});
    if (this->policy.shareWork)
        this->actions.emplace_back(ShareWork{note});
}

} // namespace lavenderthread::coordination::admission
