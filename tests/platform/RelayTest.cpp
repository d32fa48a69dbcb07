// Tests the relay over loopback with the provider's protocol and fake endpoints that fail at each
// step at which an endpoint may fail.
#include "platform/RelayWire.h"

#include "fakes/LoopbackServer.h"
#include "program/Clock.h"
#include "program/RouteRelay.h"
#include "program/RunToEnd.h"
#include "transport/Await.h"
#include "transport/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace lavenderthread::platform {

namespace asio = boost::asio;
using program::EndpointTable;
using program::RouteRelay;

namespace {

// How a fake endpoint handles a request.
enum class Behaviour {
    Answers,
    Fails,               // with its own status 500
    Refuses,             // 503, request not run
    IsOtherEndpoint,     // 421: another endpoint has the address
    Closes,              // the connection, without an answer
    CutsBody,            // in the middle of the body
    AnswersOtherRequest, // sends the answer of another request
    Unsealed,
    CutsInsideAnEvent,
    PausesLong, // after the second event, then continues
    Streams,
    NeverAnswers,
};

const state::ServiceName service("app");
// Exceeds the 0.9 s after which the relay prefers to resume at another endpoint.
constexpr std::chrono::milliseconds longPause{1'400};

protocol::HttpResponse sealedAnswer(const protocol::HttpRequest &request, unsigned status)
{
    protocol::HttpResponse answer;
    answer.status = status;
    answer.headers = {{"Request-Id", std::string(request.headers.find("Request-Id").value_or(""))},
                      {"Response-Seal", "seal"}};
    answer.body = "the endpoint's bytes";
    return answer;
}

// Runs endpoints, a relay and one caller as listeners and connections of one thread.
class RelayFixture
{
public:
    RelayFixture(state::routes::CallKind kind, std::vector<Behaviour> behaviours,
                 bool engines = false)
        : behaviours(std::move(behaviours))
    {
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
        this->relay = std::make_unique<RouteRelay>(this->settings, this->hooks(), 1);
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
        auto run = [](state::Address peer, protocol::HttpRequest request)
                -> asio::awaitable<state::Result<protocol::HttpResponse>> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            co_return co_await transport::httpCall(executor, peer, std::move(request), {});
        };
        return program::runToEnd(run(this->front->address(), std::move(wanted)));
    }

    void publishEndpoints() { this->table.publish(EndpointTable(this->announced)); }
    void withdrawEndpoints() { this->table.publish(EndpointTable()); }

    // Sends the request and closes the connection after `after` without reading the answer.
    void callAndClose(std::chrono::milliseconds after)
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        const state::Address to = this->front->address();
        socket.connect({asio::ip::make_address(to.ip), to.port});
        const std::string text = "POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                                 "Request-Deadline: 5000\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(text));
        std::this_thread::sleep_for(after);
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
    std::atomic<int> arrivals = 0;
    std::atomic<std::int64_t> closedAtUs = 0; // when an endpoint noticed that its caller had closed
    std::vector<program::AttemptFailure> failures; // as the scheduler was told
    std::string resumedBehind;                     // as sent to the last endpoint

private:
    void publishRoutes(state::routes::CallKind kind, bool engines)
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
        route.resumable = true;
        const bool streams = kind == state::routes::CallKind::Stream;
        route.timeout = std::chrono::milliseconds(streams ? 5'000 : 2'000);
        route.firstAnswerTarget = std::chrono::milliseconds(300);
        route.pauseTarget = std::chrono::milliseconds(200);
        route.attempts = 2;
        route.services = {{service, 1}};
        draft.routes = {route};
        this->routes.publish(state::routes::RouteTable::create(std::move(draft)).value());
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
        hooks.finished = [](const program::RelayOutcome &) {};
        return hooks;
    }

    // Places every request on the first known engine.
    program::Scheduler firstEngine()
    {
        program::Scheduler scheduler;
        scheduler.place = [this](const program::ScheduledRequest &)
                -> asio::awaitable<program::PlacementResult> {
            const auto known = this->table.read();
            if (known->endpoints.empty())
                co_return protocol::Problem{503, "no-engine", "no engine is known",
                                            protocol::Ran::No, std::nullopt};
            program::Placement placement;
            placement.endpoint = known->endpoints.begin()->second.description;
            co_return placement;
        };
        scheduler.placeAgain = [this](const state::RequestId &, const program::Placement &,
                                      program::AttemptFailure failure)
                -> asio::awaitable<program::PlacementResult> {
            this->failures.push_back(failure);
            co_return protocol::Problem{503, "no-engine", "no other engine", protocol::Ran::No,
                                        std::nullopt};
        };
        scheduler.progressed = [](const state::RequestId &, std::uint32_t, std::uint64_t) {};
        scheduler.finished = [](const state::RequestId &, std::uint32_t, bool) {};
        scheduler.cancel = [](const state::RequestId &) {};
        scheduler.noteHealth = [](const state::EndpointDescription &,
                                  coordination::routing::AttemptOutcome) {};
        scheduler.reportPeerFailure = [](const state::Address &) {};
        return scheduler;
    }

    asio::awaitable<void> serveEndpoint(transport::HttpExchange &exchange)
    {
        const auto arrival = std::size_t(this->arrivals++);
        const Behaviour behaviour =
                this->behaviours.at(std::min(arrival, this->behaviours.size() - 1));
        protocol::HttpResponse answer = sealedAnswer(exchange.request(), 200);
        switch (behaviour) {
        case Behaviour::Answers:
            break;
        case Behaviour::Fails:
            answer.status = 500;
            break;
        case Behaviour::Refuses:
            answer.status = 503;
            answer.headers.add("Not-Executed", "1");
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
        case Behaviour::NeverAnswers:
            co_await this->waitForClose(exchange);
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

    std::vector<Behaviour> behaviours;
    program::Settings settings;
    asio::io_context context{1};
    state::Snapshot<state::routes::RouteTable> routes;
    EndpointTable announced;
    state::Snapshot<EndpointTable> table;
    std::unique_ptr<RouteRelay> relay;
    std::vector<std::shared_ptr<transport::HttpServer>> servers;
    std::shared_ptr<transport::HttpServer> front;
    std::thread thread;
};

struct Case
{
    const char *name;
    std::vector<Behaviour> behaviours; // by order of arrival of the requests
    unsigned status;
    int arrivals;
};

std::string eventsUpTo(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    return text;
}

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(nonIdempotentCalls);
    CPPUNIT_TEST(idempotentCalls);
    CPPUNIT_TEST(resumedStreamEqualsUninterruptedOne);
    CPPUNIT_TEST(streamThatCannotResumeIsAborted);
    CPPUNIT_TEST(stalledStreamResumesElsewhere);
    CPPUNIT_TEST(stalledStreamWithoutAttemptsLeftIsAwaited);
    CPPUNIT_TEST(callerCloseReachesEndpoint);
    CPPUNIT_TEST(timeoutIsEnforced);
    CPPUNIT_TEST(firstEngineIsAwaited);
    CPPUNIT_TEST(replacedEngineIsReported);
    CPPUNIT_TEST(outdatedConfigurationIsNotUsed);
    CPPUNIT_TEST(unconfirmedConfigurationDoesNotAnswer404);
    CPPUNIT_TEST_SUITE_END();

    using Kind = state::routes::CallKind;

    static void check(Kind kind, const std::vector<Case> &cases)
    {
        for (const Case &each : cases) {
            RelayFixture fixture(kind, each.behaviours);
            const auto answer = fixture.call();
            CPPUNIT_ASSERT_MESSAGE(each.name, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.status, answer.value().status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.arrivals, fixture.arrivals.load());
            const bool own = answer.value().headers.find("Response-Seal").has_value();
            const bool endpoints = each.status == 200 || each.status == 500;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, endpoints, own);
        }
    }

    static protocol::HttpRequest requestWithoutRoute()
    {
        protocol::HttpRequest request = RelayFixture::request();
        request.target = "/added/x";
        return request;
    }

public:
    // Guards against running a request on the service of an older configuration after a newer one
    // was acknowledged.
    void outdatedConfigurationIsNotUsed()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers});
        fixture.standing = coordination::orders::ViewStatus::Outdated;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT(answer.value().headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }

    // Guards against 404 for a route that was acknowledged but hasn't reached this node yet.
    void unconfirmedConfigurationDoesNotAnswer404()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers});
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(requestWithoutRoute()).value().status);
        fixture.standing = coordination::orders::ViewStatus::Unconfirmed;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call(requestWithoutRoute()).value().status);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
    }

    // A non-idempotent request that may have run is not sent to another replica and is never
    // answered with "not run".
    void nonIdempotentCalls()
    {
        using enum Behaviour;
        check(Kind::NonIdempotent, {
                                           {"answers", {Answers, Answers}, 200, 1},
                                           {"fails", {Fails, Answers}, 500, 1},
                                           {"closes", {Closes, Answers}, 502, 1},
                                           {"crossed", {AnswersOtherRequest, Answers}, 502, 1},
                                           {"unsealed", {Unsealed, Answers}, 502, 1},
                                           {"refuses", {Refuses, Answers}, 200, 2},
                                           {"another", {IsOtherEndpoint, Answers}, 200, 2},
                                           {"refuses, closes", {Refuses, Closes}, 502, 2},
                                           {"all refuse", {Refuses, Refuses, Refuses}, 503, 3},
                                   });
    }

    // An idempotent request may run more than once, up to the attempts of its route. A failure is
    // returned only when no endpoint is left to try.
    void idempotentCalls()
    {
        using enum Behaviour;
        check(Kind::Idempotent, {
                                        {"fails once", {Fails, Answers}, 200, 2},
                                        {"closes once", {Closes, Answers}, 200, 2},
                                        {"crossed once", {AnswersOtherRequest, Answers}, 200, 2},
                                        {"fails twice", {Fails, Fails, Answers}, 500, 2},
                                        {"closes twice", {Closes, Closes, Answers}, 502, 2},
                                });
    }

    // The first engine fails in the middle of event 3. The caller receives one uninterrupted
    // stream.
    void resumedStreamEqualsUninterruptedOne()
    {
        RelayFixture uninterrupted(Kind::Stream, {Behaviour::Streams});
        const auto expected = uninterrupted.call();
        RelayFixture fixture(Kind::Stream, {Behaviour::CutsInsideAnEvent, Behaviour::Streams});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), expected.value().body);
        CPPUNIT_ASSERT_EQUAL(expected.value().body, answer.value().body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fixture.resumedBehind);
    }

    // Every engine fails in the middle of an event: the answer must not look complete.
    void streamThatCannotResumeIsAborted()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::CutsInsideAnEvent, Behaviour::Closes});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT_EQUAL(std::string(transport::receiveStep), answer.error().step);
    }

    // The first engine stalls after event 2 and the second one has the rest: the caller receives it
    // without waiting for the first engine.
    void stalledStreamResumesElsewhere()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::PausesLong, Behaviour::Streams});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fixture.resumedBehind);
    }

    // Both engines stall for a while, as they do when they lose a helper. Guards against truncating
    // the caller's answer at the second stall although the engine would have continued: without an
    // attempt left, the relay has to wait.
    void stalledStreamWithoutAttemptsLeftIsAwaited()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::PausesLong, Behaviour::PausesLong});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals.load());
    }

    // A caller closes the connection while its request runs: the endpoint stops within 100 ms.
    void callerCloseReachesEndpoint()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::NeverAnswers});
        fixture.callAndClose(std::chrono::milliseconds(150));
        const std::int64_t closed = program::monotonicNow().time_since_epoch().count();
        for (int waits = 0; waits < 100 && fixture.closedAtUs == 0; ++waits)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(fixture.closedAtUs > 0);
        CPPUNIT_ASSERT(fixture.closedAtUs - closed < 100'000);
    }

    // Guards against rejections right after a start: the configuration is known shortly before the
    // first engine, and all requests that arrived in between were rejected.
    void firstEngineIsAwaited()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true);
        fixture.withdrawEndpoints();
        std::thread announce([&fixture] {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            fixture.publishEndpoints();
        });
        const auto answer = fixture.call();
        announce.join();
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
    }

    // Another endpoint answers at the address of an engine that crashed. Guards against counting
    // that as a failure of a live engine, which is tried again a second later.
    void replacedEngineIsReported()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::IsOtherEndpoint}, true);
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.failures.size());
        CPPUNIT_ASSERT(fixture.failures.front() == program::AttemptFailure::Replaced);
        RelayFixture refused(Kind::Stream, {Behaviour::Refuses}, true);
        refused.call();
        CPPUNIT_ASSERT(refused.failures.front() == program::AttemptFailure::NotRun);
        // Guards against callers who can take live engines out of use for everybody.
        RelayFixture restricted(Kind::Stream, {Behaviour::IsOtherEndpoint}, true);
        protocol::HttpRequest request = RelayFixture::request();
        request.headers.add("Expect-Version", "7");
        restricted.call(request);
        CPPUNIT_ASSERT(restricted.failures.front() == program::AttemptFailure::NotRun);
    }

    // An endpoint never answers a request: the caller gets an answer at the route's timeout of 2 s.
    void timeoutIsEnforced()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::NeverAnswers, Behaviour::Answers});
        const state::Instant begin = program::monotonicNow();
        const auto answer = fixture.call();
        const state::Duration took = program::monotonicNow() - begin;
        CPPUNIT_ASSERT_EQUAL(504U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT(took >= std::chrono::milliseconds(1'900));
        CPPUNIT_ASSERT(took < std::chrono::milliseconds(2'500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace lavenderthread::platform
