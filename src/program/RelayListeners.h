// This node's listeners for the deployment's protocol: relayed requests, readiness, the directory,
// and the operator interface, which endpoints use too. A listener is opened only if the settings
// give its address.
#pragma once

#include "program/Cluster.h"
#include "program/ControlClient.h"
#include "program/PathMonitor.h"
#include "program/RelayCodec.h"
#include "program/RequestGuard.h"
#include "program/RouteRelay.h"
#include "program/Settings.h"
#include "state/Snapshot.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace lavenderthread::program {

// Owns the listeners and the route table in force, and takes them out of service step by step.
class RelayListeners
{
public:
    struct Hooks
    {
        Deployment deployment;
        Scheduler scheduler;
        std::function<state::SnapshotView<EndpointTable>()> endpoints;
        std::function<bool()> endpointsGrowing = [] { return false; }; // as in RouteRelay::Hooks
        // An endpoint has said that it stays cold for so long.
        std::function<void(const state::EndpointDescription &, state::Duration)> endpointCold =
                [](const auto &, auto) {};
        std::shared_ptr<Cluster> cluster;
        std::shared_ptr<ControlClient> client;
        std::shared_ptr<RequestGuard> guard;
        std::shared_ptr<OpenRequests> openRequests;
        std::shared_ptr<AnswerBuffers> answerBuffers;    // of the process
        std::shared_ptr<transport::ConnectionPool> pool; // likewise
        std::function<bool()> ready; // whether the rest of the process can serve
        // Called with the services' engine profiles whenever a configuration comes into force.
        std::function<void(std::map<state::ServiceName, state::routes::EngineProfile>)>
                profilesChanged;
        // Called with the services whenever a configuration comes into force.
        std::function<void(const std::vector<state::routes::ServiceProfile> &)> servicesChanged;
        std::function<std::optional<coordination::routing::ColdShare>(const RegisteredEndpoint &)>
                coldShare;
        std::function<void(const state::EndpointDescription &)> attemptStarted;
        std::function<void()> pathsChanged; // isCutOff() has another result
        std::function<void(const transport::AnswerReport &)> answerEnded;
        std::function<void(const RelayOutcome &)> finished;
    };

    // Error: Unavailable, step "listener.bind".
    static state::Result<std::shared_ptr<RelayListeners>>
    create(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    void start();
    // Applies a newer view of the control state.
    void viewChanged(const state::control::ControlView &view);
    bool hasConfiguration() const { return this->configured; }
    // Whether this node reaches no endpoint. It then serves requests through its peers.
    bool isCutOff() const { return this->paths->isCutOff(); }
    // Answers a request that a peer without paths to the service has handed over.
    boost::asio::awaitable<void> runForPeer(transport::HttpExchange &exchange)
    {
        return this->relay.runForPeer(exchange);
    }

    // What peers tell about endpoints that limit their requests.
    void peerHeardLimit(const protocol::EndpointLimited &limit)
    {
        this->relay.peerHeardLimit(limit);
    }
    void peerFoundReplaced(const protocol::EndpointReplaced &replaced)
    {
        this->relay.peerFoundReplaced(replaced);
    }
    void peerCalled(const protocol::LimitedCall &call) { this->relay.peerCalled(call); }

    // Shutdown in three steps: close each connection after its next answer and report not ready,
    // refuse new requests, and stop accepting connections.
    void beginLeaving();
    void refuseNew() { this->refusing = true; }
    void stopAccepting();
    // Requests that are being read or answered, operators' included.
    std::size_t openExchanges() const;

private:
    RelayListeners(const Settings &settings, boost::asio::io_context &context, Hooks hooks);

    RouteRelay::Hooks relayHooks();
    PathMonitor::Hooks pathHooks();
    state::Result<void> listen(boost::asio::io_context &context);
    boost::asio::awaitable<void> answerOperator(transport::HttpExchange &exchange);
    OperatorApi makeOperatorApi();
    boost::asio::awaitable<state::Result<std::uint64_t>>
    replaceConfiguration(state::control::ConfigurationDocument document);
    boost::asio::awaitable<state::Result<void>>
    setEvacuation(state::FailureDomain failureDomain, bool evacuated, std::string requestedBy);

    const Settings &settings;
    Hooks hooks;
    state::Snapshot<state::routes::RouteTable> routes; // versions only increase
    std::atomic<bool> configured = false;
    std::atomic<bool> leaving = false;
    std::atomic<bool> refusing = false;
    std::shared_ptr<PathMonitor> paths; // before `relay`, whose hooks use it
    RouteRelay relay;
    OperatorApi operatorApi;
    std::shared_ptr<transport::HttpServer> relayServer;
    std::shared_ptr<transport::HttpServer> readyServer;
    std::shared_ptr<transport::HttpServer> directoryServer;
    std::shared_ptr<transport::HttpServer> operatorServer;
};

} // namespace lavenderthread::program
