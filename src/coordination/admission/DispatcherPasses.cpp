// Requests on engines that work in declared passes. They are dispatched or refused at once where
// possible: waiting in an engine's own queue costs nothing that waiting here would save.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>

namespace lavenderthread::coordination::admission {

namespace {

constexpr state::Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr state::Duration longestRetryAfter = std::chrono::seconds(5);
constexpr state::Duration longRetryAfter = std::chrono::seconds(2);
// Slots of an engine become free as its responses complete, after a second or two each.
constexpr state::Duration retryWhenFull = std::chrono::milliseconds(700);
// Below half of LongPromptQueueSettings::peerLifetime, so that one datagram may be lost.
constexpr state::Duration waitingSharePeriod = std::chrono::milliseconds(100);
// Short beside the targets of long prompts. A try goes through the waiting prompts of all entries.
constexpr state::Duration longPollPeriod = std::chrono::milliseconds(20);
constexpr state::Duration retryWithoutEngines = std::chrono::seconds(1);

state::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

// Helpers without reserved memory are needed for the prefill only: the decoding engine keeps the KV
// that they computed.
bool Dispatcher::ActiveRequest::dependsOn(const state::EndpointId &engine) const
{
    if (this->plan.usesEngine(engine))
        return true;
    return this->phase == Phase::Prefilling
           && std::ranges::find(this->helpers, engine) != this->helpers.end();
}

bool Dispatcher::ActiveRequest::reservesAt(const state::EndpointId &engine) const
{
    const auto isThere = [&](const HelperReservation &each) { return each.share.engine == engine; };
    return this->plan.usesEngine(engine) || std::ranges::any_of(this->helperReservations, isThere);
}

routing::PassRequest Dispatcher::passRequestOf(const CompletionRequest &request) const
{
    routing::PassRequest passRequest;
    passRequest.promptTokens = request.promptTokens;
    passRequest.outputTokens = request.maximumOutputTokens * this->policy.expectedOutputShare;
    passRequest.memoryTokens = request.promptTokens + request.maximumOutputTokens;
    passRequest.firstEventTargetSeconds =
            std::chrono::duration<double>(request.firstEventTarget).count();
    passRequest.tieBreaker = requestHashOf(request.id);
    passRequest.usesAllEngines =
            this->firstEngineAt && this->now < *this->firstEngineAt + this->policy.startSpreadTime;
    return passRequest;
}

// A peer's prompt: the expected length of its answer is not known here.
routing::PassRequest Dispatcher::passRequestOf(const WaitingPrompt &prompt)
{
    routing::PassRequest passRequest;
    passRequest.promptTokens = prompt.promptTokens;
    passRequest.memoryTokens = prompt.promptTokens;
    passRequest.firstEventTargetSeconds =
            std::chrono::duration<double>(prompt.firstEventTarget).count();
    passRequest.tieBreaker = prompt.requestHash;
    return passRequest;
}

double Dispatcher::waitingDemandOf(const WaitingPrompt &prompt) const
{
    const routing::PassPlacementSettings &passes = this->policy.passes;
    const double target = std::chrono::duration<double>(prompt.firstEventTarget).count();
    return routing::enginesToStartAtOnce(prompt.engineSeconds, target, passes)
           * passes.longSecondsPerEngine;
}

// The group for long prompts follows what runs and, by this, also what waits: otherwise a large
// prompt that comes among many brief requests would never find enough engines without them.
double Dispatcher::updateWaitingDemand(const state::ModelName &model)
{
    const double demand = this->longPromptQueue.sumOf(
            routing::Fleet::hashOf(model), this->now,
            [this](const WaitingPrompt &prompt) { return this->waitingDemandOf(prompt); });
    this->engines.setWaitingDemand(model, demand);
    return demand;
}

std::optional<Refuse> Dispatcher::refusalByPasses(const CompletionRequest &request)
{
    if (this->policy.rankedOverload)
        return this->rankedRefusal(request);
    const double waitingDemand = this->updateWaitingDemand(request.model);
    if (!this->isLong(request))
        return this->briefRefusal(request);
    // With the engines that the group gets once the prompt waits. Judged by the present group, it
    // would be refused for want of engines, and the group would never grow.
    const WaitingPrompt prompt = this->waitingPromptOf(request);
    this->engines.setWaitingDemand(request.model, waitingDemand + this->waitingDemandOf(prompt));
    const routing::LongPromptEstimate outlook = this->engines.estimateLongPrompt(
            request.model, this->passRequestOf(request), this->now);
    this->engines.setWaitingDemand(request.model, waitingDemand);
    return this->longRefusal(request, outlook,
                             this->longPromptQueue.secondsBefore(prompt, this->now));
}

std::optional<Refuse> Dispatcher::briefRefusal(const CompletionRequest &request)
{
    const auto choice =
            this->engines.chooseByPasses(request.model, this->passRequestOf(request), this->now);
    if (!choice)
        return std::nullopt; // it waits for a slot; placeByPasses() refuses it when it is too late
    state::Duration overrun =
            toDuration(choice->completionSeconds) - (request.deadline - this->now);
    // Counted from now, not from arrival: a request that waited for the configuration or for
    // engines is late already, and idle engines should still serve it.
    if (request.firstEventTarget > state::Duration(0)) {
        const state::Duration bound = std::chrono::duration_cast<state::Duration>(
                request.firstEventTarget * this->policy.lateTolerance);
        overrun = std::max(overrun, toDuration(choice->firstEventSeconds) - bound);
    }
    std::optional<Refuse> refusal = this->refusalIfLate(request, overrun);
    if (refusal) {
        refusal->predictedFirstEvent = toDuration(choice->firstEventSeconds);
        refusal->placementSnapshot = choice->placementSnapshot;
    }
    return refusal;
}

// `secondsBefore`: engine time in seconds of the waiting prompts that go first.
std::optional<Refuse> Dispatcher::longRefusal(const CompletionRequest &request,
                                              const routing::LongPromptEstimate &outlook,
                                              double secondsBefore)
{
    if (outlook.engines == 0)
        return std::nullopt; // it waits until an engine is available
    const state::Duration start =
            toDuration(outlook.backlogSeconds + secondsBefore / double(outlook.engines));
    const state::Duration first = start + toDuration(outlook.prefillSeconds);
    const state::Duration whole = first + toDuration(outlook.completionSeconds);
    state::Duration overrun = whole - (request.deadline - this->now);
    if (request.firstEventTarget > state::Duration(0)) {
        const auto startLimit = std::chrono::duration_cast<state::Duration>(
                request.firstEventTarget * this->policy.passes.maxWaitingShare);
        overrun = std::max(overrun, start - startLimit);
    }
    // The delay is longer than the backlog needs to drain: by then the load that is too high for a
    // long prompt has rarely gone away.
    if (overrun <= state::Duration(0))
        return std::nullopt;
    std::optional<Refuse> refusal = this->refusalIfLate(request, overrun * 2 + longRetryAfter);
    refusal->predictedFirstEvent = first;
    refusal->queuedSeconds = secondsBefore;
    refusal->placementSnapshot = outlook.placementSnapshot;
    return refusal;
}

std::optional<Refuse> Dispatcher::refusalIfLate(const CompletionRequest &request,
                                                state::Duration overrun) const
{
    if (overrun <= state::Duration(0))
        return std::nullopt;
    return Refuse{request.id, RefusalReason::Deadline,
                  std::clamp(overrun, shortestRetryAfter, longestRetryAfter), Ran::No};
}

bool Dispatcher::isLong(const CompletionRequest &request) const
{
    return this->engines.isLong(request.model, request.promptTokens);
}

// The rank follows the time for which the prompt occupies its engines, whatever their number.
WaitingPrompt Dispatcher::waitingPromptOf(const CompletionRequest &request) const
{
    const double engineSeconds = this->engineSecondsOf(request);
    const routing::PassPlacementSettings &passes = this->policy.passes;
    const std::size_t engineCount =
            std::max<std::size_t>(this->engines.watched(request.model).size(), 1);
    const std::size_t parts = std::min(engineCount, passes.maxHelpers + 1);
    WaitingPrompt prompt;
    prompt.requestHash = requestHashOf(request.id);
    prompt.modelHash = routing::Fleet::hashOf(request.model);
    prompt.promptTokens = request.promptTokens;
    prompt.engineSeconds = engineSeconds;
    prompt.firstEventTarget = request.firstEventTarget;
    prompt.arrival = request.arrival;
    prompt.rankDelay = this->rankDelayOf(request, engineSeconds / double(parts));
    return prompt;
}

// How far a waiting prompt lets later ones pass. `prefillSeconds`: on as many engines as may share
// the prompt.
state::Duration Dispatcher::rankDelayOf(const CompletionRequest &request,
                                        double prefillSeconds) const
{
    const routing::PassPlacementSettings &passes = this->policy.passes;
    const double target = std::chrono::duration<double>(request.firstEventTarget).count();
    double delay = 0;
    switch (passes.waitingOrder) {
    case routing::WaitingOrder::BoundedDelay:
        delay = prefillSeconds * passes.rankDelayFactor;
        break;
    case routing::WaitingOrder::EarliestDeadline:
        delay = target;
        break;
    case routing::WaitingOrder::LeastSlack:
        delay = std::max(target - prefillSeconds, 0.0);
        break;
    case routing::WaitingOrder::ShortestFirst:
        delay = std::min(prefillSeconds * passes.shortestFirstFactor, target);
        break;
    }
    if (this->policy.rankedOverload)
        delay += request.rank * passes.rankStepSeconds;
    return toDuration(delay);
}

double Dispatcher::engineSecondsOf(const CompletionRequest &request) const
{
    const routing::EngineView *view = nullptr;
    for (const state::EndpointId &id : this->engines.watched(request.model)) {
        view = this->engines.find(id);
        if (view->profile())
            break;
    }
    return state::routes::prefillSeconds(*view->profile(), request.promptTokens);
}

// Starts own prompts in the common order of all entries, each on engines that the prompts before it
// leave free. Peers' prompts are given engines too: their entries start them at the same time.
void Dispatcher::placeLongPrompts()
{
    this->longPlacementDueAt = this->now + longPollPeriod;
    std::map<std::uint64_t, std::optional<routing::PassSchedule>> schedules; // by model
    for (const QueuedPrompt &queued : this->longPromptQueue.inOrder(this->now)) {
        const std::uint64_t model = queued.prompt.modelHash;
        auto found = schedules.find(model);
        if (found == schedules.end() && queued.ownId)
            this->updateWaitingDemand(this->activeRequests.at(*queued.ownId).request.model);
        if (found == schedules.end())
            found = schedules.emplace(model, this->engines.scheduleByPasses(model, this->now))
                            .first;
        if (!found->second || found->second->isFull())
            continue;
        if (!queued.ownId) {
            found->second->place(passRequestOf(queued.prompt));
            continue;
        }
        ActiveRequest &active = this->activeRequests.at(*queued.ownId);
        routing::PassRequest request = this->passRequestOf(active.request);
        request.failedEngines = active.failedEngines;
        if (active.latestStart)
            request.firstEventTargetSeconds = 0; // missed
        if (!this->mayStart(active))
            continue;
        const auto choice = found->second->place(std::move(request));
        if (choice && active.notBefore <= this->now)
            this->startByPasses(active, *choice);
    }
}

// Defers own prompts that have missed their target, and refuses those that can't be served any
// more.
void Dispatcher::refuseOverdue()
{
    for (const auto &[id, prompt] : this->longPromptQueue.ownPrompts()) {
        ActiveRequest &active = this->activeRequests.at(id);
        const CompletionRequest &request = active.request;
        const bool hasTarget = request.firstEventTarget > state::Duration(0);
        const state::Duration defaultWait =
                hasTarget ? request.firstEventTarget : longestRetryAfter;
        if (this->now - request.arrival > this->maximumWaitOf(active, defaultWait)
            && !this->defer(active))
            this->refuse(id, RefusalReason::Overload, this->retryAfterOf(request, retryWhenFull));
    }
}

// Under overload, prompts that are late already would go before those that can still be in time,
// and soon all would be late. Refused, they would come back as new ones. So they stay, behind all
// others, for engines that nobody else wants. Returns false if the prompt can't be served before
// its deadline.
bool Dispatcher::defer(ActiveRequest &active)
{
    if (active.latestStart)
        return false;
    const CompletionRequest &request = active.request;
    const routing::LongPromptEstimate outlook = this->engines.estimateLongPrompt(
            request.model, this->passRequestOf(request), this->now);
    const state::Instant latestStart =
            request.deadline - toDuration(outlook.prefillSeconds + outlook.completionSeconds);
    if (outlook.engines == 0 || latestStart <= this->now)
        return false;
    active.latestStart = latestStart;
    this->actions.emplace_back(Deferred{request.id, latestStart});
    this->dequeue(active);
    this->enqueue(active, false);
    return true;
}

// The longest wait, counted from arrival. A request that has run on an engine may wait until its
// deadline: that engine's failure has made it late already, and its caller, who may have a part of
// the response, disconnects when it no longer wants to wait.
state::Duration Dispatcher::maximumWaitOf(const ActiveRequest &active,
                                          state::Duration defaultWait) const
{
    if (active.runs > 0)
        return active.request.deadline - active.request.arrival;
    return active.latestStart ? *active.latestStart - active.request.arrival : defaultWait;
}

// Peers rank their own prompts against these, and forget those that are not announced again.
void Dispatcher::shareWaitingPrompts()
{
    if (!this->longPromptQueue.hasOwn()
        || this->now < this->waitingPromptsSharedAt + waitingSharePeriod)
        return;
    this->waitingPromptsSharedAt = this->now;
    for (const auto &[id, prompt] : this->longPromptQueue.ownPrompts())
        this->sendWaitingNote(this->activeRequests.at(id), prompt, routing::WorkStage::Waiting);
}

void Dispatcher::sendWaitingNote(const ActiveRequest &active, const WaitingPrompt &prompt,
                                 routing::WorkStage stage)
{
    routing::WorkNote note;
    note.stage = stage;
    note.requestHash = active.requestHash;
    note.age = this->now - active.request.arrival;
    note.prefillTime = toDuration(prompt.engineSeconds);
    note.rankDelay = prompt.rankDelay;
    note.firstEventTarget = prompt.firstEventTarget;
    note.modelHash = prompt.modelHash;
    note.promptTokens = prompt.promptTokens;
    if (this->policy.shareWork)
        this->actions.emplace_back(ShareWork{note});
}

// Places a brief request, or refuses it.
bool Dispatcher::placeByPasses(ActiveRequest &active)
{
    const CompletionRequest &request = active.request;
    if (this->isLong(request)) {
        // It was brief when it was queued; callers that tolerate only shorter pauses came since.
        this->dequeue(active);
        this->enqueue(active, true);
        return true;
    }
    this->updateWaitingDemand(request.model);
    routing::PassRequest passRequest = this->passRequestOf(request);
    passRequest.failedEngines = active.failedEngines;
    passRequest.avoidedDomain = active.unreachableDomain;
    std::optional<routing::PassChoice> choice;
    if (this->mayStart(active))
        choice = this->engines.chooseByPasses(request.model, passRequest, this->now);
    if (!choice) {
        // It would wait for one of few requests that the engines accept, among those of all
        // entries.
        if (const auto limitedUntil = this->engines.limitedUntil(request.model, this->now)) {
            const state::Duration after =
                    std::clamp(*limitedUntil - this->now, shortestRetryAfter, longestRetryAfter);
            this->refuse(request.id, RefusalReason::EndpointLimits,
                         this->retryAfterOf(request, after));
            return true;
        }
        // No engine has capacity. The request may wait as long as it can still be in time.
        const state::Duration defaultWait = request.firstEventTarget > state::Duration(0)
                                                    ? request.firstEventTarget / 2
                                                    : retryWhenFull;
        if (this->now - request.arrival < this->maximumWaitOf(active, defaultWait))
            return false;
        const bool none = this->engines.watched(request.model).empty();
        this->refuse(request.id, none ? RefusalReason::UnknownModel : RefusalReason::Overload,
                     this->retryAfterOf(request, none ? retryWithoutEngines : retryWhenFull));
        return true;
    }
    this->startByPasses(active, *choice);
    return true;
}

void Dispatcher::startByPasses(ActiveRequest &active, const routing::PassChoice &choice)
{
    this->dequeue(active);
    active.startedAt = this->now;
    active.plan.parts = {{choice.engine, 0, active.request.promptTokens, 0, false}};
    active.helpers = choice.helpers;
    active.partSeconds = choice.partSeconds;
    active.predictedFirstEvent = toDuration(choice.firstEventSeconds);
    active.predictedAnswerTime = toDuration(this->predictedAnswerSeconds(active.request));
    active.placementSnapshot = choice.placementSnapshot;
    ++active.attempt;
    // Also if memory is reserved first: until then others must not be placed there too.
    if (routing::EngineView *view = this->engines.find(choice.engine))
        view->recordOwnSend(this->now);
    if (choice.memory.empty())
        this->dispatchNext(active);
    else
        this->reserveHelperMemory(active, choice.memory);
}

// The prefill time of a part, as the number of tokens that the engine prefills in that time if
// attention pairs cost nothing: EngineView advances work at that rate.
std::uint32_t Dispatcher::equivalentPartTokens(const ActiveRequest &active) const
{
    const routing::EngineView *view = this->engines.find(active.plan.parts.front().engine);
    if (view == nullptr)
        return 0;
    return std::uint32_t(active.partSeconds / view->prefillSeconds(1));
}

void Dispatcher::applyWorkNote(const routing::WorkNote &note)
{
    const bool dispatched = note.stage == routing::WorkStage::Dispatched;
    if (note.hasHelpers && !dispatched)
        this->engines.completeHelperWork(note.requestHash, note.stage, this->now);
    if (!dispatched)
        this->earlyWork.advance(note.requestHash, note.stage, this->now);
    bool allKnown = true;
    if (routing::EngineView *view = this->engines.find(note.engine)) {
        view->apply(note, this->now);
        if (dispatched) {
            for (const state::ModelName &model : view->description().models)
                this->engines.notePause(model, note.toleratedPause, this->now);
            const double prefill = std::min(note.chargedTokens, note.prefillTokens);
            this->engines.noteDemand(*view, note.promptTokens, prefill, this->now);
        }
        if (view->profile() && dispatched) {
            const double part = view->prefillSeconds(note.prefillTokens);
            this->engines.noteLongPrefill(*view, part * double(note.helpers.size() + 1), this->now);
        }
    } else {
        allKnown = false;
    }
    for (const routing::EngineKey helper : note.helpers) {
        if (routing::EngineView *view = this->engines.find(helper))
            view->addHelperWork(note, note.memoryOf(helper), this->now);
        else
            allKnown = false;
    }
    if (dispatched && !allKnown)
        this->earlyWork.add(note, this->now);
}

} // namespace lavenderthread::coordination::admission
