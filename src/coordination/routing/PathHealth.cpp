#include "coordination/routing/PathHealth.h"

#include <algorithm>

namespace lavenderthread::coordination::routing {

void PathHealth::record(const PathCandidate &endpoint, PathOutcome outcome, state::Instant now)
{
    if (outcome == PathOutcome::Reached && this->outcomes.empty())
        return;
    this->outcomes[endpoint] = {outcome, now};
    if (!this->hasFailures(now))
        this->outcomes.clear();
}

void PathHealth::prune(const std::vector<PathCandidate> &listed, state::Instant now)
{
    std::erase_if(this->outcomes, [&](const auto &each) {
        return !this->isRecent(each.second, now) || !std::ranges::binary_search(listed, each.first);
    });
    if (!this->hasFailures(now))
        this->outcomes.clear();
}

PathCounts PathHealth::countsOf(const state::ServiceName *service, state::Instant now) const
{
    PathCounts counts;
    for (const auto &[endpoint, last] : this->outcomes) {
        if (!this->isRecent(last, now) || (service != nullptr && endpoint.service != *service))
            continue;
        if (last.outcome == PathOutcome::Reached)
            ++counts.reached;
        else
            ++counts.unreachable;
    }
    return counts;
}

bool PathHealth::isLost(const state::ServiceName &service, state::Instant now) const
{
    if (this->outcomes.empty())
        return false;
    const PathCounts own = this->countsOf(&service, now);
    if (this->isLost(own))
        return true;
    const PathCounts all = this->countsOf(nullptr, now);
    return own.reached == 0 && all.reached == 0 && this->isLost(all);
}

bool PathHealth::hasFailures(state::Instant now) const
{
    return std::ranges::any_of(this->outcomes, [&](const auto &each) {
        return each.second.outcome == PathOutcome::Unreachable && this->isRecent(each.second, now);
    });
}

bool PathHealth::isCutOff(const std::vector<state::ServiceName> &services, state::Instant now) const
{
    return !services.empty() && std::ranges::all_of(services, [&](const state::ServiceName &each) {
        return this->countsOf(&each, now).unreachable > 0 && this->isLost(each, now);
    });
}

std::optional<PathCandidate> PathHealth::nextProbe(const std::vector<PathCandidate> &listed,
                                                   state::Instant now) const
{
    std::optional<PathCandidate> oldest;
    state::Instant oldestAt{};
    for (const PathCandidate &candidate : listed) {
        const auto last = this->outcomes.find(candidate);
        if (last == this->outcomes.end() || !this->isRecent(last->second, now))
            return candidate;
        const bool unreachable = last->second.outcome == PathOutcome::Unreachable;
        if (unreachable && (!oldest || last->second.at < oldestAt)) {
            oldest = candidate;
            oldestAt = last->second.at;
        }
    }
    return oldest;
}

} // namespace lavenderthread::coordination::routing
