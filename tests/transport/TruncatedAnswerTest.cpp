// Answers that are cut at any byte, by an orderly end of the connection or a reset, as seen by all
// ways to read one.
#include "transport/HttpClient.h"
#include "transport/HttpConnection.h"

#include "fakes/RawEndpoint.h"
#include "program/RunToEnd.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>

namespace lavenderthread::transport {

namespace {

namespace asio = boost::asio;

// The body of an answer that was taken for whole; nothing if the reader noticed that it is not.
using Body = std::optional<std::string>;

// More than the sockets' buffers hold, so that a part is still unsent when the answer comes.
constexpr std::size_t longBody = 12U << 20U;

protocol::HttpRequest request(std::size_t bodyBytes = 0)
{
    protocol::HttpRequest made;
    made.method = "POST";
    made.target = "/";
    made.body = std::string(bodyBytes, 'x');
    return made;
}

asio::awaitable<Body> readStream(state::Address peer, std::size_t bodyBytes = 0)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    auto opened = co_await openHttpStream(executor, peer, request(bodyBytes), {});
    if (!opened)
        co_return std::nullopt;
    std::string body;
    while (true) {
        const auto piece = co_await opened.value().read(std::chrono::seconds(5));
        if (!piece)
            co_return std::nullopt;
        if (!piece.value())
            co_return body;
        body += *piece.value();
    }
}

asio::awaitable<Body> readWhole(state::Address peer, std::size_t bodyBytes = 0)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto answer = co_await httpCall(executor, peer, request(bodyBytes), {});
    co_return answer ? Body(answer.value().body) : std::nullopt;
}

asio::awaitable<Body> readOnKeptConnection(state::Address peer, std::size_t bodyBytes = 0)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    HttpConnection connection;
    const auto answer = co_await connection.call(executor, peer, request(bodyBytes), {});
    co_return answer ? Body(answer.value().body) : std::nullopt;
}

struct Reader
{
    const char *name;
    asio::awaitable<Body> (*read)(state::Address peer, std::size_t bodyBytes);
};

constexpr std::array readers{Reader{"stream", readStream}, Reader{"call", readWhole},
                             Reader{"kept connection", readOnKeptConnection}};

struct Sample
{
    std::string head;
    std::string body;    // as sent
    std::string content; // as read
    bool framed = true;  // its end shows in its bytes
};

Sample withLength()
{
    return {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\n\r\n", "twelve bytes",
            "twelve bytes"};
}

Sample withChunks()
{
    return {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n",
            "c;x=1\r\ntwelve bytes\r\n3\r\nend\r\n0\r\nT: 1\r\n\r\n", "twelve bytesend"};
}

Sample behindInterimAnswer()
{
    Sample sample = withLength();
    sample.head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sample.head;
    return sample;
}

Sample withoutEither()
{
    return {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "twelve bytes", "twelve bytes", false};
}

} // namespace

class TruncatedAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TruncatedAnswerTest);
    CPPUNIT_TEST(framedAnswerIsWholeOnlyWithItsLastByte);
    CPPUNIT_TEST(unframedAnswerIsWholeOnlyBehindAnOrderlyEnd);
    CPPUNIT_TEST(resetWhileTheRequestIsSentIsNoEndOfTheAnswer);
    CPPUNIT_TEST(framedAnswerBeforeTheRequestIsSentIsWhole);
    CPPUNIT_TEST(unframedAnswerBeforeTheRequestIsSentIsWhole);
    CPPUNIT_TEST(answerToHeadEndsWithItsHead);
    CPPUNIT_TEST(readBehindAFailureFailsAgain);
    CPPUNIT_TEST_SUITE_END();

    static void checkCuts(const Sample &sample, bool reset)
    {
        constexpr std::chrono::milliseconds beforeReset{2};
        const std::string whole = sample.head + sample.body;
        for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
            const std::string sent = whole.substr(0, cut);
            const bool headSent = cut >= sample.head.size();
            for (const auto &[name, read] : readers) {
                fakes::RawEndpoint peer({{sent, reset, beforeReset}});
                const Body body = program::runToEnd(read(peer.address(), 0));
                const std::string seen = std::string(name) + ": " + sent + "\nread as "
                                         + body.value_or("broken off");
                if (sample.framed)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, cut == whole.size(), body.has_value());
                else
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, headSent && !reset, body.has_value());
                if (body)
                    CPPUNIT_ASSERT_EQUAL(
                            sample.framed ? sample.content
                                          : sample.content.substr(0, cut - sample.head.size()),
                            *body);
            }
        }
    }

public:
    // Guards against a success with an empty or short body for an answer that ended in its head, in
    // its body, or between its last chunk and the end of its trailers.
    void framedAnswerIsWholeOnlyWithItsLastByte()
    {
        for (const Sample &sample : {withLength(), withChunks(), behindInterimAnswer()}) {
            checkCuts(sample, false);
            checkCuts(sample, true);
        }
    }

    // Guards against the same for answers that end with their connection.
    void unframedAnswerIsWholeOnlyBehindAnOrderlyEnd()
    {
        checkCuts(withoutEither(), false);
        checkCuts(withoutEither(), true);
    }

    // Guards against a part of a body taken for all of it: the write of the request takes the
    // socket's error, and later reads only see an end.
    void resetWhileTheRequestIsSentIsNoEndOfTheAnswer()
    {
        for (const auto &[name, read] : readers) {
            fakes::RawEndpoint peer(
                    {{.bytes = withoutEither().head + "twelve b", .reset = true, .early = true}});
            const Body body = program::runToEnd(read(peer.address(), longBody));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(name) + " read " + body.value_or(""), false,
                                         body.has_value());
        }
    }

    // Guards against the loss of an answer that came before its request was all sent.
    void unframedAnswerBeforeTheRequestIsSentIsWhole()
    {
        const Sample sample = withoutEither();
        fakes::RawEndpoint peer({{.bytes = sample.head + sample.body, .early = true}});
        const Body body = program::runToEnd(readStream(peer.address(), longBody));
        CPPUNIT_ASSERT_EQUAL(sample.content, body.value_or("broken off"));
    }

    // Guards against the bytes of a second answer in place of the body that a HEAD request hasn't.
    void answerToHeadEndsWithItsHead()
    {
        const std::string longer = "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n";
        fakes::RawEndpoint peer({{longer + withLength().head + withLength().body}});
        const auto call = [](state::Address to) -> asio::awaitable<Body> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            protocol::HttpRequest head = request();
            head.method = "HEAD";
            const auto answer = co_await httpCall(executor, to, std::move(head), {});
            co_return answer ? Body(answer.value().body) : std::nullopt;
        };
        const Body body = program::runToEnd(call(peer.address()));
        CPPUNIT_ASSERT_EQUAL(std::string(), body.value_or("broken off"));
    }

    // Guards against the orderly end that a socket shows once its reset was reported.
    void readBehindAFailureFailsAgain()
    {
        const auto readTwice = [](state::Address to) -> asio::awaitable<int> {
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            auto opened = co_await openHttpStream(executor, to, request(), {});
            int failures = 0;
            for (int read = 0; opened && failures < 2 && read < 5; ++read) {
                const auto piece = co_await opened.value().read(std::chrono::seconds(5));
                if (!piece)
                    ++failures;
                else if (!piece.value())
                    break;
            }
            co_return failures;
        };
        fakes::RawEndpoint peer({{.bytes = withoutEither().head + "twelve b", .reset = true}});
        CPPUNIT_ASSERT_EQUAL(2, program::runToEnd(readTwice(peer.address())));
    }

    void framedAnswerBeforeTheRequestIsSentIsWhole()
    {
        for (const Sample &sample : {withLength(), withChunks()}) {
            fakes::RawEndpoint peer(
                    {{.bytes = sample.head + sample.body, .reset = true, .early = true}});
            const Body body = program::runToEnd(readStream(peer.address(), longBody));
            CPPUNIT_ASSERT_EQUAL(sample.content, body.value_or("broken off"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedAnswerTest);

} // namespace lavenderthread::transport
