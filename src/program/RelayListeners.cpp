#include "program/RelayListeners.h"

#include "program/Clock.h"
#include "program/Log.h"
#include "program/ResourceLimits.h"

#include <xxhash.h>

#include <utility>

namespace lavenderthread::program {

namespace asio = boost::asio;
using state::control::ConfigurationDocument;
using std::chrono::milliseconds;

namespace {

// Operators wait about a second for an answer, or longer for a large document, before they repeat
// the request at another node. A later answer is not read by anyone.
constexpr milliseconds commitTime{2'500};
constexpr milliseconds newestTime{900};
// Each request needs another descriptor for its endpoint, and some are reserved for the peers.
constexpr std::uint32_t callerConnections = 1'200;
constexpr std::uint32_t auxiliaryConnections = 400;
constexpr std::uint64_t operatorBodyBytes = 4U << 20U;
// Callers may reuse a connection until the configured idle timeout. Closing it at that same moment
// would lose a request.
constexpr milliseconds idleMargin{3'000};
constexpr milliseconds requestMargin{2'000};
constexpr unsigned statusUnavailable = 503;

transport::HttpLimits limitsOf(const state::routes::CallerLimits &wanted)
{
    transport::HttpLimits limits;
    limits.headerBytes = wanted.headerBytes;
    limits.bodyBytes = wanted.bodyBytes;
    limits.requestTimeout = wanted.requestTimeout + requestMargin;
    limits.idleTimeout = wanted.idleTimeout + idleMargin;
    limits.connections = callerConnections;
    return limits;
}

transport::HttpLimits auxiliaryLimits(std::uint64_t bodyBytes)
{
    transport::HttpLimits limits;
    limits.bodyBytes = bodyBytes;
    limits.connections = auxiliaryConnections;
    return limits;
}

std::map<state::ServiceName, state::routes::EngineProfile>
profilesOf(const state::routes::RouteTable &table)
{
    std::map<state::ServiceName, state::routes::EngineProfile> profiles;
    for (const state::routes::ServiceProfile &service : table.services()) {
        if (service.engine)
            profiles.emplace(service.name, *service.engine);
    }
    return profiles;
}

// Differs between nodes and between starts.
std::uint64_t seedOf(const state::VmId &vm)
{
    return XXH3_64bits(vm.value().data(), vm.value().size())
           ^ static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
}

} // namespace

RelayListeners::RelayListeners(const Settings &settings, asio::io_context &context,
                               Hooks chosenHooks)
    : settings(settings)
    , hooks(std::move(chosenHooks))
    , paths(std::make_shared<PathMonitor>(context, this->pathHooks(), seedOf(settings.vm)))
    , relay(settings, this->relayHooks(), seedOf(settings.vm))
    , operatorApi(this->makeOperatorApi())
{}

RouteRelay::Hooks RelayListeners::relayHooks()
{
    RouteRelay::Hooks relayHooks;
    relayHooks.codec = this->hooks.deployment.relay;
    relayHooks.scheduler = this->hooks.scheduler;
    relayHooks.endpoints = this->hooks.endpoints;
    relayHooks.endpointsGrowing = this->hooks.endpointsGrowing;
    relayHooks.routes = [this] { return this->routes.read(); };
    relayHooks.standing = [this] { return this->hooks.client->standing(); };
    relayHooks.refuses = [this] { return this->refusing.load(); };
    relayHooks.peers = [this] { return this->hooks.cluster->relayPeers(); };
    relayHooks.pathState = [this](const state::ServiceName &service) {
        return this->paths->state(service);
    };
    relayHooks.recordPath = [this](const state::EndpointDescription &endpoint,
                                   coordination::routing::PathOutcome outcome) {
        this->paths->record(endpoint, outcome);
    };
    relayHooks.share = [this](protocol::PeerUpdate update) {
        this->hooks.cluster->share(std::move(update));
    };
    relayHooks.endpointLeaves = [this](const state::EndpointDescription &endpoint) {
        this->hooks.cluster->endpointLeaves(endpoint);
    };
    relayHooks.coldShare = this->hooks.coldShare;
    relayHooks.attemptStarted = this->hooks.attemptStarted;
    relayHooks.guard = this->hooks.guard;
    relayHooks.openRequests = this->hooks.openRequests;
    relayHooks.answerBuffers = this->hooks.answerBuffers;
    relayHooks.answerEnded = this->hooks.answerEnded;
    relayHooks.finished = this->hooks.finished;
    return relayHooks;
}

PathMonitor::Hooks RelayListeners::pathHooks()
{
    PathMonitor::Hooks pathHooks;
    pathHooks.endpoints = this->hooks.endpoints;
    pathHooks.probeRequest = [this](const state::EndpointDescription &endpoint)
            -> std::optional<protocol::HttpRequest> {
        const auto table = this->routes.read();
        const state::routes::ServiceProfile *service = table->service(endpoint.service);
        if (service == nullptr)
            return std::nullopt;
        return this->hooks.deployment.relay.probe(*service);
    };
    pathHooks.reached = [this](const state::EndpointDescription &endpoint,
                               const protocol::HttpHeaders &headers) {
        this->hooks.scheduler.noteHealth(endpoint,
                                         coordination::routing::AttemptOutcome::Reachable);
        this->relay.endpointReached(endpoint);
        const ProbeAnswer answer = this->hooks.deployment.relay.readProbe(headers);
        if (answer.coldLeftIgnored)
            logEvent(LogLevel::Warning, "endpoint.cold-ignored",
                     {{"endpoint", endpoint.id.value()},
                      {"cause", "the answer to a probe names no time of up to an hour"}});
        if (answer.coldLeft)
            this->hooks.endpointCold(endpoint, *answer.coldLeft);
    };
    pathHooks.changed = this->hooks.pathsChanged;
    return pathHooks;
}

state::Result<std::shared_ptr<RelayListeners>>
RelayListeners::create(const Settings &settings, asio::io_context &context, Hooks hooks)
{
    std::shared_ptr<RelayListeners> front(new RelayListeners(settings, context, std::move(hooks)));
    BOOST_OUTCOME_TRYV(front->listen(context));
    return front;
}

state::Result<void> RelayListeners::listen(asio::io_context &context)
{
    using Server = std::shared_ptr<transport::HttpServer>;
    const auto open = [&](const std::optional<state::Address> &address,
                          const transport::HttpLimits &limits, transport::HttpHandler handler,
                          Server &server) -> state::Result<void> {
        if (!address)
            return state::outcome::success();
        transport::HttpServer::Hooks serverHooks;
        serverHooks.handle = std::move(handler);
        const bool forCallers = &server == &this->relayServer;
        serverHooks.reject = [this, forCallers](unsigned status, std::string_view cause) {
            RelayRefusal refusal{status, std::string(cause), std::nullopt};
            // The request may be within the limits of the configuration.
            if (forCallers && !this->hasConfiguration())
                refusal = {statusUnavailable, refusal.detail, retryWithoutConfiguration};
            else if (status == statusUnavailable)
                refusal.retryAfter = retryWithoutRoom;
            return this->hooks.deployment.relay.refuse(refusal);
        };
        serverHooks.pool = this->hooks.pool;
        serverHooks.countsAnswers = !forCallers; // AnswerBuffers counts those of endpoints
        BOOST_OUTCOME_TRY(server, transport::HttpServer::create(context, *address, limits,
                                                                std::move(serverHooks)));
        return state::outcome::success();
    };
    const RelaySettings &where = this->settings.relay;
    BOOST_OUTCOME_TRYV(open(
            where.listen, limitsOf({}),
            [this](transport::HttpExchange &exchange) { return this->relay.run(exchange); },
            this->relayServer));
    BOOST_OUTCOME_TRYV(open(
            where.readyListen, auxiliaryLimits(questionBodyBytes),
            [this](transport::HttpExchange &exchange) {
                const bool ready =
                        !this->leaving && this->hasConfiguration() && this->hooks.ready();
                return this->hooks.deployment.answerReadiness(exchange, ready);
            },
            this->readyServer));
    const DirectoryApi directory{[this](const state::FailureDomain &callers) {
                                     return this->hooks.cluster->relays(callers);
                                 },
                                 where.directoryTtl};
    BOOST_OUTCOME_TRYV(open(
            where.directoryListen, auxiliaryLimits(questionBodyBytes),
            [this, directory](transport::HttpExchange &exchange) {
                return this->hooks.deployment.answerDirectory(exchange, directory);
            },
            this->directoryServer));
    return open(
            where.operatorListen, auxiliaryLimits(operatorBodyBytes),
            [this](transport::HttpExchange &exchange) { return this->answerOperator(exchange); },
            this->operatorServer);
}

// A call that is taken while the process ends might get no answer; another node takes it.
asio::awaitable<void> RelayListeners::answerOperator(transport::HttpExchange &exchange)
{
    if (!this->refusing) {
        co_await this->hooks.deployment.answerOperator(exchange, this->operatorApi);
        co_return;
    }
    protocol::HttpResponse refusal =
            this->hooks.deployment.relay.refuse({503, "this node is leaving", std::nullopt});
    co_await exchange.respond(std::move(refusal));
}

OperatorApi RelayListeners::makeOperatorApi()
{
    OperatorApi face;
    face.replaceConfiguration = [this](ConfigurationDocument document) {
        return this->replaceConfiguration(std::move(document));
    };
    face.setEvacuation = [this](state::FailureDomain failureDomain, bool evacuated,
                                std::string requestedBy) {
        return this->setEvacuation(std::move(failureDomain), evacuated, std::move(requestedBy));
    };
    face.newestConfiguration = [this]() -> asio::awaitable<state::Result<ConfigurationDocument>> {
        return this->hooks.client->configuration(monotonicNow() + newestTime);
    };
    face.announce = [this](state::EndpointDescription endpoint,
                           std::optional<state::Duration> coldLeft)
            -> asio::awaitable<state::Result<void>> {
        const auto answer = co_await this->hooks.cluster->announce(std::move(endpoint), coldLeft);
        if (!answer)
            co_return answer.error();
        co_return state::outcome::success();
    };
    face.drain = [this](state::EndpointDescription endpoint) {
        logEvent(LogLevel::Info, "endpoint.leaves",
                 {{"endpoint", endpoint.id.value()},
                  {"address", endpoint.address.toString()},
                  {"incarnation", endpoint.incarnation},
                  {"source", "announcement"}});
        return this->hooks.cluster->drain(std::move(endpoint));
    };
    face.leave = [this](state::EndpointId endpoint, std::optional<std::uint64_t> incarnation) {
        logEvent(LogLevel::Info, "endpoint.left",
                 {{"endpoint", endpoint.value()}, {"incarnation", incarnation.value_or(0)}});
        return this->hooks.cluster->withdraw(std::move(endpoint), incarnation);
    };
    return face;
}

asio::awaitable<state::Result<std::uint64_t>>
RelayListeners::replaceConfiguration(ConfigurationDocument document)
{
    const state::Instant began = monotonicNow();
    const std::uint64_t version = document.version;
    const std::uint64_t bytes = document.text.size();
    state::control::ReplaceConfiguration replace{std::move(document)};
    state::control::Command command = std::move(replace);
    const auto committed =
            co_await this->hooks.client->propose(std::move(command), began + commitTime);
    const auto *accepted =
            committed ? std::get_if<state::control::Accepted>(&committed.value().answer) : nullptr;
    const std::int64_t took = (monotonicNow() - began).count();
    logEvent(accepted != nullptr ? LogLevel::Info : LogLevel::Warning, "configuration.proposed",
             {{"version", version},
              {"bytes", bytes},
              {"outcome", accepted == nullptr            ? "unknown"
                          : accepted->version == version ? "in-force"
                                                         : "overtaken"},
              {"in_force", accepted != nullptr ? accepted->version : 0},
              {"took_us", took}});
    if (!committed)
        co_return committed.error();
    if (accepted == nullptr)
        co_return state::makeError(state::ErrorCode::Internal, "configuration.replace",
                                   "the command was answered by something else");
    co_return accepted->version;
}

// Proposed once, with the state that this node knew when the call came: a node that was cut off
// must not bring back an older state when its order arrives late.
asio::awaitable<state::Result<void>>
RelayListeners::setEvacuation(state::FailureDomain failureDomain, bool evacuated,
                              std::string requestedBy)
{
    constexpr const char *step = "evacuation.set";
    const std::optional<bool> known = this->hooks.cluster->knowsFailureDomain(failureDomain);
    const auto view = this->hooks.client->view();
    const state::control::EvacuationMark *mark = view->evacuations.find(failureDomain);
    if (mark == nullptr && known != std::optional(true))
        co_return state::makeError(
                known ? state::ErrorCode::NotFound : state::ErrorCode::Unavailable, step,
                "no member or endpoint has been seen in this domain", failureDomain.value());
    state::control::SetEvacuation order;
    order.failureDomain = failureDomain;
    order.evacuated = evacuated;
    order.expectedVersion = mark == nullptr ? 0 : mark->version;
    order.requestedBy = std::move(requestedBy);
    const state::Instant began = monotonicNow();
    state::control::Command command = std::move(order);
    const auto committed =
            co_await this->hooks.client->propose(std::move(command), began + commitTime);
    const auto *accepted =
            committed ? std::get_if<state::control::Accepted>(&committed.value().answer) : nullptr;
    const auto *refused =
            committed ? std::get_if<state::control::Refused>(&committed.value().answer) : nullptr;
    logEvent(accepted != nullptr ? LogLevel::Info : LogLevel::Warning, "evacuation.proposed",
             {{"failure_domain", failureDomain.value()},
              {"evacuated", evacuated ? "yes" : "no"},
              {"outcome", accepted != nullptr  ? "accepted"
                          : refused != nullptr ? "overtaken"
                                               : "unknown"},
              {"version", accepted != nullptr ? accepted->version : 0},
              {"took_us", std::int64_t((monotonicNow() - began).count())}});
    if (!committed)
        co_return committed.error();
    if (refused != nullptr)
        co_return refused->error;
    if (accepted == nullptr)
        co_return state::makeError(state::ErrorCode::Internal, step,
                                   "the command was answered by something else");
    co_return state::outcome::success();
}

void RelayListeners::start()
{
    for (const auto &server :
         {this->relayServer, this->readyServer, this->directoryServer, this->operatorServer}) {
        if (server)
            server->start();
    }
}

void RelayListeners::viewChanged(const state::control::ControlView &view)
{
    if (!this->relayServer) { // a control VM has no processor time for documents of 100 KB
        this->configured = this->configured || view.configuration.version > 0;
        return;
    }
    if (view.configuration.version <= this->routes.read()->version())
        return;
    const auto table = this->hooks.deployment.decodeConfiguration(view.configuration.text);
    if (!table) {
        // Another node that runs the same program checked it before it was accepted.
        logError("configuration.unreadable", table.error());
        return;
    }
    this->routes.publish(table.value());
    this->relayServer->setLimits(limitsOf(table.value().limits()));
    this->configured = true;
    this->hooks.servicesChanged(table.value().services());
    this->hooks.profilesChanged(profilesOf(table.value()));
    logEvent(LogLevel::Info, "configuration.in-force",
             {{"version", view.configuration.version},
              {"view", view.version},
              {"routes", std::uint64_t(table.value().routes().size())}});
}

void RelayListeners::beginLeaving()
{
    this->leaving = true;
    if (this->relayServer)
        this->relayServer->closeAfterAnswers();
}

std::size_t RelayListeners::openExchanges() const
{
    std::size_t open = 0;
    for (const auto &server : {this->relayServer, this->operatorServer})
        open += server ? server->openExchanges() : 0;
    return open;
}

void RelayListeners::stopAccepting()
{
    for (const auto &server :
         {this->relayServer, this->readyServer, this->directoryServer, this->operatorServer}) {
        if (server)
            server->stopAccepting();
    }
}

} // namespace lavenderthread::program
