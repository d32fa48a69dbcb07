// Watches this node's paths to the endpoints: collects the outcomes of its connections, and probes
// the endpoints after one has failed and while a service is out of reach.
#pragma once

#include "coordination/routing/PathHealth.h"
#include "program/EndpointRegistry.h"
#include "protocol/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace lavenderthread::program {

class PathMonitor : public std::enable_shared_from_this<PathMonitor>
{
public:
    struct Hooks
    {
        std::function<state::SnapshotView<EndpointTable>()> endpoints;
        // A request that the endpoint answers at once, also under load; nothing if none is known.
        std::function<std::optional<protocol::HttpRequest>(const state::EndpointDescription &)>
                probeRequest;
        // A probe has reached the endpoint, which answered with these headers.
        std::function<void(const state::EndpointDescription &, const protocol::HttpHeaders &)>
                reached;
        std::function<void()> changed; // isCutOff() has another result
    };

    PathMonitor(boost::asio::io_context &context, Hooks hooks, std::uint64_t seed);

    // All of these may be called from any thread.
    void record(const state::EndpointDescription &endpoint,
                coordination::routing::PathOutcome outcome);
    coordination::routing::PathState state(const state::ServiceName &service) const;
    // Whether this node reaches no endpoint of any service.
    bool isCutOff() const { return this->cutOff; }

private:
    // One of several that probe at the same time.
    boost::asio::awaitable<void> runProber();
    boost::asio::awaitable<bool> probe(const coordination::routing::PathCandidate &candidate);
    // The endpoint that a prober takes next; nothing if the prober is not needed any more.
    std::optional<coordination::routing::PathCandidate> takeProbe();
    // The endpoints that take new work, sorted.
    std::vector<coordination::routing::PathCandidate> listed() const;
    void update();

    boost::asio::io_context &context;
    Hooks hooks;
    mutable std::mutex mutex; // guards the members below; never held across I/O or a hook
    coordination::routing::PathHealth health;
    std::set<state::ServiceName> lostServices;              // as logged
    std::set<coordination::routing::PathCandidate> running; // probes
    std::size_t probers = 0;
    bool findsWayBack = false; // a service was lost since the probers began
    std::atomic<bool> cutOff = false;
    std::atomic<bool> hasFailures = false; // false: no endpoint is unreachable
};

} // namespace lavenderthread::program
