// Tests what callers of streams get, byte for byte, when a run is lost and when another resumes it.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>
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

} // namespace

class ResumedStreamTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumedStreamTest);
    CPPUNIT_TEST(failureOfAResumedRunIsNoPartOfTheStream);
    CPPUNIT_TEST(failureOfAResumedRunAtAPeerIsNoPartOfTheStream);
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
