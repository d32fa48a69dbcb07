#include "coordination/admission/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::admission {

namespace {

constexpr double serviceDecaySeconds = 10;
constexpr double rebaseAfterSeconds = 2'000; // keeps decayScale() far below the largest double

double secondsBetween(state::Instant from, state::Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

std::size_t FairQueue::KeyHash::operator()(const state::TableKey &key) const noexcept
{
    constexpr std::size_t oddMultiplier = 0x9E3779B97F4A7C15ULL;
    return std::hash<state::ClientAccountId>{}(key.account) * oddMultiplier
           + std::hash<state::WorkClass>{}(key.workClass);
}

void FairQueue::setRow(const state::TableRow &row)
{
    const std::uint32_t at = this->flowIndexOf(row.key);
    Flow &flow = this->flows[at];
    if (row.version < flow.row.version)
        return;
    const double service = flow.scaledService * flow.row.weight;
    for (std::size_t each = 0; each < lengthClassCount; ++each)
        this->rowOrderOf(flow, each).erase({flow.scaledService, at});
    if (flow.waiting > 0)
        this->waitingWeight += row.weight - std::uint64_t(flow.row.weight);
    flow.row = row;
    flow.scaledService = service / std::max(row.weight, 1U);
    for (std::size_t each = 0; each < lengthClassCount; ++each) {
        if (!flow.queues[each].empty())
            this->rowOrderOf(flow, each).emplace(flow.scaledService, at);
    }
}

const state::TableRow &FairQueue::row(const state::TableKey &key) const
{
    static const state::TableRow defaults;
    const auto found = this->flowIndexByKey.find(key);
    return found == this->flowIndexByKey.end() ? defaults : this->flows[found->second].row;
}

void FairQueue::push(const QueuedRequest &request, bool front, state::Instant now)
{
    const std::uint32_t at = this->flowIndexOf(request.key);
    Flow &flow = this->flows[at];
    if (flow.waiting == 0) {
        if (const std::optional<double> least = this->leastServiceAnywhere(now))
            this->setScaledService(at,
                                   std::max(flow.scaledService, *least * this->decayScale(now)));
        this->waitingWeight += flow.row.weight;
    }
    auto &queue = flow.queues[std::size_t(request.lengthClass)];
    if (queue.empty())
        this->rowOrderOf(flow, std::size_t(request.lengthClass)).emplace(flow.scaledService, at);
    if (front)
        queue.push_front(request);
    else
        queue.push_back(request);
    ++flow.waiting;
    ++this->waiting;
    flow.tokens += request.tokens;
    this->waitingTokens[std::size_t(request.lengthClass)] += request.tokens;
}

bool FairQueue::remove(const QueuedRequest &request)
{
    const std::uint32_t at = this->flowIndexOf(request.key);
    Flow &flow = this->flows[at];
    auto &queue = flow.queues[std::size_t(request.lengthClass)];
    const auto found = std::ranges::find(queue, request.id, &QueuedRequest::id);
    if (found == queue.end())
        return false;
    queue.erase(found);
    if (queue.empty())
        this->rowOrderOf(flow, std::size_t(request.lengthClass)).erase({flow.scaledService, at});
    --flow.waiting;
    --this->waiting;
    flow.tokens -= request.tokens;
    this->waitingTokens[std::size_t(request.lengthClass)] -= request.tokens;
    if (flow.waiting == 0)
        this->waitingWeight -= flow.row.weight;
    return true;
}

void FairQueue::charge(const state::TableKey &key, double tokens, state::Instant now)
{
    if (secondsBetween(this->epoch, now) > rebaseAfterSeconds)
        this->rebase(now);
    const std::uint32_t at = this->flowIndexOf(key);
    const Flow &flow = this->flows[at];
    const double weight = std::max(flow.row.weight, 1U);
    this->setScaledService(at, flow.scaledService + tokens / weight * this->decayScale(now));
}

std::vector<QueueHead> FairQueue::heads(std::size_t limit, double burstTokens,
                                        state::Instant now) const
{
    std::vector<QueueHead> within;
    std::vector<QueueHead> ahead;
    const double scale = this->decayScale(now);
    const double least = this->leastServiceAnywhere(now).value_or(0);
    for (std::size_t each = 0; each < this->rowOrders.size(); ++each) {
        std::size_t taken = 0;
        for (const auto &[scaled, at] : this->rowOrders[each]) {
            if (taken++ == limit)
                break;
            const Flow &flow = this->flows[at];
            const QueueHead head{flow.queues[each % lengthClassCount].front(), scaled / scale,
                                 flow.row.priority};
            const double lead = (head.service - least) * flow.row.weight;
            (lead > burstTokens ? ahead : within).push_back(head);
        }
    }
    std::ranges::sort(ahead, {}, &QueueHead::service);
    within.insert(within.end(), ahead.begin(), ahead.end());
    return within;
}

double FairQueue::service(const state::TableKey &key, state::Instant now) const
{
    const auto found = this->flowIndexByKey.find(key);
    return found == this->flowIndexByKey.end()
                   ? 0
                   : this->flows[found->second].scaledService / this->decayScale(now);
}

double FairQueue::tokensPerSecond(const state::TableKey &key, state::Instant now) const
{
    return this->service(key, now) * this->row(key).weight / serviceDecaySeconds;
}

std::optional<double> FairQueue::leastService(state::Instant now) const
{
    std::optional<double> least;
    for (const RowOrder &each : this->rowOrders) {
        if (!each.empty() && (!least || each.begin()->first < *least))
            least = each.begin()->first;
    }
    if (least)
        *least /= this->decayScale(now);
    return least;
}

std::optional<double> FairQueue::leastServiceAnywhere(state::Instant now) const
{
    const std::optional<double> own = this->leastService(now);
    if (!own || !this->peersLeastService)
        return own ? own : this->peersLeastService;
    return std::min(*own, *this->peersLeastService);
}

std::uint64_t FairQueue::waitingTokensOf(const state::TableKey &key) const
{
    const auto found = this->flowIndexByKey.find(key);
    return found == this->flowIndexByKey.end() ? 0 : this->flows[found->second].tokens;
}

std::uint64_t FairQueue::waitingTokensUpTo(LengthClass last) const
{
    std::uint64_t sum = 0;
    for (std::size_t each = 0; each <= std::size_t(last); ++each)
        sum += this->waitingTokens[each];
    return sum;
}

std::uint32_t FairQueue::flowIndexOf(const state::TableKey &key)
{
    const auto [place, added] =
            this->flowIndexByKey.try_emplace(key, std::uint32_t(this->flows.size()));
    if (added) {
        this->flows.emplace_back();
        this->flows.back().row.key = key;
    }
    return place->second;
}

FairQueue::RowOrder &FairQueue::rowOrderOf(const Flow &flow, std::size_t lengthClass)
{
    const std::size_t priority = std::min<std::size_t>(flow.row.priority, priorityLevels - 1);
    return this->rowOrders[priority * lengthClassCount + lengthClass];
}

void FairQueue::setScaledService(std::uint32_t at, double value)
{
    Flow &flow = this->flows[at];
    for (std::size_t each = 0; each < lengthClassCount; ++each) {
        if (flow.queues[each].empty())
            continue;
        this->rowOrderOf(flow, each).erase({flow.scaledService, at});
        this->rowOrderOf(flow, each).emplace(value, at);
    }
    flow.scaledService = value;
}

double FairQueue::decayScale(state::Instant now) const
{
    return std::exp(secondsBetween(this->epoch, now) / serviceDecaySeconds);
}

void FairQueue::rebase(state::Instant now)
{
    const double scale = this->decayScale(now);
    for (std::uint32_t at = 0; at < this->flows.size(); ++at)
        this->setScaledService(at, this->flows[at].scaledService / scale);
    this->epoch = now;
}

} // namespace lavenderthread::coordination::admission
