// What a caller's connection brings if a handler answers its request twice.
#include "fakes/LoopbackServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>

namespace lavenderthread::transport {

namespace {

namespace asio = boost::asio;

using Handled = std::optional<state::Error>; // of the second answer

protocol::HttpResponse answer(unsigned status, const std::string &body)
{
    protocol::HttpResponse made;
    made.status = status;
    made.body = body;
    return made;
}

asio::awaitable<void> answerTwice(HttpExchange &exchange, Handled &second)
{
    co_await exchange.respond(answer(200, "first"));
    const auto sent = co_await exchange.respond(answer(503, "second"));
    if (!sent)
        second = sent.error();
}

asio::awaitable<void> answerInAStream(HttpExchange &exchange, Handled &second)
{
    co_await exchange.beginStream(answer(200, ""));
    const std::string piece = "first";
    co_await exchange.write(piece);
    const auto sent = co_await exchange.respond(answer(404, "second"));
    if (!sent)
        second = sent.error();
}

// All that the connection of one request brings.
template <typename Handler>
std::string callWith(Handler handler, Handled &second)
{
    asio::io_context context{1};
    const auto server = fakes::serveOnLoopback(
            context, [&](HttpExchange &exchange) { return handler(exchange, second); });
    std::thread thread([&] { context.run(); });
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(server->address().ip), server->address().port});
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    std::string bytes;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(bytes), end);
    context.stop();
    thread.join();
    return bytes;
}

} // namespace

class HttpExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpExchangeTest);
    CPPUNIT_TEST(secondAnswerToARequestIsNotWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a head in the middle of a caller's stream, or for its next request.
    void secondAnswerToARequestIsNotWritten()
    {
        Handled second;
        const std::string twice = callWith(answerTwice, second);
        CPPUNIT_ASSERT_MESSAGE(twice, twice.ends_with("\r\n\r\nfirst"));
        CPPUNIT_ASSERT(second && second->code == state::ErrorCode::Internal);
        second.reset();
        const std::string stream = callWith(answerInAStream, second);
        CPPUNIT_ASSERT_MESSAGE(stream, stream.ends_with("\r\n\r\n5\r\nfirst\r\n"));
        CPPUNIT_ASSERT(second && second->code == state::ErrorCode::Internal);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpExchangeTest);

} // namespace lavenderthread::transport
