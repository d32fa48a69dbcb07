// Requests on engines that work in declared passes: they go to an engine at once or are refused at
// once, since the engines' own queues cost nothing that waiting here would save.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>

namespace lavenderthread::coordination::admission {

namespace {

constexpr state::Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr state::Duration longestRetryAfter = std::chrono::seconds(5);
constexpr state::Duration longRetryAfter = std::chrono::seconds(2);
// A place at an engine frees up as the answers there end, a second or two each.
constexpr state::Duration retryWhenFull = std::chrono::milliseconds(700);
// Below the life of what peers have told, so that one datagram may be lost.
constexpr state::Duration waitingSharePeriod = std::chrono::milliseconds(100);
constexpr state::Duration retryWithoutEngines = std::chrono::seconds(1);

state::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

// Without reserved memory only the prefill needs the helpers; what they prefilled is kept by the
// engine that decodes.
bool Dispatcher::Flight::needs(const state::EndpointId &engine) const
{
    if (this->plan.uses(engine))
        return true;
    return this->phase == Phase::Prefilling
           && std::ranges::find(this->helpers, engine) != this->helpers.end();
}

routing::PassRequest Dispatcher::passRequestOf(const CompletionRequest &request) const
{
    routing::PassRequest wanted;
    wanted.promptTokens = request.promptTokens;
    wanted.outputTokens = request.maximumOutputTokens * this->policy.expectedOutputShare;
    wanted.memoryTokens = request.promptTokens + request.maximumOutputTokens;
    wanted.firstTargetSeconds = std::chrono::duration<double>(request.firstTarget).count();
    wanted.draw = workOf(request.id);
    return wanted;
}

std::optional<Refuse> Dispatcher::refusalByPasses(const CompletionRequest &request)
{
    if (!this->isLong(request))
        return this->briefRefusal(request);
    const routing::LongOutlook outlook =
            this->engines.longOutlook(request.model, this->passRequestOf(request), this->now);
    const WaitingPrompt prompt{workOf(request.id), outlook.engineSeconds, request.arrival};
    return this->longRefusal(request, outlook, this->longQueue.secondsBefore(prompt, this->now));
}

std::optional<Refuse> Dispatcher::briefRefusal(const CompletionRequest &request)
{
    const auto choice =
            this->engines.chooseByPasses(request.model, this->passRequestOf(request), this->now);
    if (!choice)
        return std::nullopt; // waits for a place; placing it refuses it when it gets too late
    state::Duration over = toDuration(choice->completionSeconds) - (request.deadline - this->now);
    // Counted from now: a request that waited for the configuration or for engines is late already,
    // and turning it away from idle engines would help nobody.
    if (request.firstTarget > state::Duration(0)) {
        const state::Duration bound = std::chrono::duration_cast<state::Duration>(
                request.firstTarget * this->policy.lateTolerance);
        over = std::max(over, toDuration(choice->firstEventSeconds) - bound);
    }
    std::optional<Refuse> refusal = this->refusalWhenOver(request, over);
    if (refusal) {
        refusal->predictedFirst = toDuration(choice->firstEventSeconds);
        refusal->look = choice->look;
    }
    return refusal;
}

// `secondsBefore`: engine time of the prompts that wait and go first.
std::optional<Refuse> Dispatcher::longRefusal(const CompletionRequest &request,
                                              const routing::LongOutlook &outlook,
                                              double secondsBefore)
{
    if (outlook.engines == 0)
        return std::nullopt; // waits for an engine to come up
    const state::Duration start =
            toDuration(outlook.backlogSeconds + secondsBefore / double(outlook.engines));
    const state::Duration first = start + toDuration(outlook.prefillSeconds);
    const state::Duration whole = first + toDuration(outlook.completionSeconds);
    state::Duration over = whole - (request.deadline - this->now);
    if (request.firstTarget > state::Duration(0)) {
        const auto patience = std::chrono::duration_cast<state::Duration>(
                request.firstTarget * this->policy.passes.waitingShare);
        over = std::max(over, start - patience);
    }
    // Load that is too much for a long prompt now is rarely gone when the backlog of now is.
    if (over <= state::Duration(0))
        return std::nullopt;
    std::optional<Refuse> refusal = this->refusalWhenOver(request, over * 2 + longRetryAfter);
    refusal->predictedFirst = first;
    refusal->queuedSeconds = secondsBefore;
    refusal->look = outlook.look;
    return refusal;
}

std::optional<Refuse> Dispatcher::refusalWhenOver(const CompletionRequest &request,
                                                  state::Duration over) const
{
    if (over <= state::Duration(0))
        return std::nullopt;
    return Refuse{request.id, RefusalReason::Deadline,
                  std::clamp(over, shortestRetryAfter, longestRetryAfter), Ran::No};
}

bool Dispatcher::isLong(const CompletionRequest &request) const
{
    return this->engines.isLong(request.model, request.promptTokens);
}

WaitingPrompt Dispatcher::waitingOf(const Flight &flight) const
{
    const routing::EngineView *view = nullptr;
    for (const state::EndpointId &id : this->engines.watched(flight.request.model)) {
        view = this->engines.find(id);
        if (view->profile())
            break;
    }
    const double seconds =
            state::routes::prefillSeconds(*view->profile(), flight.request.promptTokens);
    return {flight.work, seconds, flight.request.arrival};
}

// The first of all that wait starts as soon as engines are free for it; nobody overtakes it, or the
// longest ones would never find enough of them free.
void Dispatcher::pumpLong()
{
    while (const auto id = this->longQueue.head(this->now)) {
        Flight &flight = this->flights.at(*id);
        if (flight.notBefore > this->now || !this->placeByPasses(flight))
            return;
    }
}

// A prompt that others have pushed back too far, or whose engines were lost, is told so now.
void Dispatcher::refuseHopeless()
{
    for (const auto &[id, prompt] : this->longQueue.own()) {
        const Flight &flight = this->flights.at(id);
        const CompletionRequest &request = flight.request;
        const bool hasTarget = request.firstTarget > state::Duration(0);
        const state::Duration usual = hasTarget ? request.firstTarget : longestRetryAfter;
        if (this->now - request.arrival > this->waitingPatience(flight, usual))
            this->refuse(id, RefusalReason::Overload, retryWhenFull);
    }
}

// From arrival. One that has been on an engine waits on: it has been late since that engine failed
// it, and its caller, who may have a part of the answer, leaves by itself when it has waited
// enough.
state::Duration Dispatcher::waitingPatience(const Flight &flight, state::Duration usual) const
{
    const bool hasRun = flight.runs > 0;
    return hasRun ? flight.request.deadline - flight.request.arrival : usual;
}

// The others order their own prompts by what they know of these; what is not said again they
// forget.
void Dispatcher::shareWaiting()
{
    if (!this->longQueue.hasOwn() || this->now < this->longSharedAt + waitingSharePeriod)
        return;
    this->longSharedAt = this->now;
    for (const auto &[id, prompt] : this->longQueue.own())
        this->tellWaiting(this->flights.at(id), prompt, routing::WorkStage::Waiting);
}

void Dispatcher::tellWaiting(const Flight &flight, const WaitingPrompt &prompt,
                             routing::WorkStage stage)
{
    routing::WorkNote note;
    note.stage = stage;
    note.work = flight.work;
    note.age = this->now - flight.request.arrival;
    note.engineTime = toDuration(prompt.engineSeconds);
    if (this->policy.shareWork)
        this->actions.emplace_back(ShareWork{note});
}

bool Dispatcher::placeByPasses(Flight &flight)
{
    const CompletionRequest &request = flight.request;
    routing::PassRequest wanted = this->passRequestOf(request);
    wanted.avoid = flight.failed;
    const auto choice = this->engines.chooseByPasses(request.model, wanted, this->now);
    if (!choice && this->isLong(request)) {
        if (this->longQueue.findOwn(flight.work))
            return false; // refuseHopeless() ends it when it has waited too long
        // It was brief when it was queued: callers have since come who bear shorter pauses.
        this->dequeue(flight);
        this->enqueue(flight, true);
        return true;
    }
    if (!choice) {
        // No engine has room. It may wait for as long as it could still be in time then.
        const state::Duration usual =
                request.firstTarget > state::Duration(0) ? request.firstTarget / 2 : retryWhenFull;
        if (this->now - request.arrival < this->waitingPatience(flight, usual))
            return false;
        const bool none = this->engines.watched(request.model).empty();
        this->refuse(request.id, none ? RefusalReason::UnknownModel : RefusalReason::Overload,
                     none ? retryWithoutEngines : retryWhenFull);
        return true;
    }
    this->dequeue(flight);
    flight.plan.parts = {{choice->engine, 0, request.promptTokens, 0, false}};
    flight.helpers = choice->helpers;
    flight.partSeconds = choice->partSeconds;
    flight.predictedFirst = toDuration(choice->firstEventSeconds);
    flight.look = choice->look;
    ++flight.attempt;
    if (choice->memory.empty())
        this->dispatchNext(flight);
    else
        this->reserveTickets(flight, choice->memory);
    return true;
}

// The time of a part, in the tokens that the engine prefills in that time when there are no pairs
// to count: the views let work proceed at that rate.
std::uint32_t Dispatcher::partTokens(const Flight &flight) const
{
    const routing::EngineView *view = this->engines.find(flight.plan.parts.front().engine);
    if (view == nullptr)
        return 0;
    return std::uint32_t(flight.partSeconds / view->prefillSeconds(1));
}

void Dispatcher::applyNote(const routing::WorkNote &note)
{
    const bool dispatched = note.stage == routing::WorkStage::Dispatched;
    if (note.hasHelpers && !dispatched)
        this->engines.helpOver(note.work, note.stage, this->now);
    if (routing::EngineView *view = this->engines.find(note.engine)) {
        view->apply(note, this->now);
        if (dispatched) {
            for (const state::ModelName &model : view->description().models)
                this->engines.notePause(model, note.pause, this->now);
            const double prefill = std::min(note.chargedTokens, note.prefillTokens);
            this->engines.noteDemand(*view, note.promptTokens, prefill, this->now);
        }
        if (view->profile() && dispatched) {
            const double part = view->prefillSeconds(note.prefillTokens);
            this->engines.noteLongPrefill(*view, part * double(note.helpers.size() + 1), this->now);
        }
    }
    for (std::size_t index = 0; index < note.helpers.size(); ++index) {
        const std::uint32_t memory =
                index < note.helperMemory.size() ? note.helperMemory[index] : 0;
        if (routing::EngineView *view = this->engines.find(note.helpers[index]))
            view->help(note, memory, this->now);
    }
}

} // namespace lavenderthread::coordination::admission
