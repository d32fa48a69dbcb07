// Admission of what arrives, and placing of what waits.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace lavenderthread::coordination::admission {

namespace {

constexpr std::size_t headsPerBand = 3;     // rows tried per class: others of it need the same room
constexpr std::size_t failuresPerClass = 2; // then what else is of that length waits too
constexpr std::uint32_t firstPriorityTokens = 4'096; // shorter prompts go first of all
constexpr int lastPriority = 9;
constexpr int ordinaryRowPriority = 5;
constexpr double urgentSlackRatio = 2;     // time left / time needed, below which work is urgent
constexpr double leadingQueueShare = 0.25; // of the queue limit, for rows ahead of their share
constexpr std::uint32_t milli = 1'000;
constexpr state::Duration leastRetryAfter = std::chrono::seconds(1);
constexpr state::Duration mostRetryAfter = std::chrono::seconds(30);

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

state::Duration retryAfter(double seconds)
{
    const auto wanted = std::chrono::duration_cast<state::Duration>(
            std::chrono::duration<double>(std::min(seconds, toSeconds(mostRetryAfter))));
    return std::clamp(wanted, leastRetryAfter, mostRetryAfter);
}

} // namespace

std::optional<Refuse> Dispatcher::refusalOf(const CompletionRequest &request,
                                            LengthClass lengthClass)
{
    const auto refusal = [&request](RefusalReason reason, state::Duration after) {
        return Refuse{request.id, reason, after, Ran::No};
    };
    if (this->engines.watched(request.model).empty())
        return refusal(RefusalReason::UnknownModel, mostRetryAfter);
    if (this->queue.size() >= this->policy.queuedRequestsLimit)
        return refusal(RefusalReason::Overload, leastRetryAfter);
    if (this->engines.worksInPasses(request.model))
        return this->refusalByPasses(request);
    if (this->policy.admitByDeadline) {
        const double left = toSeconds(request.deadline - this->now);
        const double waits = this->waitSeconds(request, lengthClass);
        // The cheap bound first: under overload most refusals end here.
        double needed = this->idealSeconds(request);
        if (waits + needed > left)
            return refusal(RefusalReason::Deadline, retryAfter(waits + needed - left));
        if (!this->needsSpan(request)) {
            routing::ChoiceQuery query = this->queryOf(request, 0);
            query.ignoreQueueLimit = true;
            Flight probe;
            probe.request = request;
            query.prompt.priority = this->priorityOf(probe);
            const std::optional<routing::Choice> best = this->engines.choose(query, this->now);
            if (!best)
                return refusal(RefusalReason::Overload, leastRetryAfter);
            needed = best->prediction.completionSeconds;
        }
        const double total = (waits + needed) * this->policy.admissionMargin;
        if (total > left)
            return refusal(RefusalReason::Deadline, retryAfter(total - left));
    }
    if (this->hooks.acquireLimit) {
        if (const auto after = this->hooks.acquireLimit(request, this->now))
            return refusal(RefusalReason::Limit, *after);
    }
    return std::nullopt;
}

// Time that the request will wait in the entries before it may start. Fair queueing bounds it by
// its row's own backlog over its share, and all backlog together drains at the fleet's rate.
double Dispatcher::waitSeconds(const CompletionRequest &request, LengthClass lengthClass) const
{
    double peerTokens = 0;
    double weights = double(this->queue.weightWaiting());
    for (const auto &[peer, noted] : this->peers) {
        if (noted.second <= this->now)
            continue;
        peerTokens += double(noted.first.waitingTokens[std::size_t(lengthClass)]);
        weights += double(noted.first.waitingWeight);
    }
    const double rate = this->engines.prefillRate(request.model);
    const state::TableKey key = request.tableKey();
    const double weight = this->queue.row(key).weight;
    const double total = double(this->queue.tokensUpTo(lengthClass)) + peerTokens;
    const double own = double(this->queue.tokensOf(key)) * std::max(weights, weight) / weight;
    return std::min(total, own) / rate;
}

void Dispatcher::pump()
{
    std::array<std::size_t, lengthClasses> failures{};
    bool placed = true;
    while (placed && this->queue.size() > 0) {
        placed = false;
        const double least = this->queue.leastAnywhere(this->now).value_or(0);
        for (const QueueHead &head :
             this->queue.heads(headsPerBand, this->policy.fairBurstTokens, this->now)) {
            std::size_t &failed = failures[std::size_t(head.request.lengthClass)];
            if (failed >= failuresPerClass)
                continue;
            Flight &flight = this->flights.at(head.request.id);
            const double weight = this->queue.row(head.request.key).weight;
            const bool leads = (head.service - least) * weight > this->policy.fairBurstTokens;
            if (flight.notBefore <= this->now && this->place(flight, leads)) {
                placed = true;
                break;
            }
            ++failed;
        }
    }
    this->pumpLong();
}

bool Dispatcher::place(Flight &flight, bool leads)
{
    const CompletionRequest &request = flight.request;
    if (this->engines.worksInPasses(request.model))
        return this->placeByPasses(flight);
    const state::TableRow &row = this->queue.row(request.tableKey());
    // What can't end in time any more is told so now; holding it until its deadline would keep its
    // caller from trying elsewhere.
    const double left = toSeconds(request.deadline - this->now);
    if (this->policy.admitByDeadline && this->idealSeconds(request) > left) {
        this->refuse(request.id, RefusalReason::Deadline, leastRetryAfter);
        return true;
    }
    if (row.fleetShareMilli < milli) {
        const double rate = this->engines.prefillRate(request.model);
        if (this->queue.tokensPerSecond(row.key, this->now) > rate * row.fleetShareMilli / milli)
            return false;
    }
    if (flight.span)
        return this->placeSpan(flight);
    routing::ChoiceQuery query = this->queryOf(request, this->priorityOf(flight));
    query.avoid = flight.avoid;
    const std::optional<routing::Choice> choice = this->engines.choose(query, this->now);
    if (!choice && request.promptTokens >= this->policy.spanFromTokens) {
        // No engine has room for all of it, several together may.
        flight.span = this->placeSpan(flight);
        return flight.span;
    }
    if (!choice)
        return false;
    // Room above this share of the queue is kept for rows that are behind, at this entry or at
    // another one. Without it a flow with many short requests takes each place that opens.
    const double limit = toSeconds(this->policy.engineQueueLimit) * leadingQueueShare;
    if (leads && this->policy.holdInEntry && choice->prediction.queueSeconds > limit)
        return false;
    this->queue.remove(this->queuedOf(flight));
    const auto cached = std::uint32_t(choice->prediction.cachedTokens);
    flight.plan.parts = {{choice->engine, 0, request.promptTokens, cached, false}};
    ++flight.attempt;
    this->dispatchNext(flight);
    return true;
}

// The next slice, the next range, or the last piece with the decode behind it.
void Dispatcher::dispatchNext(Flight &flight)
{
    const std::size_t last = flight.plan.parts.size() - 1;
    const std::size_t next = flight.plan.nextToPrefill().value_or(last);
    if (flight.phase == Phase::Prefilling && next != flight.running)
        this->tell(flight, flight.running, routing::WorkStage::Dispatched);
    flight.running = next;
    routing::SpanPart &part = flight.plan.parts[flight.running];
    const std::uint32_t left = part.to - part.done;
    const bool whole = flight.partSeconds > 0;
    const bool sliced = !whole && this->policy.sliceTokens > 0 && left > this->policy.sliceTokens;
    const std::uint32_t to = sliced ? part.done + this->policy.sliceTokens : part.to;
    const std::uint8_t priority = this->priorityOf(flight);
    Dispatch dispatch;
    dispatch.id = flight.request.id;
    dispatch.attempt = flight.attempt;
    dispatch.engine = part.engine;
    dispatch.priority = priority;
    dispatch.from = part.done;
    dispatch.to = to;
    dispatch.final = flight.running == last && to == part.to;
    dispatch.resumeOffset = flight.received;
    dispatch.helpers = flight.helpers;
    for (const Flight::Ticket &ticket : flight.tickets)
        dispatch.helperLeases.push_back(ticket.lease);
    dispatch.predictedFirst = flight.predictedFirst;
    dispatch.look = flight.look;
    if (flight.span) {
        dispatch.lease = this->leaseOf(flight, flight.running);
        for (std::size_t each = 0; each < flight.running; ++each) {
            const routing::SpanPart &source = flight.plan.parts[each];
            dispatch.imports.push_back(
                    {source.engine, this->leaseOf(flight, each), source.from, source.to});
        }
    }
    std::uint32_t charged = to - part.done;
    if (dispatch.final)
        charged += flight.request.maximumOutputTokens;
    flight.phase = Phase::Prefilling;
    flight.handedOver = true;
    this->actions.emplace_back(dispatch);
    this->tell(flight, flight.running, routing::WorkStage::Dispatched,
               whole ? this->partTokens(flight) : left, charged, priority);
    if (routing::EngineView *view = this->engines.find(part.engine);
        view != nullptr && this->policy.useCacheEvents && part.from == 0 && dispatch.final)
        view->prefixes().expect(flight.request.prefixBlocks);
}

// 0 goes first. Short prompts come first; each doubling of the response ratio (time since arrival
// over time alone) raises longer work by one, so that it ages at the pace at which it can afford to
// wait; and work whose slack runs out goes right behind the short ones.
std::uint8_t Dispatcher::priorityOf(const Flight &flight) const
{
    const CompletionRequest &request = flight.request;
    if (!this->policy.priorities)
        return ordinaryRowPriority;
    // What waits is ordered here; among what was sent, brief requests go first.
    constexpr std::uint8_t briefPriority = 2;
    if (this->engines.worksInPasses(request.model))
        return this->isLong(request) ? ordinaryRowPriority : briefPriority;
    const int rowShift = int(this->queue.row(request.tableKey()).priority) - ordinaryRowPriority;
    if (request.promptTokens < firstPriorityTokens)
        return std::uint8_t(std::clamp(rowShift, 0, lastPriority));
    int priority = std::bit_width(request.promptTokens / firstPriorityTokens);
    if (flight.span)
        priority = std::min(priority, int(this->policy.spanPriority));
    const double ideal = std::max(this->idealSeconds(request), 0.001);
    const double waited = toSeconds(this->now - request.arrival);
    const double left = toSeconds(request.deadline - this->now);
    if (left < ideal * urgentSlackRatio)
        priority = 1;
    priority -= std::max(0, int(std::log2(std::max(waited / ideal, 1.0))));
    return std::uint8_t(std::clamp(priority + rowShift, 1, lastPriority));
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
    return !this->engines.anyEngineHolds(
            request.model, std::uint64_t(double(tokens) / this->policy.spanMemoryShare));
}

LengthClass Dispatcher::classOf(std::uint32_t promptTokens) const
{
    if (promptTokens < this->policy.shortPromptTokens)
        return LengthClass::Short;
    if (promptTokens < this->policy.mediumPromptTokens)
        return LengthClass::Medium;
    return promptTokens < this->policy.longPromptTokens ? LengthClass::Long : LengthClass::Huge;
}

QueuedRequest Dispatcher::queuedOf(const Flight &flight) const
{
    return {flight.request.id, flight.request.tableKey(), flight.lengthClass,
            std::uint64_t(flight.request.promptTokens) + flight.request.maximumOutputTokens};
}

void Dispatcher::enqueue(Flight &flight, bool front)
{
    flight.phase = Phase::Queued;
    if (this->isLong(flight.request)) {
        const WaitingPrompt prompt = this->waitingOf(flight);
        this->longQueue.add(flight.request.id, prompt);
        this->tellWaiting(flight, prompt, routing::WorkStage::Waiting);
        return;
    }
    this->queue.push(this->queuedOf(flight), front, this->now);
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
