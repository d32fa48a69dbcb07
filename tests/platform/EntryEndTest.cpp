// What callers get whose requests are still open when their entry has to end.
#include "RelayFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace lavenderthread::platform {

using state::routes::CallKind;
using std::chrono::milliseconds;

class EntryEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryEndTest);
    CPPUNIT_TEST(requestAtAnEndpointIsAnsweredUnknown);
    CPPUNIT_TEST(requestThatWaitsForEndpointsIsAnsweredNotRun);
    CPPUNIT_TEST(streamInProgressGoesOn);
    CPPUNIT_TEST(requestThatAPeerHasIsAnsweredUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection that is closed without an answer.
    void requestAtAnEndpointIsAnsweredUnknown()
    {
        for (const CallKind kind :
             {CallKind::Stream, CallKind::Idempotent, CallKind::NonIdempotent}) {
            RelayFixture fixture(kind, {Behaviour::NeverAnswers}, kind == CallKind::Stream);
            const auto answer = this->callAndEnd(fixture, RequestStage::Sent);
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(502U, answer.value().status);
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load()); // not sent elsewhere
        }
    }

    void requestThatWaitsForEndpointsIsAnsweredNotRun()
    {
        RelayFixture fixture(CallKind::NonIdempotent, {Behaviour::Answers});
        fixture.withdrawEndpoints();
        const auto answer = this->callAndEnd(fixture, RequestStage::Endpoints);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(std::string("0.050"),
                             std::string(answer.value().headers.find("Retry-After").value_or("")));
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }

    // Its last events may still come before the process ends.
    void streamInProgressGoesOn()
    {
        RelayFixture fixture(CallKind::Stream, {Behaviour::PausesLong}, true);
        const auto answer = this->callAndEnd(fixture, RequestStage::Answering);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
    }

    void requestThatAPeerHasIsAnsweredUnknown()
    {
        RelayFixture fixture(CallKind::Idempotent, {Behaviour::NeverAnswers}, false,
                             {PeerBehaviour::Serves});
        fixture.pathLost = true;
        const auto answer = this->callAndEnd(fixture, RequestStage::Handed);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(502U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
    }

private:
    using RequestStage = program::RequestStage;

    // Ends the open requests once one is in that stage.
    static state::Result<protocol::HttpResponse> callAndEnd(RelayFixture &fixture,
                                                            RequestStage stage)
    {
        auto answer = std::async(std::launch::async, [&fixture] { return fixture.call(); });
        const state::Instant limit = program::monotonicNow() + std::chrono::seconds(2);
        while (fixture.openRequests->countByStage()[std::size_t(stage)] == 0
               && program::monotonicNow() < limit)
            std::this_thread::sleep_for(milliseconds(1));
        const bool atEndpoint = stage == RequestStage::Sent || stage == RequestStage::Handed;
        while (atEndpoint && fixture.arrivals == 0 && program::monotonicNow() < limit)
            std::this_thread::sleep_for(milliseconds(1));
        CPPUNIT_ASSERT(program::monotonicNow() < limit);
        fixture.openRequests->endAll();
        return answer.get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryEndTest);

} // namespace lavenderthread::platform
