// Which requests a server counts as open, for a process that waits for them before it ends.
#include "fakes/LoopbackServer.h"
#include "transport/Await.h"
#include "transport/MonotonicClock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>

namespace lavenderthread::transport {

namespace asio = boost::asio;

class OpenExchangesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpenExchangesTest);
    CPPUNIT_TEST(requestThatIsBeingReadIsOpen);
    CPPUNIT_TEST_SUITE_END();

    static bool becomes(const HttpServer &server, std::size_t count)
    {
        const state::Instant limit = monotonicNow() + std::chrono::seconds(2);
        while (server.openExchanges() != count && monotonicNow() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return server.openExchanges() == count;
    }

public:
    // Guards against a process that ends between the two halves of a body that comes in chunks.
    void requestThatIsBeingReadIsOpen()
    {
        asio::io_context context{1};
        const auto server = fakes::serveOnLoopback(
                context, [](HttpExchange &exchange) -> asio::awaitable<void> {
                    co_await pause(std::chrono::milliseconds(100));
                    protocol::HttpResponse answer;
                    answer.body = "whole";
                    co_await exchange.respond(std::move(answer));
                });
        std::thread thread([&context] { context.run(); });
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        const state::Address to = server->address();
        socket.connect({asio::ip::make_address(to.ip), to.port});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server->openExchanges()); // idle
        const std::string begin =
                "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "4\r\nhalf\r\n";
        asio::write(socket, asio::buffer(begin));
        CPPUNIT_ASSERT(becomes(*server, 1));
        const std::string end = "0\r\n\r\n";
        asio::write(socket, asio::buffer(end));
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "whole");
        CPPUNIT_ASSERT(becomes(*server, 0));
        context.stop();
        thread.join();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenExchangesTest);

} // namespace lavenderthread::transport
