// Several probes at once tell within one timeout whether a failed connection was the endpoint's
// fault or this node's. While a service is lost, one prober goes on: paced while its probes fail,
// and without a pause after one that succeeds, so that a node whose links are back serves requests
// itself again within a round trip for each endpoint.
#include "program/PathMonitor.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <map>

namespace lavenderthread::program {

namespace asio = boost::asio;
using coordination::routing::PathCandidate;
using coordination::routing::PathCounts;
using coordination::routing::PathOutcome;
using coordination::routing::PathState;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds probePause{250};
constexpr milliseconds probeTimeout{400}; // many round trips within a region
constexpr std::size_t probersAtOnce = 5;
constexpr std::uint64_t largestProbeAnswer = 64U << 10U;

void logPath(LogLevel level, std::string_view event, const state::ServiceName &service,
             const PathCounts &counts)
{
    logEvent(level, event,
             {{"service", service.value()},
              {"unreachable", std::uint64_t(counts.unreachable)},
              {"reached", std::uint64_t(counts.reached)}});
}

} // namespace

PathMonitor::PathMonitor(asio::io_context &context, Hooks hooks, std::uint64_t seed)
    : context(context)
    , hooks(std::move(hooks))
    , health(seed)
{}

void PathMonitor::record(const state::EndpointDescription &endpoint, PathOutcome outcome)
{
    {
        const std::lock_guard lock(this->mutex);
        this->health.record({endpoint.service, endpoint.id, endpoint.failureDomain}, outcome,
                            monotonicNow());
        this->hasFailures = this->health.hasFailures(monotonicNow());
        if (outcome == PathOutcome::Reached && this->lostServices.empty())
            return;
    }
    this->update();
}

PathState PathMonitor::state(const state::ServiceName &service) const
{
    if (!this->hasFailures)
        return PathState::Usable;
    const std::lock_guard lock(this->mutex);
    return this->health.state(service, monotonicNow());
}

std::vector<PathCandidate> PathMonitor::listed() const
{
    std::vector<PathCandidate> candidates;
    const auto table = this->hooks.endpoints();
    for (const auto &[id, endpoint] : table->endpoints) {
        if (!endpoint.draining && !endpoint.stale)
            candidates.push_back(
                    {endpoint.description.service, id, endpoint.description.failureDomain});
    }
    std::ranges::sort(candidates);
    return candidates;
}

// Determines which services are lost, logs what has changed, and starts to probe.
void PathMonitor::update()
{
    const std::vector<PathCandidate> candidates = this->listed();
    std::set<state::ServiceName> services;
    for (const PathCandidate &candidate : candidates)
        services.insert(candidate.service);
    std::set<state::ServiceName> before;
    std::set<state::ServiceName> lost;
    std::map<state::ServiceName, PathCounts> counts;
    std::size_t newProbers = 0;
    bool cutOffNow = false;
    {
        const std::lock_guard lock(this->mutex);
        const state::Instant now = monotonicNow();
        this->health.prune(candidates, now);
        for (const state::ServiceName &service : services) {
            if (this->health.isLost(service, now))
                lost.insert(service);
            counts[service] = this->health.counts(service, now);
        }
        cutOffNow = this->health.isCutOff({services.begin(), services.end()}, now);
        before = std::exchange(this->lostServices, lost);
        this->findsWayBack = this->findsWayBack || !lost.empty();
        if (this->probers == 0
            && (!lost.empty() || this->health.isInconclusive(candidates, this->running, now)))
            newProbers = this->probers = probersAtOnce;
    }
    for (const state::ServiceName &service : lost) {
        if (!before.contains(service))
            logPath(LogLevel::Warning, "path.lost", service, counts[service]);
    }
    for (const state::ServiceName &service : before) {
        if (!lost.contains(service))
            logPath(LogLevel::Info, "path.regained", service, counts[service]);
    }
    for (std::size_t started = 0; started < newProbers; ++started)
        asio::co_spawn(
                this->context, [self = this->shared_from_this()]() { return self->runProber(); },
                asio::detached);
    if (this->cutOff.exchange(cutOffNow) == cutOffNow)
        return;
    logEvent(LogLevel::Warning, cutOffNow ? "path.cut-off" : "path.rejoined", {});
    this->hooks.changed();
}

std::optional<PathCandidate> PathMonitor::takeProbe()
{
    const std::vector<PathCandidate> candidates = this->listed();
    const std::lock_guard lock(this->mutex);
    const state::Instant now = monotonicNow();
    const bool isLast = this->probers == 1;
    const bool isNeeded = this->health.isInconclusive(candidates, this->running, now)
                          || (isLast && this->findsWayBack && this->health.hasFailures(now));
    std::optional<PathCandidate> next;
    if (isNeeded)
        next = this->health.nextProbe(candidates, this->running, now);
    if (next) {
        this->running.insert(*next);
        return next;
    }
    --this->probers;
    this->findsWayBack = this->findsWayBack && !isLast;
    return std::nullopt;
}

asio::awaitable<void> PathMonitor::runProber()
{
    const auto self = this->shared_from_this();
    while (true) {
        const std::optional<PathCandidate> next = this->takeProbe();
        if (!next)
            break;
        const bool reached = co_await this->probe(*next);
        bool isLast = false;
        {
            const std::lock_guard lock(this->mutex);
            this->running.erase(*next);
            isLast = this->probers == 1;
        }
        if (!reached && isLast)
            co_await transport::pause(probePause);
    }
    this->update();
}

// Any answer shows that the path works both ways; an accepted connection alone does not.
asio::awaitable<bool> PathMonitor::probe(const PathCandidate &candidate)
{
    const auto table = this->hooks.endpoints();
    const auto known = table->endpoints.find(candidate.endpoint);
    std::optional<protocol::HttpRequest> request;
    if (known != table->endpoints.end())
        request = this->hooks.probeRequest(known->second.description);
    if (!request) {
        co_await transport::pause(probePause);
        co_return false;
    }
    const state::EndpointDescription &endpoint = known->second.description;
    transport::HttpCallLimits limits;
    limits.connectTimeout = probeTimeout;
    limits.timeout = probeTimeout;
    limits.bodyBytes = largestProbeAnswer;
    const asio::any_io_executor executor = this->context.get_executor();
    const auto answer =
            co_await transport::httpCall(executor, endpoint.address, std::move(*request), limits);
    if (answer)
        this->hooks.reached(endpoint, answer.value().headers);
    this->record(endpoint, answer ? PathOutcome::Reached : PathOutcome::Unreachable);
    co_return answer.has_value();
}

} // namespace lavenderthread::program
