// The decision under overload on engines that work in passes, where the policy asks for it: the
// same one at arrival, in the queue and before a retry. See OverloadControl.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <limits>

namespace lavenderthread::coordination::admission {

namespace {

constexpr std::uint8_t ranks = OverloadControl::ranks;
// Priorities that are sent to engines. A brief request goes before a long one of any rank; peers
// read the rank from the value.
constexpr std::uint8_t firstBriefPriority = 1;
constexpr std::uint8_t firstLongPriority = firstBriefPriority + ranks;
// The wait of a request without a target: slots become free after a second or two each.
constexpr state::Duration waitWithoutTarget = std::chrono::milliseconds(700);

state::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::uint8_t Dispatcher::rankedPriority(std::uint8_t rank, bool isLong)
{
    const std::uint8_t bounded = std::min<std::uint8_t>(rank, ranks - 1);
    return std::uint8_t((isLong ? firstLongPriority : firstBriefPriority) + bounded);
}

std::uint8_t Dispatcher::rankOfPriority(std::uint8_t priority)
{
    return priority < firstBriefPriority ? 0 : (priority - firstBriefPriority) % ranks;
}

OverloadQuery Dispatcher::overloadQuery(const CompletionRequest &request)
{
    OverloadQuery query;
    query.rank = request.rank;
    query.account = request.account;
    const routing::SlotLoad slots = this->engines.slotLoad(request.model, this->now);
    const double prompts =
            this->longPromptQueue.sumOf(routing::Fleet::hashOf(request.model), this->now,
                                        [](const WaitingPrompt &) { return 1.0; });
    query.load = {double(slots.slots), double(slots.taken), double(this->queue.size()) + prompts};
    query.timeLeft = request.deadline - this->now;
    return query;
}

// Half of a brief request's target is left for its prefill and the current pass of its engine.
state::Duration Dispatcher::briefWaitOf(const CompletionRequest &request)
{
    return request.firstEventTarget > state::Duration(0) ? request.firstEventTarget / 2
                                                         : waitWithoutTarget;
}

std::optional<Refuse> Dispatcher::rankedRefusal(const CompletionRequest &request)
{
    OverloadQuery query = this->overloadQuery(request);
    Refuse refusal;
    if (this->isLong(request)) {
        const WaitingPrompt prompt = this->waitingPromptOf(request);
        const double waitingDemand = this->updateWaitingDemand(request.model);
        this->engines.setWaitingDemand(request.model,
                                       waitingDemand + this->waitingDemandOf(prompt));
        const routing::LongPromptEstimate outlook = this->engines.estimateLongPrompt(
                request.model, this->passRequestOf(request), this->now);
        this->engines.setWaitingDemand(request.model, waitingDemand);
        if (outlook.engines == 0)
            return std::nullopt; // it waits until an engine is available
        refusal.queuedSeconds = this->longPromptQueue.secondsBefore(prompt, this->now);
        refusal.placementSnapshot = outlook.placementSnapshot;
        query.waitingAhead = this->longPromptQueue.countBefore(prompt, this->now);
        query.secondsAhead =
                outlook.backlogSeconds + refusal.queuedSeconds / double(outlook.engines);
        query.latestStart = request.deadline - this->now
                            - toDuration(outlook.prefillSeconds + outlook.completionSeconds);
        if (request.firstEventTarget > state::Duration(0))
            query.latestStart = std::min(query.latestStart,
                                         request.arrival + request.firstEventTarget
                                                 - toDuration(outlook.prefillSeconds) - this->now);
        refusal.predictedFirstEvent = toDuration(query.secondsAhead + outlook.prefillSeconds);
    } else {
        this->updateWaitingDemand(request.model);
        query.waitingAhead = double(this->queue.size());
        // Counted from now: a request that waited for engines or for the configuration is late
        // already, and engines with free slots should still serve it.
        query.latestStart = std::min(briefWaitOf(request), query.timeLeft);
    }
    const OverloadDecision decision = this->overloadByModel[request.model].decide(query, this->now);
    if (decision.verdict != Verdict::Refuse) {
        if (this->isLong(request) || this->overloadByModel[request.model].isIdle(query.load))
            return std::nullopt;
        // A slot is free, but the prefill that waits at the engines would make it late.
        std::optional<Refuse> late = this->briefRefusal(request);
        if (!late)
            return std::nullopt;
        refusal = *late;
        refusal.retryAfter = this->retryAfterOf(request, late->retryAfter);
    } else {
        refusal.reason = RefusalReason::Overload;
        refusal.retryAfter = decision.retryAfter;
    }
    refusal.id = request.id;
    refusal.rank = request.rank;
    refusal.waitingAhead = query.waitingAhead;
    refusal.slotsTaken = std::uint32_t(query.load.taken);
    return refusal;
}

// Whether a waiting request may take a slot now. Those that go first have been tried before it.
bool Dispatcher::mayStart(const ActiveRequest &active)
{
    if (!this->policy.rankedOverload)
        return true;
    OverloadQuery query = this->overloadQuery(active.request);
    query.queued = true;
    query.latestStart = state::Duration::max(); // its wait is bounded by the queue
    return this->overloadByModel[active.request.model].decide(query, this->now).verdict
           == Verdict::Accept;
}

// A request that has lost its engine needs another slot. Nothing if it may be placed again, else
// when its caller should return.
std::optional<state::Duration> Dispatcher::retryRefusal(const ActiveRequest &active)
{
    const CompletionRequest &request = active.request;
    // A caller that has a part of the answer can't return for the rest.
    if (!this->policy.rankedOverload || active.receivedTokens > 0
        || !this->engines.worksInPasses(request.model))
        return std::nullopt;
    OverloadQuery query = this->overloadQuery(request);
    query.latestStart = request.deadline - this->now - toDuration(this->idealSeconds(request));
    const OverloadDecision decision = this->overloadByModel[request.model].decide(query, this->now);
    if (decision.verdict != Verdict::Refuse)
        return std::nullopt;
    return decision.retryAfter;
}

// The Retry-After of a waiting request that is refused; `fixed` without the ranked control.
state::Duration Dispatcher::retryAfterOf(const CompletionRequest &request, state::Duration fixed)
{
    if (!this->policy.rankedOverload)
        return fixed;
    return this->overloadByModel[request.model].returnTime(request.rank, fixed,
                                                           request.deadline - this->now, this->now);
}

void Dispatcher::noteAdmitted(const routing::WorkNote &note)
{
    const bool isWhole = note.stage == routing::WorkStage::Dispatched && note.chargedTokens > 0;
    const routing::EngineView *view = this->engines.find(note.engine);
    if (!this->policy.rankedOverload || !isWhole || view == nullptr)
        return;
    for (const state::ModelName &model : view->description().models) {
        this->overloadByModel[model].noteAdmitted(note.key.account, rankOfPriority(note.priority),
                                                  this->now);
    }
}

// Rows of one account and route have one rank, so the order within a row is not affected.
void Dispatcher::rankRow(const CompletionRequest &request)
{
    state::TableRow row = this->queue.row(request.tableKey());
    const auto priority = std::min<std::uint8_t>(request.rank, ranks - 1);
    if (row.priority == priority)
        return;
    row.key = request.tableKey();
    row.priority = priority;
    this->queue.setRow(row);
}

} // namespace lavenderthread::coordination::admission
