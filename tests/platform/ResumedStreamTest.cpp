// Tests what callers of streams get, byte for byte, when a run is lost and when another resumes it.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <deque>
#include <future>
#include <string>
#include <thread>
#include <utility>

namespace lavenderthread::platform {

namespace {

using fakes::RawAnswer;
using Kind = state::routes::CallKind;

const std::string commonHead = "Request-Id: r1\r\nResponse-Seal: seal\r\n";

// Breaks off after two events.
RawAnswer streamThatBreaksOff()
{
    return {"HTTP/1.1 200 OK\r\n" + commonHead
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(eventsUpTo(2))};
}

RawAnswer restOfTheStream()
{
    const std::string rest = eventsUpTo(4).substr(eventsUpTo(2).size());
    return {"HTTP/1.1 200 OK\r\n" + commonHead
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(rest)
            + "0\r\n\r\n"};
}

RawAnswer failure(unsigned status)
{
    return {"HTTP/1.1 " + std::to_string(status) + " Some Reason\r\n" + commonHead
            + "Content-Length: 9\r\n\r\nits error"};
}

enum class Framing { Length, Chunks, Connection };
constexpr std::array framings{Framing::Length, Framing::Chunks, Framing::Connection};
const std::string eventStream = "Content-Type: text/event-stream\r\n";

// An answer that ends in order.
RawAnswer answerOf(unsigned status, const std::string &typeLine, Framing framing,
                   const std::string &body)
{
    const std::string head =
            "HTTP/1.1 " + std::to_string(status) + " Some Reason\r\n" + commonHead + typeLine;
    switch (framing) {
    case Framing::Length:
        return {head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    case Framing::Chunks:
        return {head + "Transfer-Encoding: chunked\r\n\r\n"
                + (body.empty() ? std::string() : chunk(body)) + "0\r\n\r\n"};
    case Framing::Connection:
        break;
    }
    return {head + "\r\n" + body};
}

} // namespace

class ResumedStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumedStreamTest);
    CPPUNIT_TEST(failureOfAResumedRunIsNoPartOfTheStream);
    CPPUNIT_TEST(failureOfAResumedRunAtAPeerIsNoPartOfTheStream);
    CPPUNIT_TEST(runWithoutANextEventDoesNotEndTheStream);
    CPPUNIT_TEST(runOfAPeerWithoutANextEventDoesNotEndTheStream);
    CPPUNIT_TEST(emptyRunEndsTheStreamByItsLastChunk);
    CPPUNIT_TEST(answerOfAnotherStatusIsNoPartOfTheStream);
    CPPUNIT_TEST(answerOfAnotherTypeIsNoPartOfTheStream);
    CPPUNIT_TEST(runThatRepeatsTheLastEventMayEndTheStream);
    CPPUNIT_TEST(streamWithoutIdsIsNotBegunAgain);
    CPPUNIT_TEST(streamThatBreaksOffIsResumed);
    CPPUNIT_TEST(eventsBeforeOneThatMayNotBeKeptArePassedOn);
    CPPUNIT_TEST(streamHasTheStatusOfItsEndpoint);
    CPPUNIT_TEST_SUITE_END();

    static std::string call(std::deque<RawAnswer> answers, bool throughPeer = false,
                            program::AnswerBuffers::Settings buffers = {})
    {
        return RawCall(Kind::Stream, std::move(answers), throughPeer, buffers).bytes();
    }

    static std::size_t headsIn(const std::string &bytes)
    {
        std::size_t heads = 0;
        for (std::size_t at = bytes.find("HTTP/1.1 "); at != std::string::npos;
             at = bytes.find("HTTP/1.1 ", at + 1))
            ++heads;
        return heads;
    }

    static void checkCutBehindTwoEvents(const std::string &bytes)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(1), headsIn(bytes));
        CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with(chunk(eventsUpTo(2))));
    }

    // In place of the rest of a stream, at the entry's own endpoint or at a peer's.
    static void checkNoPartOfTheStream(const RawAnswer &answer)
    {
        for (const bool throughPeer : {false, true}) {
            const std::string bytes = call({streamThatBreaksOff(), answer}, throughPeer);
            checkCutBehindTwoEvents(bytes);
        }
    }

    static void checkWhole(const std::string &bytes)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::size_t(1), headsIn(bytes));
        CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with("0\r\n\r\n"));
        for (int id = 1; id <= 4; ++id)
            CPPUNIT_ASSERT_MESSAGE(bytes, bytes.find("id: " + std::to_string(id) + "\n")
                                                  != std::string::npos);
    }

public:
    // Guards against the head and body of an endpoint's failure in the middle of a caller's stream.
    void failureOfAResumedRunIsNoPartOfTheStream()
    {
        for (const unsigned status : {302U, 400U, 404U, 500U})
            checkCutBehindTwoEvents(call({streamThatBreaksOff(), failure(status)}));
    }

    // Guards against the same where a peer has the request and resumes the stream.
    void failureOfAResumedRunAtAPeerIsNoPartOfTheStream()
    {
        for (const unsigned status : {302U, 400U, 404U, 500U})
            checkCutBehindTwoEvents(call({streamThatBreaksOff(), failure(status)}, true));
    }

    // Guards against a stream that lacks events and ends as if it were complete, since the run that
    // was to resume it ended in order without one that the caller lacks.
    void runWithoutANextEventDoesNotEndTheStream()
    {
        for (const Framing framing : framings) {
            for (const std::string &body :
                 {std::string("data: its error\n\n"), std::string("its error\n\n"),
                  std::string("{\"error\":\"busy\"}\n\n"), std::string("event: error\n\n"),
                  eventsUpTo(1)})
                checkNoPartOfTheStream(answerOf(200, eventStream, framing, body));
            if (framing == Framing::Chunks) // nothing is left, see below
                continue;
            for (const std::string &body : {std::string(), std::string(": ping\n\n")})
                checkNoPartOfTheStream(answerOf(200, eventStream, framing, body));
        }
    }

    // Guards against the same where the stream has begun at the entry, and a peer resumes it.
    void runOfAPeerWithoutANextEventDoesNotEndTheStream()
    {
        RawAnswer first = streamThatBreaksOff();
        first.reset = true;
        first.beforeReset = std::chrono::milliseconds(200);
        constexpr std::chrono::milliseconds untilPathIsLost{80};
        for (const RawAnswer &answer : {answerOf(200, eventStream, Framing::Length, ""),
                                        answerOf(200, eventStream, Framing::Length, ": ping\n\n"),
                                        answerOf(200, eventStream, Framing::Chunks, eventsUpTo(1)),
                                        answerOf(200, eventStream, Framing::Chunks, "error\n\n"),
                                        answerOf(204, eventStream, Framing::Length, "")}) {
            fakes::RawEndpoint endpoint({first, answer});
            RelayFixture fixture(Kind::Stream, {}, false, {PeerBehaviour::Serves});
            fixture.publishRoutes(Kind::Stream, false, true);
            fixture.announce(endpoint.address(), 2);
            auto bytes = std::async(std::launch::async, [&fixture] { return fixture.callRaw(); });
            std::this_thread::sleep_for(untilPathIsLost);
            fixture.pathLost = true;
            checkCutBehindTwoEvents(bytes.get());
            CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
        }
    }

    void emptyRunEndsTheStreamByItsLastChunk()
    {
        for (const std::string &body : {std::string(), std::string(": ping\n\n")}) {
            const std::string bytes = call(
                    {streamThatBreaksOff(), answerOf(200, eventStream, Framing::Chunks, body)});
            CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with(chunk(eventsUpTo(2)) + "0\r\n\r\n"));
        }
    }

    // Guards against the same, and against foreign bytes in a stream, where the run that was to
    // resume it is answered with another status.
    void answerOfAnotherStatusIsNoPartOfTheStream()
    {
        constexpr std::array statuses{201U, 202U, 203U, 204U, 205U, 206U, 226U, 299U,
                                      300U, 304U, 399U, 400U, 429U, 499U, 500U, 599U};
        for (const unsigned status : statuses) {
            const Framing framing = framings.at(status % framings.size());
            for (const std::string &body : {std::string(), eventsUpTo(4)})
                checkNoPartOfTheStream(answerOf(status, eventStream, framing, body));
        }
    }

    // Guards against a page or an error that comes with a 200 in the middle of a stream.
    void answerOfAnotherTypeIsNoPartOfTheStream()
    {
        for (const std::string &type :
             {std::string(), std::string("Content-Type: text/html; charset=utf-8\r\n")}) {
            for (const Framing framing : framings) {
                for (const std::string &body : {std::string("its\n\nerror\n\n"), eventsUpTo(4)})
                    checkNoPartOfTheStream(answerOf(200, type, framing, body));
            }
        }
    }

    void runThatRepeatsTheLastEventMayEndTheStream()
    {
        const std::string type = "content-type: Text/Event-Stream; charset=utf-8\r\n";
        for (const Framing framing : {Framing::Length, Framing::Chunks}) {
            for (const int last : {2, 4}) {
                const std::string bytes = call(
                        {streamThatBreaksOff(), answerOf(200, type, framing, eventsUpTo(last))});
                CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with("\r\n0\r\n\r\n"));
                const std::string lastEvent = "id: " + std::to_string(last) + "\n";
                CPPUNIT_ASSERT_MESSAGE(bytes, bytes.find(lastEvent) != std::string::npos);
            }
        }
    }

    // Guards against events that come twice: another run of a stream without ids begins anew.
    void streamWithoutIdsIsNotBegunAgain()
    {
        const std::string two = "data: x\n\ndata: y\n\n";
        RawAnswer first = streamThatBreaksOff();
        first.bytes = first.bytes.substr(0, first.bytes.find("\r\n\r\n") + 4) + chunk(two);
        const std::string bytes =
                call({first, answerOf(200, eventStream, Framing::Chunks, two + "data: z\n\n")});
        CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with(chunk(two)));
    }

    void streamThatBreaksOffIsResumed()
    {
        checkWhole(call({streamThatBreaksOff(), restOfTheStream()}));
    }

    // Guards against a stream without the events that were read together with the beginning of one
    // that may not be kept: the next run goes on behind them.
    void eventsBeforeOneThatMayNotBeKeptArePassedOn()
    {
        RawAnswer first = streamThatBreaksOff();
        const std::size_t head = first.bytes.find("\r\n\r\n") + 4;
        first.bytes = first.bytes.substr(0, head) + chunk(eventsUpTo(2) + "id: 3\ndata: ");
        program::AnswerBuffers::Settings noRoom;
        noRoom.uncounted = 0;
        noRoom.maximumCounted = 0;
        checkWhole(call({first, restOfTheStream()}, false, noRoom));
    }

    // Guards against a 200 in place of another success.
    void streamHasTheStatusOfItsEndpoint()
    {
        RawAnswer created = streamThatBreaksOff();
        created.bytes.replace(0, std::string_view("HTTP/1.1 200 OK").size(),
                              "HTTP/1.1 201 Created");
        created.bytes += "0\r\n\r\n";
        for (const bool throughPeer : {false, true}) {
            const std::string bytes = call({created}, throughPeer);
            CPPUNIT_ASSERT_MESSAGE(bytes, bytes.starts_with("HTTP/1.1 201 "));
            CPPUNIT_ASSERT_MESSAGE(bytes, bytes.ends_with("\r\n0\r\n\r\n"));
            const RawAnswer empty{"HTTP/1.1 204 No Content\r\n" + commonHead + "\r\n"};
            const std::string nothing = call({empty}, throughPeer);
            CPPUNIT_ASSERT_MESSAGE(nothing, nothing.starts_with("HTTP/1.1 204 "));
            CPPUNIT_ASSERT_MESSAGE(nothing, nothing.ends_with("\r\n\r\n"));
            CPPUNIT_ASSERT_MESSAGE(nothing, nothing.find("chunked") == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamTest);

} // namespace lavenderthread::platform
