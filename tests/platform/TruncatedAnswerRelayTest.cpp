// Answers of endpoints and peers that end within their head or framing, through the relay.
#include "RawCall.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::platform {

namespace {

using Kind = state::routes::CallKind;
using fakes::RawAnswer;
using fakes::RawEndpoint;

const std::string commonHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n";
const std::string content = "the endpoint's bytes";

std::string answerWithLength()
{
    return commonHead + "Content-Length: 20\r\n\r\n" + content;
}

std::string answerWithChunks()
{
    return commonHead + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + content
           + "\r\n0\r\nTrailing: 1\r\n\r\n";
}

std::string unframedAnswer()
{
    return commonHead + "Connection: close\r\n\r\n" + content;
}

// Each event as a chunk.
std::string streamBetween(int first, int last)
{
    std::string bytes =
            commonHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = first; event <= last; ++event)
        bytes += "f\r\n" + eventsUpTo(event).substr(eventsUpTo(event - 1).size()) + "\r\n";
    return bytes + "0\r\nTrailing: 1\r\n\r\n";
}

std::string streamOf(int events)
{
    return streamBetween(1, events);
}

// Beginnings of the answer that end behind each of these parts; the last parts stand in the framing
// of the body.
std::vector<std::string> cutsOf(const std::string &answer)
{
    const std::size_t head = answer.find("\r\n\r\n");
    std::vector<std::string> cuts{answer.substr(0, 6),        answer.substr(0, 12),
                                  answer.substr(0, 17),       answer.substr(0, 25),
                                  answer.substr(0, head - 1), answer.substr(0, head),
                                  answer.substr(0, head + 2), answer.substr(0, head + 3)};
    const bool unframed = answer.find("Connection: close") != std::string::npos;
    if (unframed)
        return cuts;
    cuts.push_back(answer.substr(0, head + 4));
    cuts.push_back(answer.substr(0, head + 5));
    for (const char *part :
         {"endpoint's", "data: x", "\r\n0", "\r\n0\r\n", "Trail", "Trailing: 1\r\n"}) {
        const std::size_t at = answer.rfind(part);
        if (at != std::string::npos)
            cuts.push_back(answer.substr(0, at + std::string_view(part).size()));
    }
    return cuts;
}

state::Result<protocol::HttpResponse> callWith(Kind kind, std::deque<RawAnswer> answers,
                                               bool throughPeer = false)
{
    return RawCall(kind, std::move(answers), throughPeer).answer();
}

void checkNoSuccess(const std::string &sent, const state::Result<protocol::HttpResponse> &answer)
{
    const std::string status = answer ? std::to_string(answer.value().status) : "none";
    CPPUNIT_ASSERT_MESSAGE(sent + " gave " + status, !answer || answer.value().status == 502);
}

void checkWhole(const std::string &sent, const state::Result<protocol::HttpResponse> &answer,
                const std::string &expected)
{
    CPPUNIT_ASSERT_MESSAGE(sent, answer.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, 200U, answer.value().status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(sent, expected, answer.value().body);
}

} // namespace

class TruncatedAnswerRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TruncatedAnswerRelayTest);
    CPPUNIT_TEST(plainAnswerCutInItsHeadIsNoSuccess);
    CPPUNIT_TEST(idempotentCallIsRepeatedAfterACutHead);
    CPPUNIT_TEST(streamCutInItsHeadOrFramingIsNotWhole);
    CPPUNIT_TEST(streamCutInItsHeadOrFramingIsResumed);
    CPPUNIT_TEST(cutAnswersThroughPeersAreNoSuccess);
    CPPUNIT_TEST(peerThatEndsInsideItsHeadIsNoSuccess);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a 200 with an empty or short body, framed as whole, for an endpoint that
    // stopped inside its answer's head; and against a second run of a call that may have run.
    void plainAnswerCutInItsHeadIsNoSuccess()
    {
        for (const std::string &whole :
             {answerWithLength(), answerWithChunks(), unframedAnswer()}) {
            for (const std::string &cut : cutsOf(whole)) {
                for (const bool reset : {false, true})
                    checkNoSuccess(cut, callWith(Kind::NonIdempotent, {{cut, reset}, {whole}}));
            }
        }
    }

    void idempotentCallIsRepeatedAfterACutHead()
    {
        for (const std::string &whole :
             {answerWithLength(), answerWithChunks(), unframedAnswer()}) {
            for (const std::string &cut : cutsOf(whole)) {
                checkWhole(cut, callWith(Kind::Idempotent, {{cut}, {whole}}), content);
                checkNoSuccess(cut, callWith(Kind::Idempotent, {{cut}, {cut}}));
            }
        }
    }

    // Guards against a stream that looks complete although its last chunk never came.
    void streamCutInItsHeadOrFramingIsNotWhole()
    {
        for (const std::string &cut : cutsOf(streamOf(3))) {
            for (const bool reset : {false, true})
                checkNoSuccess(cut, callWith(Kind::Stream, {{cut, reset}, {cut, reset}}));
        }
    }

    void streamCutInItsHeadOrFramingIsResumed()
    {
        const std::string whole = streamOf(3);
        for (const std::string &cut : cutsOf(whole)) {
            int passed = 0;
            while (cut.find("id: " + std::to_string(passed + 1) + "\ndata: x\n\n")
                   != std::string::npos)
                ++passed;
            const std::string rest = streamBetween(passed + 1, 3);
            checkWhole(cut, callWith(Kind::Stream, {{cut}, {rest}}), eventsUpTo(3));
        }
    }

    void cutAnswersThroughPeersAreNoSuccess()
    {
        for (const std::string &cut : cutsOf(answerWithLength()))
            checkNoSuccess(cut, callWith(Kind::NonIdempotent, {{cut}}, true));
        for (const std::string &cut : cutsOf(streamOf(3)))
            checkNoSuccess(cut, callWith(Kind::Stream, {{cut}, {cut}}, true));
    }

    // Guards against the same where the peer that a request was handed to ends inside its head.
    void peerThatEndsInsideItsHeadIsNoSuccess()
    {
        const std::string result = std::string(protocol::peerResultHeader) + ": answer\r\n";
        for (std::string whole : {answerWithLength(), answerWithChunks()}) {
            whole.insert(whole.find("Request-Id"), result);
            for (const std::string &cut : cutsOf(whole)) {
                RawEndpoint peer({{cut}});
                RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Answers});
                fixture.addPeerAt(peer.address());
                fixture.pathLost = true;
                checkNoSuccess(cut, fixture.call());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(cut, 0, fixture.arrivals.load());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TruncatedAnswerRelayTest);

} // namespace lavenderthread::platform
