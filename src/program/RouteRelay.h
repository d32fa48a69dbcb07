// The transparent relay: a caller's request goes to an endpoint of its route's service as it came,
// and the endpoint's answer comes back as it was given, whole or visibly cut.
#pragma once

#include "coordination/admission/RetryBudget.h"
#include "coordination/orders/FeedReceiver.h"
#include "coordination/routing/ReplicaChooser.h"
#include "program/EndpointRegistry.h"
#include "program/RelayCodec.h"
#include "program/Scheduler.h"
#include "program/Settings.h"
#include "state/Snapshot.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace lavenderthread::program {

// How a relayed request went, for the log and the counters.
struct RelayOutcome
{
    state::RequestId id;
    std::string route;
    state::ClientAccountId account;
    state::ServiceName service;
    state::EndpointId endpoint;      // of the last attempt
    std::uint64_t configuration = 0; // version that decided
    std::uint32_t promptTokens = 0;
    unsigned status = 0; // 0: the caller was gone
    unsigned attempts = 0;
    state::Address address;              // its address
    std::vector<state::Address> helpers; // of the last attempt
    bool whole = false;
    bool resumed = false;
    std::string reason; // of a failure or refusal
    state::Duration firstAnswer{};
    state::Duration predictedFirst{}; // as the last placement expected it
    state::Duration longestPause{};   // between two writes to the caller, of a stream
    state::Duration total{};
};

class RouteRelay
{
public:
    struct Hooks
    {
        RelayCodec codec;
        Scheduler scheduler; // for engines
        std::function<state::SnapshotView<EndpointTable>()> endpoints;
        std::function<state::SnapshotView<state::routes::RouteTable>()> routes;
        std::function<coordination::orders::ViewStanding()> standing; // of `routes`
        std::function<bool()> refuses; // this node is leaving and takes nothing new
        std::function<void(const RelayOutcome &)> finished;
    };

    RouteRelay(const Settings &settings, Hooks hooks, std::uint64_t seed);

    // Answers the exchange, or leaves it to be closed where the caller is gone or the answer is
    // cut.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange);

    std::size_t inFlight() const { return this->requestsInFlight; }

private:
    friend class RelayedCall;

    double draw();
    coordination::admission::RetryBudget &budgetOf(const state::ServiceName &service);

    const Settings &settings;
    Hooks hooks;
    std::atomic<std::size_t> requestsInFlight = 0;
    std::mutex choosing; // guards what follows; held for a choice, never across I/O
    std::mt19937_64 random;
    coordination::routing::ReplicaChooser chooser;
    std::map<state::ServiceName, coordination::admission::RetryBudget> budgets;
};

} // namespace lavenderthread::program
