// Tests calls over a kept connection: one that is reused, one that has ended, and one that is
// silent.
#include "transport/HttpConnection.h"

#include "fakes/LoopbackServer.h"
#include "fakes/RawEndpoint.h"
#include "program/RunToEnd.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <set>
#include <string>
#include <vector>

namespace lavenderthread::transport {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint64_t largestAnswer = 10'000;

// Answers with the caller's address, which tells connections apart.
struct Peer
{
    Peer()
    {
        this->server = fakes::serveOnLoopback(
                this->context, [this](HttpExchange &exchange) { return this->answer(exchange); });
    }

    asio::awaitable<void> answer(HttpExchange &exchange)
    {
        ++this->requests;
        if (this->requests == this->closesAt)
            co_return; // ends the connection without an answer
        if (this->requests == this->silentAt) {
            asio::steady_timer pause(exchange.executor(), std::chrono::seconds(10));
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        protocol::HttpResponse response{200, {}, exchange.peer()};
        if (this->requests == this->tooLargeAt)
            response.body.resize(largestAnswer + 1);
        co_await exchange.respond(std::move(response));
    }

    // Makes the calls one after the other and returns the bodies; "failed" for an error.
    std::vector<std::string> call(std::size_t count)
    {
        std::vector<std::string> bodies;
        asio::co_spawn(
                this->context,
                [](Peer &peer, std::size_t calls,
                   std::vector<std::string> &answers) -> asio::awaitable<void> {
                    const asio::any_io_executor executor = co_await asio::this_coro::executor;
                    HttpConnection connection;
                    HttpCallLimits limits;
                    limits.timeout = milliseconds(300);
                    limits.bodyBytes = largestAnswer;
                    for (std::size_t each = 0; each < calls; ++each) {
                        protocol::HttpRequest request;
                        request.method = "POST";
                        request.target = "/";
                        request.body = "body";
                        const auto answer = co_await connection.call(
                                executor, peer.server->address(), std::move(request), limits);
                        answers.push_back(answer ? answer.value().body : "failed");
                    }
                    peer.leftOpen = connection.isOpen();
                }(*this, count, bodies),
                [this](const std::exception_ptr &failure) {
                    this->context.stop();
                    if (failure)
                        std::rethrow_exception(failure);
                });
        this->context.run();
        return bodies;
    }

    asio::io_context context;
    std::shared_ptr<HttpServer> server;
    int requests = 0;
    int closesAt = 0;   // number of the request that ends its connection; 0: none
    int silentAt = 0;   // number of the request that is not answered; 0: none
    int tooLargeAt = 0; // number of the request with an answer over the limit; 0: none
    bool leftOpen = false;
};

std::size_t distinct(const std::vector<std::string> &bodies)
{
    return std::set<std::string>(bodies.begin(), bodies.end()).size();
}

} // namespace

class HttpConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(callsShareOneConnection);
    CPPUNIT_TEST(callOnEndedConnectionIsSentAgain);
    CPPUNIT_TEST(silentPeerCostsOneTimeout);
    CPPUNIT_TEST(failureOnNewConnectionIsReported);
    CPPUNIT_TEST(tooLargeAnswerIsNotFetchedAgain);
    CPPUNIT_TEST(secondAnswerIsNoAnswerToTheNextCall);
    CPPUNIT_TEST(raisedLimitsHoldOnOpenConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new connection for each poll of a control member, whose cost grows with the
    // number of entries.
    void callsShareOneConnection()
    {
        Peer peer;
        const std::vector<std::string> bodies = peer.call(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), bodies.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), distinct(bodies));
        CPPUNIT_ASSERT(peer.leftOpen);
    }

    // A peer restarts between two calls. Guards against reporting it as unreachable.
    void callOnEndedConnectionIsSentAgain()
    {
        Peer peer;
        peer.closesAt = 2;
        const std::vector<std::string> bodies = peer.call(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), distinct(bodies));
        CPPUNIT_ASSERT(std::ranges::find(bodies, "failed") == bodies.end());
        CPPUNIT_ASSERT_EQUAL(4, peer.requests);
    }

    // A peer freezes: its machine accepts what is sent, and nobody answers. Guards against a second
    // timeout on a new connection, and against keeping the silent one for the next call.
    void silentPeerCostsOneTimeout()
    {
        Peer peer;
        peer.silentAt = 2;
        const std::vector<std::string> bodies = peer.call(4);
        CPPUNIT_ASSERT_EQUAL(4, peer.requests);
        CPPUNIT_ASSERT(bodies[1] == "failed");
        CPPUNIT_ASSERT(bodies[2] != "failed" && bodies[2] != bodies[0]);
        CPPUNIT_ASSERT(bodies[3] == bodies[2]);
    }

    // Guards against repeating a call without end.
    void failureOnNewConnectionIsReported()
    {
        Peer peer;
        peer.closesAt = 1;
        const std::vector<std::string> bodies = peer.call(1);
        CPPUNIT_ASSERT(bodies.front() == "failed");
        CPPUNIT_ASSERT_EQUAL(1, peer.requests);
        CPPUNIT_ASSERT(!peer.leftOpen);
    }

    // Guards against a second transfer of an answer that is refused for its size.
    void tooLargeAnswerIsNotFetchedAgain()
    {
        Peer peer;
        peer.tooLargeAt = 2;
        const std::vector<std::string> bodies = peer.call(2);
        CPPUNIT_ASSERT(bodies[0] != "failed");
        CPPUNIT_ASSERT(bodies[1] == "failed");
        CPPUNIT_ASSERT_EQUAL(2, peer.requests);
        CPPUNIT_ASSERT(!peer.leftOpen);
    }

    // Guards against the answer to an earlier call where the next one's is expected.
    void secondAnswerIsNoAnswerToTheNextCall()
    {
        const auto answerWith = [](const std::string &body) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body;
        };
        for (const fakes::RawAnswer &twice :
             {fakes::RawAnswer{.bytes = answerWith("a") + answerWith("b")},
              fakes::RawAnswer{.bytes = answerWith("a"), .later = answerWith("b")}}) {
            fakes::RawEndpoint peer({twice, {.bytes = answerWith("c")}});
            CPPUNIT_ASSERT_EQUAL(std::string("ac"), program::runToEnd(callTwice(peer.address())));
        }
    }

    // Guards against a request refused for good by limits that had been in force when its
    // connection was opened.
    void raisedLimitsHoldOnOpenConnections()
    {
        constexpr std::uint64_t raised = 1'000;
        Peer peer;
        HttpLimits limits;
        limits.bodyBytes = raised / 2;
        peer.server->setLimits(limits);
        const auto call = [&]() -> asio::awaitable<unsigned> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            HttpConnection connection;
            unsigned status = 0;
            for (const std::uint64_t bytes : {std::uint64_t(1), raised}) {
                protocol::HttpRequest request;
                request.method = "POST";
                request.target = "/";
                request.body = std::string(bytes, 'x');
                const auto answer = co_await connection.call(executor, peer.server->address(),
                                                             std::move(request), {});
                status = answer ? answer.value().status : 0;
                limits.bodyBytes = raised;
                peer.server->setLimits(limits);
            }
            peer.context.stop();
            co_return status;
        };
        auto result = asio::co_spawn(peer.context, call(), asio::use_future);
        peer.context.run();
        CPPUNIT_ASSERT_EQUAL(200U, result.get());
    }

    // The second call is made after what the peer sends later has come.
    static asio::awaitable<std::string> callTwice(state::Address peer)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        HttpConnection connection;
        std::string bodies;
        for (int each = 0; each < 2; ++each) {
            protocol::HttpRequest request;
            request.method = "POST";
            request.target = "/";
            const auto answer = co_await connection.call(executor, peer, std::move(request), {});
            bodies += answer ? answer.value().body : "failed";
            co_await pause(2 * fakes::pauseBeforeLater);
        }
        co_return bodies;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace lavenderthread::transport
