// Watches this node's paths to the endpoints: collects the outcomes of its connections, and probes
// the endpoints while a service seems to be out of reach.
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
        // A probe has reached the endpoint.
        std::function<void(const state::EndpointDescription &)> reached;
        std::function<void()> changed; // isCutOff() has another result
    };

    PathMonitor(boost::asio::io_context &context, Hooks hooks);

    // All of these may be called from any thread.
    void record(const state::EndpointDescription &endpoint,
                coordination::routing::PathOutcome outcome);
    // Whether requests for the service should go through a peer.
    bool isLost(const state::ServiceName &service) const;
    // Whether this node reaches no endpoint of any service.
    bool isCutOff() const { return this->cutOff; }

private:
    boost::asio::awaitable<void> probeWhileFailing();
    boost::asio::awaitable<bool> probe(const state::EndpointDescription &endpoint);
    // The endpoints that take new work, sorted.
    std::vector<coordination::routing::PathCandidate> listed() const;
    void update();

    boost::asio::io_context &context;
    Hooks hooks;
    mutable std::mutex mutex; // guards the members below; never held across I/O or a hook
    coordination::routing::PathHealth health;
    std::set<state::ServiceName> lostServices; // as logged
    bool probing = false;
    std::atomic<bool> cutOff = false;
    std::atomic<bool> suspicious = false; // false: no service is lost
};

} // namespace lavenderthread::program
