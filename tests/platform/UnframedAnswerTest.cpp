// Tests answers of endpoints that have neither a length nor chunks, and end with their connection:
// whole ones are passed on as whole, and those that broke off never look so.
#include "RelayFixture.h"

#include "fakes/RawEndpoint.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace lavenderthread::platform {

namespace {

using fakes::RawAnswer;
using fakes::RawEndpoint;

std::string headOf(const char *contentType)
{
    return std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: seal\r\n"
                       "Content-Type: ")
           + contentType + "\r\nConnection: close\r\n\r\n";
}

std::string eventsBetween(int first, int last)
{
    return eventsUpTo(last).substr(eventsUpTo(first - 1).size());
}

} // namespace

class UnframedAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnframedAnswerTest);
    CPPUNIT_TEST(wholeStreamIsWhole);
    CPPUNIT_TEST(streamThatEndsInsideAnEventIsResumed);
    CPPUNIT_TEST(streamThatIsResetBetweenEventsIsResumed);
    CPPUNIT_TEST(streamThatBrokeOffIsNotWhole);
    CPPUNIT_TEST(streamWithoutAnEventIsNoSuccess);
    CPPUNIT_TEST(wholeBodyIsWhole);
    CPPUNIT_TEST(bodyThatIsResetIsNoSuccess);
    CPPUNIT_TEST(answersThroughPeersEndAlike);
    CPPUNIT_TEST_SUITE_END();

    using Kind = state::routes::CallKind;

    struct Setting
    {
        Kind kind = Kind::Stream;
        std::deque<RawAnswer> answers;
        bool throughPeer = false;
    };

    static state::Result<protocol::HttpResponse> call(const Setting &setting)
    {
        const char *type = setting.kind == Kind::Stream ? "text/event-stream" : "text/plain";
        std::deque<RawAnswer> answers = setting.answers;
        for (RawAnswer &answer : answers)
            answer.bytes.insert(0, headOf(type));
        RawEndpoint endpoint(std::move(answers));
        std::vector<PeerBehaviour> peers;
        if (setting.throughPeer)
            peers.push_back(PeerBehaviour::Serves);
        RelayFixture fixture(setting.kind, {}, false, peers);
        constexpr int enoughForARetry = 2;
        fixture.announce(endpoint.address(), enoughForARetry);
        fixture.pathLost = setting.throughPeer;
        return fixture.call();
    }

    static void checkWhole(const Setting &setting, const std::string &expected)
    {
        const auto answer = call(setting);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(expected, answer.value().body);
    }

    static void checkNoSuccess(const Setting &setting)
    {
        const auto answer = call(setting);
        CPPUNIT_ASSERT(!answer || answer.value().status >= 500);
    }

public:
    void wholeStreamIsWhole() { checkWhole({Kind::Stream, {{eventsUpTo(4)}}}, eventsUpTo(4)); }

    // Guards against passing on half an event, and against ending the answer there as a success.
    void streamThatEndsInsideAnEventIsResumed()
    {
        checkWhole({Kind::Stream, {{eventsUpTo(2) + "id: 3\nda"}, {eventsBetween(3, 4)}}},
                   eventsUpTo(4));
    }

    void streamThatIsResetBetweenEventsIsResumed()
    {
        checkWhole({Kind::Stream, {{eventsUpTo(2), true}, {eventsBetween(3, 4)}}}, eventsUpTo(4));
    }

    void streamThatBrokeOffIsNotWhole()
    {
        const RawAnswer inside{"id: 1\nda"};
        checkNoSuccess({Kind::Stream, {inside, inside}});
        const RawAnswer behindTwo{eventsUpTo(2) + "id: 3\nda"};
        checkNoSuccess({Kind::Stream, {behindTwo, behindTwo}});
    }

    // Guards against an empty success for an engine that ended before its first event.
    void streamWithoutAnEventIsNoSuccess()
    {
        checkNoSuccess({Kind::Stream, {{""}, {""}}});
        checkWhole({Kind::Stream, {{""}, {eventsUpTo(3)}}}, eventsUpTo(3));
    }

    void wholeBodyIsWhole()
    {
        checkWhole({Kind::Idempotent, {{"the endpoint's bytes"}}}, "the endpoint's bytes");
        checkWhole({Kind::NonIdempotent, {{"the endpoint's bytes"}}}, "the endpoint's bytes");
    }

    void bodyThatIsResetIsNoSuccess()
    {
        checkNoSuccess({Kind::NonIdempotent, {{"the endpo", true}}});
        checkNoSuccess({Kind::Idempotent, {{"the endpo", true}, {"the endpo", true}}});
        checkWhole({Kind::Idempotent, {{"the endpo", true}, {"the endpoint's bytes"}}},
                   "the endpoint's bytes");
    }

    void answersThroughPeersEndAlike()
    {
        checkWhole({Kind::Stream, {{eventsUpTo(4)}}, true}, eventsUpTo(4));
        checkWhole({Kind::Idempotent, {{"the endpoint's bytes"}}, true}, "the endpoint's bytes");
        const RawAnswer behindTwo{eventsUpTo(2) + "id: 3\nda"};
        checkNoSuccess({Kind::Stream, {behindTwo, behindTwo}, true});
        checkNoSuccess({Kind::Stream, {{""}, {""}}, true});
        checkNoSuccess({Kind::NonIdempotent, {{"the endpo", true}}, true});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnframedAnswerTest);

} // namespace lavenderthread::platform
