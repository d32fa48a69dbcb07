// Admission of arriving requests and placement of waiting ones.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace lavenderthread::coordination::admission {

namespace {

// Rows tried in each group of equal priority and length class: the others need as much capacity.
constexpr std::size_t headsPerGroup = 3;
// After this many failed placements the rest of that length class waits as well.
constexpr std::size_t failuresPerClass = 2;
constexpr std::uint32_t highestPriorityTokens = 4'096; // shorter prompts have the highest priority
constexpr int lowestPriority = 9;
constexpr int ordinaryRowPriority = 5;
constexpr double urgentSlackRatio = 2;   // time left / time needed, below which work is urgent
constexpr double aheadQueueShare = 0.25; // of the queue limit, for rows ahead of their share
constexpr std::uint32_t milli = 1'000;
constexpr state::Duration minimumRetryAfter = std::chrono::seconds(1);
// Puts prompts that have missed their target behind those of all ranks that have not.
constexpr state::Duration lastRankDelay = std::chrono::seconds(60);
constexpr state::Duration maximumRetryAfter = std::chrono::seconds(30);

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

state::Duration retryAfter(double seconds)
{
    const auto wanted = std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double>(std::min(seconds, toSeconds(maximumRetryAfter))));
    return std::clamp(wanted, minimumRetryAfter, maximumRetryAfter);
}

} // namespace

std::optional<Refuse> Dispatcher::admissionRefusal(const CompletionRequest &request,
                                                   LengthClass lengthClass)
{
    const auto refusal = [&request](RefusalReason reason, state::Duration after) {
        return Refuse{request.id, reason, after, Ran::No};
    };
    if (this->engines.watched(request.model).empty())
        return refusal(RefusalReason::UnknownModel, maximumRetryAfter);
    if (this->queue.size() >= this->policy.queuedRequestsLimit)
        return refusal(RefusalReason::Overload, minimumRetryAfter);
    if (this->engines.worksInPasses(request.model)) {
        std::optional<Refuse> refused = this->refusalByPasses(request);
        return refused ? refused : this->leavingRefusal(request);
    }
    if (this->policy.admitByDeadline) {
        const double left = toSeconds(request.deadline - this->now);
        const double waits = this->expectedWaitSeconds(request, lengthClass);
        // The cheap lower bound first: under overload most refusals are decided here.
        double needed = this->idealSeconds(request);
        if (waits + needed > left)
            return refusal(RefusalReason::Deadline, retryAfter(waits + needed - left));
        if (!this->needsSpan(request)) {
            routing::ChoiceQuery query = this->queryOf(request, 0);
            query.ignoreQueueLimit = true;
            ActiveRequest probe;
            probe.request = request;
            query.prompt.priority = this->priorityOf(probe);
            const std::optional<routing::Choice> best = this->engines.choose(query, this->now);
            if (!best)
                return refusal(RefusalReason::Overload, minimumRetryAfter);
            needed = best->prediction.completionSeconds;
        }
        const double total = (waits + needed) * this->policy.admissionMargin;
        if (total > left)
            return refusal(RefusalReason::Deadline, retryAfter(total - left));
    }
    if (std::optional<Refuse> leaving = this->leavingRefusal(request))
        return leaving;
    if (this->hooks.acquireLimit) {
        if (const auto after = this->hooks.acquireLimit(request, this->now))
            return refusal(RefusalReason::Limit, *after);
    }
    return std::nullopt;
}

// Expected time in the entries' queues before the request may start. Fair queueing bounds it by the
// backlog of its own row over that row's share; the whole backlog drains at the fleet's rate.
double Dispatcher::expectedWaitSeconds(const CompletionRequest &request,
                                       LengthClass lengthClass) const
{
    double peerTokens = 0;
    double weights = double(this->queue.weightWaiting());
    for (const auto &[peer, backlog] : this->peerBacklogs) {
        if (backlog.second <= this->now)
            continue;
        peerTokens += double(backlog.first.waitingTokens[std::size_t(lengthClass)]);
        weights += double(backlog.first.waitingWeight);
    }
    const double rate = this->engines.prefillRate(request.model);
    const state::TableKey key = request.tableKey();
    const double weight = this->queue.row(key).weight;
    const double total = double(this->queue.waitingTokensUpTo(lengthClass)) + peerTokens;
    const double own =
            double(this->queue.waitingTokensOf(key)) * std::max(weights, weight) / weight;
    return std::min(total, own) / rate;
}

void Dispatcher::placeWaiting()
{
    this->placementTriedAt = this->now;
    std::array<std::size_t, lengthClassCount> failures{};
    bool placed = true;
    while (placed && this->queue.size() > 0) {
        placed = false;
        const double least = this->queue.leastServiceAnywhere(this->now).value_or(0);
        for (const QueueHead &head :
             this->queue.heads(headsPerGroup, this->policy.fairBurstTokens, this->now)) {
            std::size_t &failed = failures[std::size_t(head.request.lengthClass)];
            if (failed >= failuresPerClass)
                continue;
            ActiveRequest &active = this->activeRequests.at(head.request.id);
            const double weight = this->queue.row(head.request.key).weight;
            const bool aheadOfShare =
                    (head.service - least) * weight > this->policy.fairBurstTokens;
            if (active.notBefore <= this->now && this->place(active, aheadOfShare)) {
                placed = true;
                break;
            }
            ++failed;
        }
    }
    if (this->longPromptQueue.hasOwn() && this->now >= this->longPlacementDueAt)
        this->placeLongPrompts();
}

bool Dispatcher::place(ActiveRequest &active, bool aheadOfShare)
{
    const CompletionRequest &request = active.request;
    if (this->engines.worksInPasses(request.model))
        return this->placeByPasses(active);
    const state::TableRow &row = this->queue.row(request.tableKey());
    // A request that can no longer complete in time is refused now; holding it until its deadline
    // would keep its caller from trying elsewhere.
    const double left = toSeconds(request.deadline - this->now);
    if (this->policy.admitByDeadline && this->idealSeconds(request) > left) {
        this->refuse(request.id, RefusalReason::Deadline, minimumRetryAfter);
        return true;
    }
    if (row.fleetShareMilli < milli) {
        const double rate = this->engines.prefillRate(request.model);
        if (this->queue.tokensPerSecond(row.key, this->now) > rate * row.fleetShareMilli / milli)
            return false;
    }
    if (active.usesSpan)
        return this->placeSpan(active);
    routing::ChoiceQuery query = this->queryOf(request, this->priorityOf(active));
    query.avoidedDomain = active.avoidedDomain;
    const std::optional<routing::Choice> choice = this->engines.choose(query, this->now);
    if (!choice && request.promptTokens >= this->policy.spanFromTokens) {
        // No single engine can take all of it now; several together may.
        active.usesSpan = this->placeSpan(active);
        return active.usesSpan;
    }
    if (!choice)
        return false;
    // Rows ahead of their share may use only this part of an engine's queue; the rest is kept for
    // rows behind theirs, at this entry or another one. Without the limit a flow of many short
    // requests would take every slot that opens.
    const double limit = toSeconds(this->policy.engineQueueLimit) * aheadQueueShare;
    if (aheadOfShare && this->policy.holdInEntry && choice->prediction.queueSeconds > limit)
        return false;
    this->queue.remove(this->queuedRequestOf(active));
    const auto cached = std::uint32_t(choice->prediction.cachedTokens);
    active.plan.parts = {{choice->engine, 0, request.promptTokens, cached, false}};
    ++active.attempt;
    this->dispatchNext(active);
    return true;
}

// Dispatches the next slice of a part, the next part, or the last slice followed by decoding.
void Dispatcher::dispatchNext(ActiveRequest &active)
{
    const std::size_t last = active.plan.parts.size() - 1;
    const std::size_t next = active.plan.nextToPrefill().value_or(last);
    if (active.phase == Phase::Prefilling && next != active.currentPart)
        this->shareWorkNote(active, active.currentPart, routing::WorkStage::Dispatched);
    active.currentPart = next;
    routing::SpanPart &part = active.plan.parts[active.currentPart];
    const std::uint32_t left = part.to - part.prefilledTo;
    const bool whole = active.partSeconds > 0;
    const bool sliced = !whole && this->policy.sliceTokens > 0 && left > this->policy.sliceTokens;
    const std::uint32_t to = sliced ? part.prefilledTo + this->policy.sliceTokens : part.to;
    const std::uint8_t priority = this->priorityOf(active);
    Dispatch dispatch;
    dispatch.id = active.request.id;
    dispatch.attempt = active.attempt;
    dispatch.engine = part.engine;
    dispatch.priority = priority;
    dispatch.from = part.prefilledTo;
    dispatch.to = to;
    dispatch.final = active.currentPart == last && to == part.to;
    dispatch.resumeOffset = active.receivedTokens;
    dispatch.helpers = active.helpers;
    for (const ActiveRequest::HelperReservation &ticket : active.helperReservations)
        dispatch.helperLeases.push_back(ticket.lease);
    dispatch.predictedFirstEvent = active.predictedFirstEvent;
    dispatch.placementSnapshot = active.placementSnapshot;
    if (active.usesSpan) {
        dispatch.lease = this->leaseOf(active, active.currentPart);
        for (std::size_t each = 0; each < active.currentPart; ++each) {
            const routing::SpanPart &source = active.plan.parts[each];
            dispatch.imports.push_back(
                    {source.engine, this->leaseOf(active, each), source.from, source.to});
        }
    }
    std::uint32_t charged = to - part.prefilledTo;
    if (dispatch.final)
        charged += active.request.maximumOutputTokens;
    active.phase = Phase::Prefilling;
    active.dispatched = true;
    this->actions.emplace_back(dispatch);
    if (routing::EngineView *view = this->engines.find(part.engine))
        view->recordOwnSend(this->now);
    this->shareWorkNote(active, active.currentPart, routing::WorkStage::Dispatched,
                        whole ? this->equivalentPartTokens(active) : left, charged, priority);
    if (routing::EngineView *view = this->engines.find(part.engine);
        view != nullptr && this->policy.useCacheEvents && part.from == 0 && dispatch.final)
        view->prefixes().addExpected(active.request.prefixBlocks);
}

// 0 is the highest priority and is given to short prompts. Longer ones age: each doubling of the
// response ratio (time since arrival / completion time on an idle engine) raises them by one level,
// so that each ages at the pace at which it can afford to wait. Work that runs out of slack goes
// right behind the short prompts.
std::uint8_t Dispatcher::priorityOf(const ActiveRequest &active) const
{
    const CompletionRequest &request = active.request;
    if (!this->policy.priorities)
        return ordinaryRowPriority;
    // Waiting requests are ordered at the entry; on the engine, brief ones go first.
    constexpr std::uint8_t briefPriority = 2;
    if (this->engines.worksInPasses(request.model) && this->policy.rankedOverload)
        return rankedPriority(request.rank, this->isLong(request));
    if (this->engines.worksInPasses(request.model))
        return this->isLong(request) ? ordinaryRowPriority : briefPriority;
    const int rowShift = int(this->queue.row(request.tableKey()).priority) - ordinaryRowPriority;
    if (request.promptTokens < highestPriorityTokens)
        return std::uint8_t(std::clamp(rowShift, 0, lowestPriority));
    int priority = std::bit_width(request.promptTokens / highestPriorityTokens);
    if (active.usesSpan)
        priority = std::min(priority, int(this->policy.spanPriority));
    const double ideal = std::max(this->idealSeconds(request), 0.001);
    const double waited = toSeconds(this->now - request.arrival);
    const double left = toSeconds(request.deadline - this->now);
    if (left < ideal * urgentSlackRatio)
        priority = 1;
    priority -= std::max(0, int(std::log2(std::max(waited / ideal, 1.0))));
    return std::uint8_t(std::clamp(priority + rowShift, 1, lowestPriority));
}

routing::ChoiceQuery Dispatcher::queryOf(const CompletionRequest &request,
                                         std::uint8_t priority) const
{
    routing::ChoiceQuery query;
    query.model = request.model;
    query.prompt.promptTokens = request.promptTokens;
    query.prompt.prefillTokens = request.promptTokens;
    query.prompt.outputTokens = request.maximumOutputTokens * this->policy.expectedOutputShare;
    query.prompt.priority = priority;
    query.prompt.prefixBlocks = request.prefixBlocks;
    query.memoryTokens = request.promptTokens + request.maximumOutputTokens;
    return query;
}

bool Dispatcher::needsSpan(const CompletionRequest &request) const
{
    const std::uint64_t tokens = std::uint64_t(request.promptTokens) + request.maximumOutputTokens;
    return !this->engines.anyEngineFits(
            request.model, std::uint64_t(double(tokens) / this->policy.spanMemoryShare));
}

LengthClass Dispatcher::lengthClassOf(std::uint32_t promptTokens) const
{
    if (promptTokens < this->policy.shortPromptTokens)
        return LengthClass::Short;
    if (promptTokens < this->policy.mediumPromptTokens)
        return LengthClass::Medium;
    return promptTokens < this->policy.longPromptTokens ? LengthClass::Long : LengthClass::Huge;
}

QueuedRequest Dispatcher::queuedRequestOf(const ActiveRequest &active) const
{
    return {active.request.id, active.request.tableKey(), active.lengthClass,
            std::uint64_t(active.request.promptTokens) + active.request.maximumOutputTokens};
}

void Dispatcher::enqueue(ActiveRequest &active, bool front)
{
    active.phase = Phase::Queued;
    if (this->isLong(active.request)) {
        WaitingPrompt prompt = this->waitingPromptOf(active.request);
        if (active.latestStart) {
            prompt.firstEventTarget = state::Duration(0); // missed
            prompt.rankDelay = active.request.deadline - active.request.arrival;
            if (this->policy.rankedOverload)
                prompt.rankDelay += lastRankDelay;
        }
        this->longPromptQueue.add(active.request.id, prompt);
        this->longPlacementDueAt = this->now;
        this->sendWaitingNote(active, prompt, routing::WorkStage::Waiting);
        return;
    }
    if (this->policy.rankedOverload && this->engines.worksInPasses(active.request.model))
        this->rankRow(active.request);
    this->queue.push(this->queuedRequestOf(active), front, this->now);
}

double Dispatcher::idealSeconds(const CompletionRequest &request) const
{
    const auto &watched = this->engines.watched(request.model);
    if (watched.empty())
        return 1;
    const routing::EngineView &view = *this->engines.find(watched.front());
    return routing::idealFirstTokenSeconds(view, request.promptTokens)
           + request.maximumOutputTokens * this->policy.expectedOutputShare
                     * view.decodeStepSeconds();
}

} // namespace lavenderthread::coordination::admission
