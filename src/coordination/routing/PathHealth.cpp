#include "coordination/routing/PathHealth.h"

#include <algorithm>
#include <utility>

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
    this->domains.clear();
    for (const PathCandidate &candidate : listed) {
        if (!candidate.failureDomain.empty())
            this->domains[candidate.service].insert(candidate.failureDomain);
    }
}

PathCounts PathHealth::countsOf(const state::ServiceName *service, state::Instant now) const
{
    PathCounts counts;
    for (const auto &[endpoint, last] : this->outcomes) {
        if (!this->isRecent(last, now) || (service != nullptr && endpoint.service != *service))
            continue;
        ++counts.of(last.outcome);
    }
    return counts;
}

PathState PathHealth::state(const state::ServiceName &service, state::Instant now) const
{
    if (this->outcomes.empty())
        return PathState::Usable;
    if (this->isLostByOutcomes(&service, now))
        return PathState::Lost;
    const PathCounts own = this->countsOf(&service, now);
    if (own.reached > 0)
        return PathState::Usable;
    const PathCounts all = this->countsOf(nullptr, now);
    if (all.reached == 0 && this->isLostByOutcomes(nullptr, now))
        return PathState::Lost;
    return own.unreachable > 0 ? PathState::Doubtful : PathState::Usable;
}

bool PathHealth::isLostByOutcomes(const state::ServiceName *service, state::Instant now) const
{
    const PathCounts counts = this->countsOf(service, now);
    return counts.unreachable >= this->settings.minimumUnreachable
           && counts.unreachable > 2 * counts.reached && !this->isFaultOfOneDomain(service, now);
}

bool PathHealth::isFaultOfOneDomain(const state::ServiceName *service, state::Instant now) const
{
    std::set<state::FailureDomain> listed;
    for (const auto &[name, names] : this->domains) {
        if (service == nullptr || name == *service)
            listed.insert(names.begin(), names.end());
    }
    if (listed.size() < 2)
        return false;
    PathCounts rest;
    std::map<state::FailureDomain, PathCounts> known;
    for (const auto &[endpoint, last] : this->outcomes) {
        if (!this->isRecent(last, now) || (service != nullptr && endpoint.service != *service))
            continue;
        if (!endpoint.failureDomain.empty())
            ++known[endpoint.failureDomain].of(last.outcome);
        ++rest.of(last.outcome);
    }
    const bool isKnownEverywhere = std::ranges::all_of(
            listed, [&](const state::FailureDomain &each) { return known.contains(each); });
    if (!isKnownEverywhere && rest.reached + rest.unreachable < this->settings.conclusiveOutcomes)
        return true;
    if (known.empty())
        return false;
    const auto worst = std::ranges::max_element(
            known, {}, [](const auto &each) { return each.second.unreachable; });
    rest.reached -= worst->second.reached;
    rest.unreachable -= worst->second.unreachable;
    return rest.unreachable <= rest.reached;
}

bool PathHealth::hasOutcome(const PathCandidate &candidate, state::Instant now) const
{
    const auto last = this->outcomes.find(candidate);
    return last != this->outcomes.end() && this->isRecent(last->second, now);
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

bool PathHealth::isInconclusive(const std::vector<PathCandidate> &listed,
                                const std::set<PathCandidate> &running, state::Instant now) const
{
    struct Service
    {
        std::uint32_t known = 0; // with an outcome, or being probed
        std::uint32_t endpoints = 0;
        std::set<state::FailureDomain> domains;      // of its endpoints, if known
        std::set<state::FailureDomain> knownDomains; // of those with an outcome or a probe
    };
    std::map<state::ServiceName, Service> services;
    for (const PathCandidate &candidate : listed) {
        Service &service = services[candidate.service];
        ++service.endpoints;
        const bool isKnown = this->hasOutcome(candidate, now) || running.contains(candidate);
        service.known += isKnown ? 1 : 0;
        if (candidate.failureDomain.empty())
            continue;
        service.domains.insert(candidate.failureDomain);
        if (isKnown)
            service.knownDomains.insert(candidate.failureDomain);
    }
    return std::ranges::any_of(services, [&](const auto &each) {
        const std::uint32_t wanted =
                std::min(this->settings.conclusiveOutcomes, each.second.endpoints);
        const bool isJudged = each.second.known >= wanted
                              && each.second.knownDomains.size() == each.second.domains.size();
        return !isJudged && this->countsOf(&each.first, now).unreachable > 0;
    });
}

std::optional<PathCandidate> PathHealth::nextProbe(const std::vector<PathCandidate> &listed,
                                                   const std::set<PathCandidate> &running,
                                                   state::Instant now)
{
    const auto unknown = this->nextUnknown(listed, running, now);
    return unknown ? unknown : this->oldestUnreachable(listed, running, now);
}

// Drawn at random: after a crash, many nodes probe the same service. Endpoints of a failure domain
// without an outcome tell most: those of the domain in which a connection failed may all have
// ended.
std::optional<PathCandidate> PathHealth::nextUnknown(const std::vector<PathCandidate> &listed,
                                                     const std::set<PathCandidate> &running,
                                                     state::Instant now)
{
    std::map<state::ServiceName, std::size_t> known;
    std::map<std::pair<state::ServiceName, state::FailureDomain>, std::size_t> knownInDomain;
    std::vector<PathCandidate> unknown;
    for (const PathCandidate &candidate : listed) {
        const bool isKnown = running.contains(candidate) || this->hasOutcome(candidate, now);
        known[candidate.service] += isKnown ? 1 : 0;
        knownInDomain[{candidate.service, candidate.failureDomain}] += isKnown ? 1 : 0;
        if (!isKnown)
            unknown.push_back(candidate);
    }
    std::ranges::shuffle(unknown, this->random);
    const auto fewest = std::ranges::min_element(unknown, {}, [&](const PathCandidate &each) {
        return std::pair(known[each.service], knownInDomain[{each.service, each.failureDomain}]);
    });
    return fewest == unknown.end() ? std::nullopt : std::optional(*fewest);
}

std::optional<PathCandidate> PathHealth::oldestUnreachable(const std::vector<PathCandidate> &listed,
                                                           const std::set<PathCandidate> &running,
                                                           state::Instant now) const
{
    std::optional<PathCandidate> oldest;
    state::Instant oldestAt{};
    for (const PathCandidate &candidate : listed) {
        const auto last = this->outcomes.find(candidate);
        if (last == this->outcomes.end() || !this->isRecent(last->second, now)
            || last->second.outcome != PathOutcome::Unreachable || running.contains(candidate))
            continue;
        if (!oldest || last->second.at < oldestAt) {
            oldest = candidate;
            oldestAt = last->second.at;
        }
    }
    return oldest;
}

} // namespace lavenderthread::coordination::routing
