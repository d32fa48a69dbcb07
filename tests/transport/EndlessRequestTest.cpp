// Callers that send a request without end: how much of it a server takes.
#include "fakes/LoopbackServer.h"
#include "transport/MonotonicClock.h"

#include <boost/asio/ip/tcp.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

namespace lavenderthread::transport {

namespace asio = boost::asio;

namespace {

struct Endless
{
    const char *name;
    std::string begin;
    std::string filler; // repeated until the server closes the connection
};

constexpr std::size_t pieceBytes = 64U << 10U;
// A body of 16 MB, and 32 MB that are drained, and not kept, before a refused connection is closed.
constexpr std::size_t mostBytes = (16U + 32U + 16U) << 20U;
// Ends a test whose server neither takes more nor cuts the caller off. A server that is slowed down
// by a sanitizer and other load needs over 4 s for the bytes that it may take.
constexpr std::chrono::seconds longest{60};

} // namespace

class EndlessRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessRequestTest);
    CPPUNIT_TEST(endlessRequestsAreCutOff);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t bytesTaken(const state::Address &server, const Endless &request)
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect({asio::ip::make_address(server.ip), server.port});
        std::string piece;
        while (piece.size() < pieceBytes)
            piece += request.filler;
        const state::Instant end = monotonicNow() + longest;
        std::size_t taken = 0;
        std::string next = request.begin;
        while (taken <= mostBytes && monotonicNow() < end) {
            boost::system::error_code problem;
            taken += socket.write_some(asio::buffer(next), problem);
            if (problem)
                return taken;
            next = piece;
        }
        return std::max(taken, mostBytes + 1); // it was not cut off
    }

public:
    // Guards against one caller that fills an entry's memory until the process is killed.
    void endlessRequestsAreCutOff()
    {
        const std::string chunked =
                "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        const Endless requests[] = {
                {"head", "GET /x HTTP/1.1\r\nX: ", "x"},
                {"target", "GET /", "x"},
                {"chunk extension", chunked + "5;e=", "x"},
                {"trailer", chunked + "0\r\nX: ", "x"},
                {"body", chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n"},
        };
        std::atomic<int> handled = 0;
        asio::io_context context{1};
        const auto server = fakes::serveOnLoopback(
                context, [&handled](HttpExchange &exchange) -> asio::awaitable<void> {
                    ++handled;
                    co_await exchange.respond({});
                });
        std::thread thread([&context] { context.run(); });
        std::string problems;
        for (const Endless &each : requests) {
            const std::size_t taken = bytesTaken(server->address(), each);
            if (taken > mostBytes)
                problems += std::string(each.name) + " " + std::to_string(taken) + "; ";
        }
        context.stop();
        thread.join();
        CPPUNIT_ASSERT_EQUAL(std::string(), problems);
        CPPUNIT_ASSERT_EQUAL(0, handled.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessRequestTest);

} // namespace lavenderthread::transport
