// The transparent relay: forwards a caller's request unchanged to an endpoint of its route's
// service and returns the endpoint's answer unchanged, either complete or visibly truncated.
#pragma once

#include "coordination/admission/RetryBudget.h"
#include "coordination/orders/FeedReceiver.h"
#include "coordination/routing/PathHealth.h"
#include "coordination/routing/PeerOrder.h"
#include "coordination/routing/ReplicaChooser.h"
#include "program/AnswerBuffers.h"
#include "program/EndpointRegistry.h"
#include "program/OpenRequests.h"
#include "program/RelayCodec.h"
#include "program/RelayOutcome.h"
#include "program/RequestGuard.h"
#include "program/Scheduler.h"
#include "program/Settings.h"
#include "protocol/PeerUpdate.h"
#include "protocol/RelayedRequest.h"
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
#include <string_view>

namespace lavenderthread::program {

// For callers of a node that has received no configuration yet.
constexpr std::chrono::milliseconds retryWithoutConfiguration{1'200};

// Another endpoint has the replica's address; `source`: how this became known.
void logReplaced(const state::EndpointDescription &replica, std::string_view source);

// Serves requests on the routes: chooses an endpoint, retries elsewhere where the request allows it
// and the retry budget permits it, and relays the answer.
class RouteRelay
{
public:
    struct Hooks
    {
        RelayCodec codec;
        Scheduler scheduler; // for engines
        std::function<state::SnapshotView<EndpointTable>()> endpoints;
        // This process has just started, and more endpoints become known within milliseconds.
        std::function<bool()> endpointsGrowing = [] { return false; };
        std::function<state::SnapshotView<state::routes::RouteTable>()> routes;
        std::function<coordination::orders::ViewStatus()> standing; // of `routes`
        std::function<bool()> refuses; // true: this node is shutting down, no new work
        // Entry addresses of peers that have paths to the endpoints.
        std::function<coordination::routing::RelayPeers()> peers = [] {
            return coordination::routing::RelayPeers();
        };
        // This node's own paths to the service.
        std::function<coordination::routing::PathState(const state::ServiceName &)> pathState =
                [](const state::ServiceName &) { return coordination::routing::PathState::Usable; };
        std::function<void(const state::EndpointDescription &, coordination::routing::PathOutcome)>
                recordPath = [](const auto &, auto) {};
        // An endpoint has said in an answer that it leaves.
        std::function<void(const state::EndpointDescription &)> endpointLeaves = [](const auto &) {
        };
        // What this entry may send to a cold endpoint; nothing: no limit.
        std::function<std::optional<coordination::routing::ColdShare>(const RegisteredEndpoint &)>
                coldShare = [](const auto &) { return std::nullopt; };
        // An attempt at the endpoint begins.
        std::function<void(const state::EndpointDescription &)> attemptStarted = [](const auto &) {
        };
        std::shared_ptr<RequestGuard> guard;
        std::shared_ptr<OpenRequests> openRequests = OpenRequests::create();
        std::shared_ptr<AnswerBuffers> answerBuffers = std::make_shared<AnswerBuffers>();
        // Sends an update to the peers.
        std::function<void(protocol::PeerUpdate)> share = [](auto) {};
        // The reading of an endpoint's or peer's answer has ended.
        std::function<void(const transport::AnswerReport &)> answerEnded = [](const auto &) {};
        std::function<void(const RelayOutcome &)> finished;
    };

    RouteRelay(const Settings &settings, Hooks hooks, std::uint64_t seed);

    // Answers the exchange. Leaves it unanswered, for the server to close, if the caller has
    // disconnected or the answer broke off.
    boost::asio::awaitable<void> run(transport::HttpExchange &exchange);
    // The same for a request that a peer has handed over as a protocol::RelayedRequest. It makes
    // one attempt that may run the request and is not handed on.
    boost::asio::awaitable<void> runForPeer(transport::HttpExchange &exchange);
    // A probe has reached an endpoint.
    void endpointReached(const state::EndpointDescription &endpoint);
    // What peers tell about endpoints that limit their requests.
    void peerHeardLimit(const protocol::EndpointLimited &limit);
    void peerCalled(const protocol::LimitedCall &call);
    // A peer has found another endpoint at the address of a replica.
    void peerFoundReplaced(const protocol::EndpointReplaced &replaced);

private:
    friend class RelayedCall;

    double drawUniform();
    // An answer of the endpoint names the rate that it accepts, or none.
    void limitNamed(const state::EndpointDescription &endpoint, std::optional<double> perSecond);
    // A refusal of the endpoint asks for rest.
    void restNamed(const state::EndpointDescription &endpoint, state::Duration time);
    // The endpoint has refused a request as full.
    void fullNamed(const state::EndpointDescription &endpoint, state::Duration time);
    bool isResting(const state::EndpointDescription &endpoint);
    // An answer says that the endpoint leaves; passed on once for each start of an endpoint.
    void leavingNamed(const state::EndpointDescription &endpoint);
    std::vector<state::Address> orderedPeers();
    coordination::admission::RetryBudget &retryBudgetOf(const state::ServiceName &service);

    const Settings &settings;
    Hooks hooks;
    std::mutex choiceMutex; // guards the members below; held only for a choice, never across I/O
    std::mt19937_64 random;
    coordination::routing::ReplicaChooser chooser;
    coordination::routing::PeerOrder peerOrder;
    std::map<state::ServiceName, coordination::admission::RetryBudget> budgets;
    std::map<state::EndpointId, std::uint64_t> leaving; // incarnations; those that are still listed
};

} // namespace lavenderthread::program
