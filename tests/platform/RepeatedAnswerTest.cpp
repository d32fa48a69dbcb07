// Tests answers that break off and are then given again, from the start, on the same connection.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::platform {

namespace {

using fakes::RawAnswer;
using Kind = state::routes::CallKind;

enum class Framing { Length, Chunks, Connection };
constexpr std::array framings{Framing::Length, Framing::Chunks, Framing::Connection};

constexpr std::size_t bodyBytes = 800;
constexpr int eventsOfStream = 4;

// No part of it stands in it twice.
std::string numberedBody()
{
    std::string body;
    for (int line = 0; body.size() < bodyBytes; ++line)
        body += "line " + std::to_string(line) + "\n";
    body.resize(bodyBytes);
    return body;
}

std::string longEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(200, 'x') + "\n\n";
}

std::string longEvents(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id)
        events += longEvent(id);
    return events;
}

std::string head(Framing framing, std::size_t bytes)
{
    std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n";
    if (framing == Framing::Length)
        text += "Content-Length: " + std::to_string(bytes) + "\r\n";
    if (framing == Framing::Chunks)
        text += "Transfer-Encoding: chunked\r\n";
    return text + "\r\n";
}

std::string answer(Framing framing, const std::string &body)
{
    std::string text = head(framing, body.size());
    if (framing == Framing::Chunks)
        return text + chunk(body) + "0\r\n\r\n";
    return text + body;
}

// Breaks off before the last `missing` bytes of the body; the next answer follows at once or later.
std::vector<RawAnswer> brokenOffBefore(const std::string &next, Framing framing,
                                       const std::string &body, std::size_t missing)
{
    const std::string whole = answer(framing, body);
    const std::size_t end = whole.find(body) + body.size();
    const std::string begun = missing == 0 ? whole : whole.substr(0, end - missing);
    return {RawAnswer{.bytes = begun + next}, RawAnswer{.bytes = begun, .later = next}};
}

std::vector<RawAnswer> givenAgain(Framing framing, const std::string &body, std::size_t missing)
{
    return brokenOffBefore(answer(framing, body), framing, body, missing);
}

state::Result<protocol::HttpResponse> call(Kind kind, std::deque<RawAnswer> answers,
                                           bool throughPeer = false)
{
    return RawCall(kind, std::move(answers), throughPeer).answer();
}

void checkNoSuccess(const RawAnswer &sent, const state::Result<protocol::HttpResponse> &got)
{
    CPPUNIT_ASSERT_MESSAGE(sent.bytes + "|" + sent.later, !got || got.value().status == 502);
}

void checkWhole(const RawAnswer &sent, const state::Result<protocol::HttpResponse> &got,
                const std::string &expected)
{
    CPPUNIT_ASSERT_MESSAGE(sent.bytes + "|" + sent.later, got.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(sent.bytes + "|" + sent.later, 200U, got.value().status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(sent.bytes + "|" + sent.later, expected, got.value().body);
}

} // namespace

class RepeatedAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedAnswerTest);
    CPPUNIT_TEST(bodyThatBrokeOffAndIsGivenAgainIsNoSuccess);
    CPPUNIT_TEST(callIsRepeatedIfItsAnswerBrokeOffAndIsGivenAgain);
    CPPUNIT_TEST(streamThatBrokeOffAndIsGivenAgainIsResumed);
    CPPUNIT_TEST(answerThatBreaksOffInAFailureIsNoSuccess);
    CPPUNIT_TEST(wholeAnswerThatIsGivenAgainIsWhole);
    CPPUNIT_TEST(bodyThatEndsLikeAHeadIsWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a success in which the next answer's head stands for bytes that are missing,
    // and against a part of an answer that ends as whole where the next one begins.
    void bodyThatBrokeOffAndIsGivenAgainIsNoSuccess()
    {
        for (const Framing framing : framings) {
            for (const std::size_t missing : {1U, 10U, 30U, 60U, 300U, 799U}) {
                for (const RawAnswer &sent : givenAgain(framing, numberedBody(), missing)) {
                    checkNoSuccess(sent, call(Kind::NonIdempotent, {sent}));
                    checkNoSuccess(sent, call(Kind::NonIdempotent, {sent}, true));
                }
            }
        }
    }

    void callIsRepeatedIfItsAnswerBrokeOffAndIsGivenAgain()
    {
        const std::string body = numberedBody();
        for (const Framing framing : framings) {
            for (const RawAnswer &sent : givenAgain(framing, body, 300))
                checkWhole(sent, call(Kind::Idempotent, {sent, {answer(framing, body)}}), body);
        }
    }

    // Guards against an event with a head in it, and against a stream that ends early as complete.
    void streamThatBrokeOffAndIsGivenAgainIsResumed()
    {
        const std::string events = longEvents(1, eventsOfStream);
        for (const Framing framing : framings) {
            const RawAnswer rest{answer(framing, longEvents(3, eventsOfStream))};
            // Inside the third event, and behind the second.
            for (const std::size_t missing :
                 {longEvent(1).size() * 2 - 20, longEvent(1).size() * 2}) {
                for (const RawAnswer &sent : givenAgain(framing, events, missing)) {
                    checkWhole(sent, call(Kind::Stream, {sent, rest}), events);
                    checkNoSuccess(sent, call(Kind::Stream, {sent, sent}));
                    checkNoSuccess(sent, call(Kind::Stream, {sent, sent}, true));
                }
            }
        }
    }

    // Guards against a part of an answer as a success, of an endpoint that failed in its middle and
    // said so on the same connection.
    void answerThatBreaksOffInAFailureIsNoSuccess()
    {
        const std::string failure = "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r1\r\n"
                                    "Response-Seal: seal\r\nContent-Length: 5\r\n\r\nerror";
        const std::string body = numberedBody();
        const std::string events = longEvents(1, eventsOfStream);
        for (const Framing framing : framings) {
            const RawAnswer rest{answer(framing, longEvents(3, eventsOfStream))};
            for (const RawAnswer &sent : brokenOffBefore(failure, framing, body, 300)) {
                checkNoSuccess(sent, call(Kind::NonIdempotent, {sent}));
                checkWhole(sent, call(Kind::Idempotent, {sent, {answer(framing, body)}}), body);
            }
            const std::size_t twoEvents = longEvent(1).size() * 2;
            for (const RawAnswer &sent : brokenOffBefore(failure, framing, events, twoEvents))
                checkWhole(sent, call(Kind::Stream, {sent, rest}), events);
        }
    }

    // Guards against a whole answer that is lost since it is given twice.
    void wholeAnswerThatIsGivenAgainIsWhole()
    {
        const std::string body = numberedBody();
        const std::string events = longEvents(1, eventsOfStream);
        for (const Framing framing : framings) {
            for (const RawAnswer &sent : givenAgain(framing, body, 0))
                checkWhole(sent, call(Kind::NonIdempotent, {sent}), body);
            for (const RawAnswer &sent : givenAgain(framing, events, 0))
                checkWhole(sent, call(Kind::Stream, {sent}), events);
        }
    }

    // Guards against documents with a length that are lost since their last bytes could begin a
    // head.
    void bodyThatEndsLikeAHeadIsWhole()
    {
        for (const char *end :
             {"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n"}) {
            const std::string body = numberedBody() + end;
            for (const Framing framing : {Framing::Length, Framing::Chunks}) {
                const RawAnswer sent{answer(framing, body)};
                checkWhole(sent, call(Kind::NonIdempotent, {sent}), body);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedAnswerTest);

} // namespace lavenderthread::platform
