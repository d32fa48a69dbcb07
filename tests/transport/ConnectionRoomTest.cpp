// Tests what callers get from a server whose room is taken.
#include "transport/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>

namespace lavenderthread::transport {

namespace asio = boost::asio;

class ConnectionRoomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionRoomTest);
    CPPUNIT_TEST(requestWithoutRoomIsRefusedAndTold);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t bodyBytes = 100'000;

    static std::string requestOf(std::size_t sent)
    {
        return "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
               + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(sent, 'b');
    }

    // Also where a check fails.
    struct Running
    {
        explicit Running(asio::io_context &context)
            : context(context)
            , thread([&context] { context.run(); })
        {}
        ~Running()
        {
            this->context.stop();
            this->thread.join();
        }
        Running(const Running &) = delete;
        Running &operator=(const Running &) = delete;

        asio::io_context &context;
        std::thread thread;
    };

public:
    // Guards against a connection that closes without a word where "not run" can be said, and
    // against a request that is refused in calm.
    void requestWithoutRoomIsRefusedAndTold()
    {
        asio::io_context context{1};
        ConnectionPool::Settings settings;
        settings.bytes = 150'000;
        settings.uncounted = 1'000;
        settings.patience = std::chrono::minutes(1);
        HttpServer::Hooks hooks;
        hooks.pool = ConnectionPool::create(settings);
        hooks.handle = [](HttpExchange &exchange) -> asio::awaitable<void> {
            protocol::HttpResponse answer;
            co_await exchange.respond(std::move(answer));
        };
        hooks.reject = [](unsigned status, std::string_view) {
            protocol::HttpResponse answer;
            answer.status = status;
            answer.body = std::string(2'000, 'r');
            return answer;
        };
        const auto pool = hooks.pool;
        auto server = HttpServer::create(context, {"127.0.0.1", 0}, {}, std::move(hooks)).value();
        server->start();
        const Running running(context);
        asio::io_context io;
        const auto call = [&](std::size_t sent) {
            asio::ip::tcp::socket socket(io);
            socket.connect({asio::ip::make_address("127.0.0.1"), server->address().port});
            asio::write(socket, asio::buffer(requestOf(sent)));
            return socket;
        };
        const auto answerOf = [](asio::ip::tcp::socket socket) {
            std::string bytes;
            boost::system::error_code end;
            asio::read(socket, asio::dynamic_buffer(bytes), end);
            return bytes;
        };
        CPPUNIT_ASSERT(answerOf(call(bodyBytes)).starts_with("HTTP/1.1 200"));
        {
            const auto unfinished = call(bodyBytes / 2);
            while (pool->counts().bytes < bodyBytes / 2)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            const std::string refused = answerOf(call(bodyBytes));
            CPPUNIT_ASSERT_MESSAGE(refused, refused.starts_with("HTTP/1.1 503"));
        }
        while (pool->counts().bytes > 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(answerOf(call(bodyBytes)).starts_with("HTTP/1.1 200"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionRoomTest);

} // namespace lavenderthread::transport
