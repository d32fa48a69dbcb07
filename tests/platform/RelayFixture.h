// A relay over loopback with fake endpoints that fail at each step at which an endpoint may fail,
// and with peers to which it may hand requests.
#pragma once

#include "platform/RelayWire.h"

#include "fakes/LoopbackServer.h"
#include "program/Clock.h"
#include "program/PathMonitor.h"
#include "program/RouteRelay.h"
#include "program/RunToEnd.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <set>
#include <thread>

namespace lavenderthread::platform {

namespace asio = boost::asio;
using coordination::routing::PathState;
using program::EndpointTable;
using program::RouteRelay;

// How a fake endpoint handles a request.
enum class Behaviour {
    Answers,
    Fails,               // with its own status 500
    Rejects,             // with its own status 400
    Refuses,             // 503, request not run
    IsOtherEndpoint,     // 421: another endpoint has the address
    Closes,              // the connection, without an answer
    Ends,                // the same, and takes no more connections
    CutsBody,            // in the middle of the body
    AnswersOtherRequest, // sends the answer of another request
    Unsealed,
    Leaves,      // answers, and says that it leaves
    AsksForRest, // refuses, and wants nothing for half a second
    NamesLimit,  // answers, and accepts one request in two seconds from now on
    CutsInsideAnEvent,
    PausesLong, // after the second event, then continues
    Streams,
    NeverAnswers,
};

inline const state::ServiceName service("app");
constexpr std::uint16_t closedPort = 1;
// Exceeds the 0.9 s after which the relay prefers to resume at another endpoint.
constexpr std::chrono::milliseconds longPause{1'400};

inline protocol::HttpResponse sealedAnswer(const protocol::HttpRequest &request, unsigned status)
{
    protocol::HttpResponse answer;
    answer.status = status;
    answer.headers = {{"Request-Id", std::string(request.headers.find("Request-Id").value_or(""))},
                      {"Response-Seal", "seal"}};
    answer.body = "the endpoint's bytes";
    return answer;
}

// How a peer handles a request that is handed to it.
enum class PeerBehaviour {
    Serves,
    IsLeaving,     // refuses it
    HasNoPath,     // refuses it
    IsUnreachable, // takes no connection
    LosesPath,     // notices with the request, at its first connection
    Dies,          // with the request
    DiesInStream,  // after it has passed on some events
};

// Runs endpoints, peers, a relay and one caller as listeners and connections of one thread.
class RelayFixture
{
public:
    RelayFixture(state::routes::CallKind kind, std::vector<Behaviour> behaviours,
                 bool engines = false, std::vector<PeerBehaviour> peerBehaviours = {},
                 program::AnswerBuffers::Settings buffers = {})
        : behaviours(std::move(behaviours))
        , answerBuffers(std::make_shared<program::AnswerBuffers>(buffers))
    {
        this->settings.keys.keys = {"key"};
        this->publishRoutes(kind, engines);
        for (std::size_t index = 0; index < this->behaviours.size(); ++index) {
            this->servers.push_back(fakes::serveOnLoopback(
                    this->context, [this](transport::HttpExchange &exchange) {
                        return this->serveEndpoint(exchange);
                    }));
            state::EndpointDescription endpoint;
            endpoint.id = state::EndpointId("i-" + std::to_string(index));
            endpoint.service = service;
            endpoint.incarnation = 1;
            endpoint.address = this->servers.back()->address();
            this->announced.endpoints[endpoint.id] = {endpoint, false, false};
        }
        this->publishEndpoints();
        for (const PeerBehaviour behaviour : peerBehaviours)
            this->addPeer(behaviour);
        this->relay =
                std::make_unique<RouteRelay>(this->settings, this->hooksWithPeers(), nextSeed++);
        this->front =
                fakes::serveOnLoopback(this->context, [this](transport::HttpExchange &exchange) {
                    return this->relay->run(exchange);
                });
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~RelayFixture()
    {
        this->context.stop();
        this->thread.join();
    }
    RelayFixture(const RelayFixture &) = delete;
    RelayFixture &operator=(const RelayFixture &) = delete;

    state::Result<protocol::HttpResponse> call(protocol::HttpRequest wanted = request())
    {
        return this->callAt(this->front->address(), std::move(wanted));
    }

    // Hands these bytes to the first peer.
    state::Result<protocol::HttpResponse> callPeer(std::string body)
    {
        protocol::HttpRequest wanted;
        wanted.method = "POST";
        wanted.target = std::string(protocol::peerRelayPath);
        wanted.body = std::move(body);
        return this->callAt(this->peerAddresses.front(), std::move(wanted));
    }

    static state::Result<protocol::HttpResponse> callAt(const state::Address &address,
                                                        protocol::HttpRequest wanted)
    {
        auto run = [](state::Address peer, protocol::HttpRequest request)
                -> asio::awaitable<state::Result<protocol::HttpResponse>> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            co_return co_await transport::httpCall(executor, peer, std::move(request), {});
        };
        return program::runToEnd(run(address, std::move(wanted)));
    }

    struct RouteTerms
    {
        bool resumable = true;
        unsigned attempts = 2;
    };

    // `patient`: no attempt is given up for silence before the route's time is over.
    void publishRoutes(state::routes::CallKind kind, bool engines, bool patient = false,
                       RouteTerms terms = {true, 2})
    {
        state::routes::RouteTableDraft draft;
        draft.version = 1;
        draft.services = {{service, "/health", 10, {}}};
        if (engines)
            draft.services.front().engine = state::routes::EngineProfile{.slots = 1};
        state::routes::Route route;
        route.name = "route";
        route.host = "h";
        route.pathPrefix = "/p/";
        route.kind = kind;
        route.resumable = terms.resumable;
        const bool streams = kind == state::routes::CallKind::Stream;
        route.timeout = std::chrono::milliseconds(streams ? 5'000 : 2'000);
        route.firstAnswerTarget = patient ? route.timeout : std::chrono::milliseconds(300);
        route.pauseTarget = patient ? route.timeout : std::chrono::milliseconds(200);
        route.attempts = terms.attempts;
        route.services = {{service, 1}};
        draft.routes = {route};
        this->routes.publish(state::routes::RouteTable::create(std::move(draft)).value());
    }

    // Adds endpoints of the service at an address that the test serves.
    void announce(const state::Address &address, int count)
    {
        for (int index = 0; index < count; ++index) {
            state::EndpointDescription endpoint;
            endpoint.id = state::EndpointId("announced-" + std::to_string(index));
            endpoint.service = service;
            endpoint.incarnation = 1;
            endpoint.address = address;
            this->announced.endpoints[endpoint.id] = {endpoint, false, false};
        }
        this->publishEndpoints();
    }
    // Adds one endpoint of that id, or replaces all others by it.
    void announceAs(const std::string &id, const state::Address &address, bool beside = false)
    {
        if (!beside)
            this->announced.endpoints.clear();
        state::EndpointDescription endpoint;
        endpoint.id = state::EndpointId(id);
        endpoint.service = service;
        endpoint.incarnation = 1;
        endpoint.address = address;
        this->announced.endpoints[endpoint.id] = {endpoint, false, false};
        this->publishEndpoints();
    }
    // Adds a peer at an address that the test serves.
    void addPeerAt(const state::Address &address) { this->peerAddresses.push_back(address); }
    void keepOneEndpoint()
    {
        this->announced.endpoints.erase(std::next(this->announced.endpoints.begin()),
                                        this->announced.endpoints.end());
        this->publishEndpoints();
    }
    void peerReportsReplaced(std::size_t index)
    {
        this->relay->peerFoundReplaced({state::EndpointId("i-" + std::to_string(index)), 1});
    }
    // How many endpoints were called by the requests from the given one on, in order of arrival.
    int endpointsCalledSince(std::size_t first) const
    {
        return int(std::set<std::string>(this->calledEndpoints.begin() + std::ptrdiff_t(first),
                                         this->calledEndpoints.end())
                           .size());
    }
    // Requests to the endpoint that was called first.
    int callsOfFirstEndpoint() const
    {
        return int(std::ranges::count(this->calledEndpoints, this->calledEndpoints.front()));
    }
    program::RequestGuard &requestGuard() { return *this->guard; }
    void publishEndpoints()
    {
        this->table.publish(EndpointTable(this->announced));
        EndpointTable closed = this->announced;
        for (auto &[id, endpoint] : closed.endpoints)
            endpoint.description.address.port = closedPort;
        this->unreachable.publish(std::move(closed));
    }
    void withdrawEndpoints() { this->table.publish(EndpointTable()); }

    // From now on, the relay's own connections to the endpoints go to that port. Its paths are
    // judged by a real monitor.
    void losePaths(std::uint16_t port)
    {
        EndpointTable lost = this->announced;
        for (auto &[id, endpoint] : lost.endpoints)
            endpoint.description.address.port = port;
        this->unreachable.publish(std::move(lost));
        program::PathMonitor::Hooks hooks;
        hooks.endpoints = [this] { return this->unreachable.read(); };
        hooks.probeRequest = [](const auto &) {
            return makeRelayCodec().probe(state::routes::ServiceProfile{service, "/health", 1, {}});
        };
        hooks.reached = [](const auto &, const auto &) {};
        hooks.changed = [] {};
        this->monitor = std::make_shared<program::PathMonitor>(this->context, std::move(hooks), 1);
    }

    // Sends the request and closes the connection after `after` without reading the answer.
    void callAndClose(std::chrono::milliseconds after)
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        this->sendRequest(socket, "keep-alive");
        std::this_thread::sleep_for(after);
    }

    // All that comes on the connection of one request, until it ends.
    std::string callRaw()
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        this->sendRequest(socket, "close");
        std::string bytes;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(bytes), end);
        return bytes;
    }

    // Whether a peer has served a request; its relay ends a moment after the caller has the answer.
    bool servesThroughPeer() const
    {
        for (int waits = 0; waits < 100 && this->servedByPeers == 0; ++waits)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return this->servedByPeers > 0;
    }

    // The time from a caller's close, 150 ms after its request, until the endpoint has noticed it;
    // nothing if it doesn't within half a second.
    std::optional<std::chrono::microseconds> closeReachesEndpointAfter()
    {
        this->callAndClose(std::chrono::milliseconds(150));
        const std::int64_t closed = program::monotonicNow().time_since_epoch().count();
        for (int waits = 0; waits < 100 && this->closedAtUs == 0; ++waits)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        if (this->closedAtUs == 0)
            return std::nullopt;
        return std::chrono::microseconds(this->closedAtUs - closed);
    }

    static protocol::HttpRequest request()
    {
        protocol::HttpRequest made;
        made.method = "POST";
        made.target = "/p/x";
        made.headers = {{"Host", "h"}, {"Request-Id", "r1"}, {"Request-Deadline", "5000"}};
        made.body = "{}";
        return made;
    }

    std::atomic<coordination::orders::ViewStatus> standing =
            coordination::orders::ViewStatus::Confirmed;
    std::atomic<bool> failFirstConnection = false; // the scheduler then places it elsewhere
    std::atomic<bool> placesAgain = false; // the scheduler has another engine for each failure
    std::atomic<int> closedEngines = 0;    // the scheduler names so many closed ports in placeAgain
    std::atomic<int> replacedReports = 0;  // to the scheduler, of engines
    std::atomic<int> replacedShared = 0;   // with peers, of replicas
    std::function<void()> beforePlacement = [] {}; // called when the scheduler is asked
    std::atomic<bool> namesAreReused = false;      // the scheduler was given an id twice
    std::atomic<int> arrivals = 0;
    std::atomic<std::int64_t> closedAtUs = 0; // when an endpoint noticed that its caller had closed
    std::vector<program::AttemptFailure> failures; // as the scheduler was told
    std::atomic<int> endpointsLeft = 0;            // as they said in their answers
    std::string resumedBehind;                     // as sent to the last endpoint
    std::atomic<int> handedOver = 0;               // requests that reached a peer
    std::atomic<int> servedByPeers = 0;            // completely
    std::atomic<bool> pathLost = false;            // of the relay, not of its peers
    std::atomic<bool> pathDoubtful = false;        // the same
    std::atomic<bool> losePathAtArrival = false;   // of a request at an endpoint
    const std::shared_ptr<program::OpenRequests> openRequests =
            program::OpenRequests::create(); // of the relay, without its peers

private:
    void sendRequest(asio::ip::tcp::socket &socket, const std::string &connection)
    {
        const state::Address to = this->front->address();
        socket.connect({asio::ip::make_address(to.ip), to.port});
        const std::string text = "POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                 "Request-Deadline: 5000\r\nContent-Length: 0\r\nConnection: "
                                 + connection + "\r\n\r\n";
        asio::write(socket, asio::buffer(text));
    }

    struct Peer
    {
        std::unique_ptr<RouteRelay> relay;
        std::shared_ptr<transport::HttpServer> server;
    };

    void addPeer(PeerBehaviour behaviour)
    {
        RouteRelay::Hooks hooks = this->hooks();
        hooks.refuses = [behaviour] { return behaviour == PeerBehaviour::IsLeaving; };
        auto failed = std::make_shared<std::atomic<bool>>(false);
        hooks.pathState = [behaviour, failed](const state::ServiceName &) {
            if (*failed)
                return PathState::Doubtful;
            return behaviour == PeerBehaviour::HasNoPath ? PathState::Lost : PathState::Usable;
        };
        hooks.recordPath = [failed](const auto &, coordination::routing::PathOutcome outcome) {
            *failed = outcome == coordination::routing::PathOutcome::Unreachable;
        };
        if (behaviour == PeerBehaviour::LosesPath)
            hooks.endpoints = [this] { return this->unreachable.read(); };
        hooks.finished = [this](const program::RelayOutcome &outcome) {
            this->servedByPeers += outcome.whole ? 1 : 0;
        };
        Peer peer;
        peer.relay = std::make_unique<RouteRelay>(this->settings, std::move(hooks), 2);
        peer.server = fakes::serveOnLoopback(
                this->context,
                [this, behaviour, relay = peer.relay.get()](transport::HttpExchange &exchange) {
                    return this->servePeer(exchange, behaviour, *relay);
                });
        this->peerAddresses.push_back(peer.server->address());
        if (behaviour == PeerBehaviour::IsUnreachable)
            peer.server->stopAccepting();
        this->peers.push_back(std::move(peer));
    }

    asio::awaitable<void> servePeer(transport::HttpExchange &exchange, PeerBehaviour behaviour,
                                    RouteRelay &peer)
    {
        ++this->handedOver;
        if (behaviour == PeerBehaviour::Dies)
            co_return; // the connection is closed
        if (behaviour == PeerBehaviour::DiesInStream) {
            protocol::HttpResponse head = sealedAnswer(request(), 200);
            head.headers.add(std::string(protocol::peerResultHeader), "answer");
            head.body.clear();
            co_await exchange.beginStream(std::move(head));
            const std::string events = "id: 1\ndata: x\n\nid: 2\nda";
            co_await exchange.write(events);
            co_return;
        }
        co_await peer.runForPeer(exchange);
    }

    RouteRelay::Hooks hooksWithPeers()
    {
        RouteRelay::Hooks hooks = this->hooks();
        hooks.openRequests = this->openRequests;
        hooks.endpointLeaves = [this](const auto &) { ++this->endpointsLeft; };
        hooks.share = [this](const protocol::PeerUpdate &update) {
            this->replacedShared +=
                    std::holds_alternative<protocol::EndpointReplaced>(update) ? 1 : 0;
        };
        hooks.peers = [this] { return coordination::routing::RelayPeers{this->peerAddresses, {}}; };
        hooks.endpoints = [this] {
            return this->monitor ? this->unreachable.read() : this->table.read();
        };
        hooks.recordPath = [this](const auto &endpoint, auto outcome) {
            if (this->monitor)
                this->monitor->record(endpoint, outcome);
        };
        hooks.pathState = [this](const state::ServiceName &name) {
            if (this->monitor)
                return this->monitor->state(name);
            if (this->pathLost)
                return PathState::Lost;
            return this->pathDoubtful ? PathState::Doubtful : PathState::Usable;
        };
        return hooks;
    }

    RouteRelay::Hooks hooks()
    {
        RouteRelay::Hooks hooks;
        hooks.codec = makeRelayCodec();
        hooks.scheduler = this->firstEngine();
        hooks.endpoints = [this] { return this->table.read(); };
        hooks.routes = [this] { return this->routes.read(); };
        hooks.standing = [this] { return this->standing.load(); };
        hooks.refuses = [] { return false; };
        hooks.guard = this->guard;
        hooks.answerBuffers = this->answerBuffers;
        hooks.finished = [](const program::RelayOutcome &) {};
        return hooks;
    }

    // Places every request on the first known engine.
    program::Scheduler firstEngine()
    {
        program::Scheduler scheduler;
        scheduler.place = [this](const program::ScheduledRequest &wanted)
                -> asio::awaitable<program::PlacementResult> {
            this->namesAreReused = !this->scheduledIds.insert(wanted.id).second;
            this->beforePlacement();
            const auto known = this->table.read();
            if (known->endpoints.empty())
                co_return protocol::Problem{503, "no-engine", "no engine is known",
                                            protocol::Ran::No, std::nullopt};
            program::Placement placement;
            placement.endpoint = known->endpoints.begin()->second.description;
            if (this->failFirstConnection)
                placement.endpoint.address.port = closedPort;
            co_return placement;
        };
        scheduler.placeAgain = [this](const state::RequestId &, const program::Placement &,
                                      program::AttemptFailure failure)
                -> asio::awaitable<program::PlacementResult> {
            this->failures.push_back(failure);
            this->replacedReports += failure == program::AttemptFailure::Replaced ? 1 : 0;
            if (this->failFirstConnection || this->placesAgain) {
                program::Placement next;
                next.endpoint = this->table.read()->endpoints.begin()->second.description;
                next.attempt = 2;
                if (this->closedEngines > 0) {
                    --this->closedEngines;
                    next.endpoint.address.port = closedPort;
                }
                co_return next;
            }
            co_return protocol::Problem{503, "no-engine", "no other engine", protocol::Ran::No,
                                        std::nullopt};
        };
        scheduler.progressed = [](const state::RequestId &, std::uint32_t, std::uint64_t) {};
        scheduler.finished = [](const state::RequestId &, std::uint32_t, bool) {};
        scheduler.cancel = [](const state::RequestId &) {};
        scheduler.noteHealth = [this](const state::EndpointDescription &,
                                      coordination::routing::AttemptOutcome outcome) {
            this->replacedReports +=
                    outcome == coordination::routing::AttemptOutcome::Replaced ? 1 : 0;
        };
        scheduler.reportPeerFailure = [](const state::Address &) {};
        scheduler.limitNamed = [](const auto &, auto, auto) {};
        scheduler.restNamed = [](const auto &, auto, auto) {};
        return scheduler;
    }

    asio::awaitable<void> serveEndpoint(transport::HttpExchange &exchange)
    {
        const auto arrival = std::size_t(this->arrivals++);
        this->calledEndpoints.emplace_back(
                exchange.request().headers.find("Expect-Instance").value_or(""));
        if (this->losePathAtArrival)
            this->pathLost = true;
        const Behaviour behaviour =
                this->behaviours.at(std::min(arrival, this->behaviours.size() - 1));
        protocol::HttpResponse answer = sealedAnswer(exchange.request(), 200);
        switch (behaviour) {
        case Behaviour::Answers:
            break;
        case Behaviour::Fails:
            answer.status = 500;
            break;
        case Behaviour::Rejects:
            answer.status = 400;
            break;
        case Behaviour::Refuses:
            answer.status = 503;
            answer.headers.add("Not-Executed", "1");
            break;
        case Behaviour::Leaves:
            answer.headers.add("Server-Leaving", "1");
            break;
        case Behaviour::AsksForRest:
            answer.status = 503;
            answer.headers.add("Not-Executed", "1");
            answer.headers.add("Retry-After", "0.5");
            break;
        case Behaviour::IsOtherEndpoint:
            answer.status = 421;
            break;
        case Behaviour::AnswersOtherRequest:
            answer.headers = {{"Request-Id", "r0"}, {"Response-Seal", "seal"}};
            break;
        case Behaviour::Unsealed:
            answer.headers = {{"Request-Id", "r1"}};
            break;
        case Behaviour::NamesLimit:
            answer.headers.add("Server-Limit", "0.5");
            break;
        case Behaviour::NeverAnswers:
            co_await this->waitForClose(exchange);
            co_return;
        case Behaviour::Ends:
            for (const auto &server : this->servers)
                server->stopAccepting();
            co_return;
        case Behaviour::Closes:
            co_return;
        default:
            co_await this->stream(exchange, behaviour, std::move(answer));
            co_return;
        }
        co_await exchange.respond(std::move(answer));
    }

    asio::awaitable<void> waitForClose(transport::HttpExchange &exchange)
    {
        exchange.onCallerGone(
                [this] { this->closedAtUs = program::monotonicNow().time_since_epoch().count(); });
        for (int waits = 0; waits < 200 && this->closedAtUs == 0; ++waits)
            co_await transport::pause(std::chrono::milliseconds(10));
    }

    asio::awaitable<void> stream(transport::HttpExchange &exchange, Behaviour behaviour,
                                 protocol::HttpResponse head)
    {
        this->resumedBehind =
                std::string(exchange.request().headers.find("Last-Event-Id").value_or(""));
        const int first = this->resumedBehind.empty() ? 1 : std::stoi(this->resumedBehind) + 1;
        head.body.clear();
        co_await exchange.beginStream(std::move(head));
        for (int id = first; id <= 6; ++id) {
            if (behaviour == Behaviour::PausesLong && id == 3)
                co_await transport::pause(longPause);
            if (behaviour == Behaviour::CutsInsideAnEvent && id == 3) {
                const std::string partial = "id: 3\nda";
                co_await exchange.write(partial);
                co_return; // incomplete answer: the connection is closed
            }
            const std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
            co_await exchange.write(event);
        }
        co_await exchange.finishStream();
    }

    // A relay of its own seed for each fixture, so that repeated tests ask peers in other orders.
    static inline std::uint64_t nextSeed = 1;

    std::set<state::RequestId> scheduledIds;
    std::vector<std::string> calledEndpoints; // as named in the requests, in order of arrival
    std::vector<Behaviour> behaviours;
    const std::shared_ptr<program::AnswerBuffers> answerBuffers; // of the relay and its peers
    program::Settings settings;
    asio::io_context context{1};
    std::shared_ptr<program::RequestGuard> guard = program::RequestGuard::create(this->context, {});
    state::Snapshot<state::routes::RouteTable> routes;
    EndpointTable announced;
    state::Snapshot<EndpointTable> table;
    state::Snapshot<EndpointTable> unreachable;    // the same endpoints behind a closed port
    std::shared_ptr<program::PathMonitor> monitor; // set once paths are lost
    std::vector<Peer> peers;
    std::vector<state::Address> peerAddresses;
    std::unique_ptr<RouteRelay> relay;
    std::vector<std::shared_ptr<transport::HttpServer>> servers;
    std::shared_ptr<transport::HttpServer> front;
    std::thread thread;
};

inline std::string eventsUpTo(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    return text;
}

} // namespace lavenderthread::platform
