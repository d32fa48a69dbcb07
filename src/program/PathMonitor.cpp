// Probes are paced while they fail. After one that succeeds the next follows at once, so that a
// node whose links are back serves requests itself again within a round trip for each endpoint.
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
using std::chrono::milliseconds;

namespace {

constexpr milliseconds probePause{250};
constexpr milliseconds probeTimeout{400}; // many round trips within a region

void logPath(LogLevel level, std::string_view event, const state::ServiceName &service,
             const PathCounts &counts)
{
    logEvent(level, event,
             {{"service", service.value()},
              {"unreachable", std::uint64_t(counts.unreachable)},
              {"reached", std::uint64_t(counts.reached)}});
}

} // namespace

PathMonitor::PathMonitor(asio::io_context &context, Hooks hooks)
    : context(context)
    , hooks(std::move(hooks))
{}

void PathMonitor::record(const state::EndpointDescription &endpoint, PathOutcome outcome)
{
    {
        const std::lock_guard lock(this->mutex);
        this->health.record({endpoint.service, endpoint.id}, outcome, monotonicNow());
        if (outcome == PathOutcome::Reached && this->lostServices.empty())
            return;
    }
    this->update();
}

bool PathMonitor::isLost(const state::ServiceName &service) const
{
    if (!this->suspicious)
        return false;
    const std::lock_guard lock(this->mutex);
    return this->health.isLost(service, monotonicNow());
}

std::vector<PathCandidate> PathMonitor::listed() const
{
    std::vector<PathCandidate> candidates;
    const auto table = this->hooks.endpoints();
    for (const auto &[id, endpoint] : table->endpoints) {
        if (!endpoint.draining && !endpoint.stale)
            candidates.push_back({endpoint.description.service, id});
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
    bool startProbing = false;
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
        startProbing = !lost.empty() && !this->probing;
        this->probing = this->probing || startProbing;
        this->suspicious = !lost.empty();
    }
    for (const state::ServiceName &service : lost) {
        if (!before.contains(service))
            logPath(LogLevel::Warning, "path.lost", service, counts[service]);
    }
    for (const state::ServiceName &service : before) {
        if (!lost.contains(service))
            logPath(LogLevel::Info, "path.regained", service, counts[service]);
    }
    if (startProbing)
        asio::co_spawn(
                this->context,
                [self = this->shared_from_this()]() { return self->probeWhileFailing(); },
                asio::detached);
    if (this->cutOff.exchange(cutOffNow) == cutOffNow)
        return;
    logEvent(LogLevel::Warning, cutOffNow ? "path.cut-off" : "path.rejoined", {});
    this->hooks.changed();
}

asio::awaitable<void> PathMonitor::probeWhileFailing()
{
    const auto self = this->shared_from_this();
    while (true) {
        std::optional<PathCandidate> next;
        const std::vector<PathCandidate> candidates = this->listed();
        {
            const std::lock_guard lock(this->mutex);
            const state::Instant now = monotonicNow();
            if (this->health.hasFailures(now))
                next = this->health.nextProbe(candidates, now);
            this->probing = next.has_value();
        }
        if (!next)
            break;
        const auto table = this->hooks.endpoints();
        const auto known = table->endpoints.find(next->endpoint);
        const bool reached =
                known != table->endpoints.end() && co_await this->probe(known->second.description);
        if (!reached)
            co_await transport::pause(probePause);
    }
    this->update();
}

// Any answer shows that the path works both ways; an accepted connection alone does not.
asio::awaitable<bool> PathMonitor::probe(const state::EndpointDescription &endpoint)
{
    auto request = this->hooks.probeRequest(endpoint);
    if (!request)
        co_return false;
    transport::HttpCallLimits limits;
    limits.connectTimeout = probeTimeout;
    limits.timeout = probeTimeout;
    const asio::any_io_executor executor = this->context.get_executor();
    const auto answer =
            co_await transport::httpCall(executor, endpoint.address, std::move(*request), limits);
    if (answer)
        this->hooks.reached(endpoint);
    this->record(endpoint, answer ? PathOutcome::Reached : PathOutcome::Unreachable);
    co_return answer.has_value();
}

} // namespace lavenderthread::program
