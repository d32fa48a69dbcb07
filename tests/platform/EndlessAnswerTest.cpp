// Endpoints whose bytes are no answer and come without end: how much of them the relay takes, for
// how long, and that the caller is served elsewhere.
#include "RelayFixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

namespace lavenderthread::platform {

namespace {

using Kind = state::routes::CallKind;
using std::chrono::milliseconds;

constexpr std::size_t fastPiece = 16U << 10U;
constexpr std::size_t slowPiece = 1'000;
constexpr milliseconds slowPause{50};
constexpr const char *answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n";

struct Endless
{
    const char *name;
    Kind kind;
    std::string begin;
    std::string filler; // repeated until the connection is closed
    bool isSlow = false;
    std::size_t mostBytes = 1U << 20U; // taken from one connection
};

// An endpoint that sends such bytes on every connection.
class EndlessEndpoint
{
public:
    explicit EndlessEndpoint(const Endless &bytes)
        : begin(bytes.begin)
        , isSlow(bytes.isSlow)
        , acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        while (this->piece.size() < (this->isSlow ? slowPiece : fastPiece))
            this->piece += bytes.filler;
        asio::co_spawn(this->context, this->acceptAll(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~EndlessEndpoint()
    {
        this->context.stop();
        this->thread.join();
    }
    EndlessEndpoint(const EndlessEndpoint &) = delete;
    EndlessEndpoint &operator=(const EndlessEndpoint &) = delete;

    state::Address address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

    std::atomic<int> connections = 0;
    std::atomic<std::size_t> mostSent = 0; // on one connection

private:
    asio::awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            ++this->connections;
            asio::co_spawn(this->context, this->sendForEver(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> sendForEver(asio::ip::tcp::socket socket)
    {
        constexpr int sendBuffer = 64 << 10; // what lies in it was not taken
        socket.set_option(asio::socket_base::send_buffer_size(sendBuffer));
        std::array<char, 4'096> request{};
        co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
        std::size_t sent = 0;
        std::string next = this->begin;
        while (true) {
            const auto [problem, bytes] = co_await asio::async_write(
                    socket, asio::buffer(next), asio::as_tuple(asio::use_awaitable));
            sent += bytes;
            this->mostSent = std::max(this->mostSent.load(), sent);
            if (problem)
                co_return;
            next = this->piece;
            if (this->isSlow)
                co_await transport::pause(slowPause);
        }
    }

    std::string begin;
    std::string piece;
    bool isSlow;
    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

std::string headOf(std::string_view fields)
{
    return std::string(answerHead).append(fields).append("\r\n");
}

} // namespace

class EndlessAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessAnswerTest);
    CPPUNIT_TEST(callersAreServedElsewhere);
    CPPUNIT_TEST(callThatMayRunOnceEndsInTime);
    CPPUNIT_TEST(callHandedToAPeerEndsInTime);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<Endless> cases()
    {
        constexpr std::size_t wholeAnswer = 20U << 20U; // 16 MB may be kept
        constexpr std::size_t wholeEvent = 4U << 20U;   // 1 MB may be kept
        const std::string chunked = headOf("Transfer-Encoding: chunked\r\n");
        const std::string plain = headOf("");
        return {
                {"head", Kind::Idempotent, answerHead + std::string("X-Fill: "), "x"},
                {"heads", Kind::Idempotent, "", "HTTP/1.1 100 Continue\r\n\r\n"},
                {"body", Kind::Idempotent, plain, "x", false, wholeAnswer},
                {"chunks", Kind::Idempotent, chunked, "4\r\nxxxx\r\n", false, wholeAnswer},
                {"chunk extension", Kind::Idempotent, chunked + "5;e=", "x", false, wholeEvent},
                {"trailer", Kind::Idempotent, chunked + "0\r\nX: ", "x", false, wholeEvent},
                {"long body", Kind::Idempotent, headOf("Content-Length: 99999999\r\n"), "x"},
                {"slow body", Kind::Idempotent, plain, "x", true},
                {"slow chunks", Kind::Idempotent, chunked, "4\r\nxxxx\r\n", true},
                {"event", Kind::Stream, plain + "id: 1\ndata: ", "x", false, wholeEvent},
                {"slow event", Kind::Stream, plain + "id: 1\ndata: ", "x", true},
                {"empty lines", Kind::Stream, plain + "id: 1\ndata: x", "\r", false, wholeEvent},
        };
    }

public:
    // Guards against memory that grows until the process is killed, and against callers that are
    // held until their time is over.
    void callersAreServedElsewhere()
    {
        constexpr milliseconds longestCall{1'900}; // the route allows two seconds
        for (const Endless &each : cases()) {
            const Behaviour sound =
                    each.kind == Kind::Stream ? Behaviour::Streams : Behaviour::Answers;
            RelayFixture fixture(each.kind, {sound});
            EndlessEndpoint endless(each);
            fixture.announce(endless.address(), 1);
            for (int call = 0; call < 40 && endless.connections == 0; ++call) {
                const state::Instant begin = program::monotonicNow();
                const auto answer = fixture.call();
                CPPUNIT_ASSERT_MESSAGE(each.name, answer.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, 200U, answer.value().status);
                CPPUNIT_ASSERT_MESSAGE(each.name, program::monotonicNow() - begin < longestCall);
            }
            CPPUNIT_ASSERT_MESSAGE(each.name, endless.connections > 0);
            CPPUNIT_ASSERT_MESSAGE(std::string(each.name) + ": " + std::to_string(endless.mostSent),
                                   endless.mostSent < each.mostBytes);
        }
    }

    // Guards against a call that is neither repeated nor ended.
    void callThatMayRunOnceEndsInTime()
    {
        constexpr milliseconds longestCall{2'500};
        for (const Endless &each : cases()) {
            if (each.kind == Kind::Stream)
                continue;
            RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Answers});
            EndlessEndpoint endless(each);
            fixture.announce(endless.address(), 1);
            for (int call = 0; call < 40 && endless.connections == 0; ++call) {
                const state::Instant begin = program::monotonicNow();
                const auto answer = fixture.call();
                CPPUNIT_ASSERT_MESSAGE(each.name, answer.has_value());
                const unsigned status = answer.value().status;
                CPPUNIT_ASSERT_MESSAGE(each.name, status == 200 || status == 502 || status == 504);
                CPPUNIT_ASSERT_MESSAGE(each.name, program::monotonicNow() - begin < longestCall);
            }
            CPPUNIT_ASSERT_MESSAGE(std::string(each.name) + ": " + std::to_string(endless.mostSent),
                                   endless.mostSent < each.mostBytes);
        }
    }

    // Guards against the same for bytes without end of a peer.
    void callHandedToAPeerEndsInTime()
    {
        constexpr milliseconds longestCall{2'500};
        const std::string result = std::string(protocol::peerResultHeader) + ": answer\r\n";
        std::vector<Endless> all = cases();
        for (Endless &each : all) {
            if (each.begin.starts_with(answerHead))
                each.begin.insert(std::string_view(answerHead).size(), result);
            EndlessEndpoint endless(each);
            RelayFixture fixture(each.kind, {Behaviour::Answers});
            fixture.addPeerAt(endless.address());
            fixture.pathLost = true;
            const state::Instant begin = program::monotonicNow();
            const auto answer = fixture.call();
            CPPUNIT_ASSERT_MESSAGE(each.name, !answer || answer.value().status >= 500);
            CPPUNIT_ASSERT_MESSAGE(each.name, program::monotonicNow() - begin < longestCall);
            CPPUNIT_ASSERT_MESSAGE(each.name, endless.connections > 0);
            CPPUNIT_ASSERT_MESSAGE(std::string(each.name) + ": " + std::to_string(endless.mostSent),
                                   endless.mostSent < each.mostBytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);

} // namespace lavenderthread::platform
