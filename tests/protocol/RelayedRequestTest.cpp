// Tests the message by which an entry hands a request to a peer, and the head of the answer.
#include "protocol/RelayedRequest.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::protocol {

namespace {

const SealKeys keys{{"key"}};

RelayedRequest sample()
{
    RelayedRequest relayed;
    relayed.request = {"POST", "/p/x?y=1", {{"Host", "h"}, {"Request-Id", "r1"}}, "body"};
    relayed.route = "route";
    relayed.kind = state::routes::CallKind::Stream;
    relayed.resumable = true;
    relayed.firstAnswerTarget = std::chrono::milliseconds(300);
    relayed.pauseTarget = std::chrono::milliseconds(200);
    relayed.service = state::ServiceName("app");
    relayed.account = state::ClientAccountId("acme");
    relayed.age = std::chrono::milliseconds(12);
    relayed.timeLeft = std::chrono::milliseconds(9'000);
    relayed.resumeAfter = 7;
    return relayed;
}

} // namespace

class RelayedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayedRequestTest);
    CPPUNIT_TEST(requestIsUnchanged);
    CPPUNIT_TEST(corruptedMessagesAreRefused);
    CPPUNIT_TEST(outOfRangeDurationIsRefused);
    CPPUNIT_TEST(answerTellsHowTheAttemptEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestIsUnchanged()
    {
        const RelayedRequest before = sample();
        const auto after = unsealRelayedRequest(keys, sealRelayedRequest(keys, before));
        CPPUNIT_ASSERT(after.has_value());
        CPPUNIT_ASSERT(after.value() == before);
    }

    void corruptedMessagesAreRefused()
    {
        const std::string sealed = sealRelayedRequest(keys, sample());
        std::mt19937_64 random(1);
        for (int round = 0; round < 500; ++round) {
            std::string bytes = sealed;
            bytes[random() % bytes.size()] ^= char(1 + random() % 255);
            CPPUNIT_ASSERT(!unsealRelayedRequest(keys, bytes));
            CPPUNIT_ASSERT(!unsealRelayedRequest(keys, bytes.substr(0, random() % bytes.size())));
        }
        CPPUNIT_ASSERT(!unsealRelayedRequest(SealKeys{{"other"}}, sealed));
    }

    // Guards against a deadline that overflows.
    void outOfRangeDurationIsRefused()
    {
        RelayedRequest relayed = sample();
        relayed.timeLeft = std::chrono::hours(1'000'000);
        CPPUNIT_ASSERT(!unsealRelayedRequest(keys, sealRelayedRequest(keys, relayed)));
    }

    // Guards against "not run" for a request that a peer may have sent, also if an endpoint's own
    // answer says so.
    void answerTellsHowTheAttemptEnded()
    {
        const std::string name(peerResultHeader);
        for (const PeerResult each :
             {PeerResult::Answer, PeerResult::NotRun, PeerResult::Elsewhere, PeerResult::Unknown}) {
            const HttpHeaders endpoints{{name, "not-run"}, {"Request-Id", "r1"}};
            const auto retryAfter = std::chrono::milliseconds(250);
            const PeerAnswerHead head =
                    readPeerAnswer(503, withPeerResult(endpoints, each, retryAfter));
            CPPUNIT_ASSERT(head.result == each);
            CPPUNIT_ASSERT(head.retryAfter == retryAfter);
            CPPUNIT_ASSERT(!head.headers.find(name) && head.headers.find("Request-Id"));
        }
        CPPUNIT_ASSERT(readPeerAnswer(200, {}).result == PeerResult::Unknown);
        CPPUNIT_ASSERT(readPeerAnswer(503, {}).result == PeerResult::Unknown);
        CPPUNIT_ASSERT(readPeerAnswer(503, {{name, "other"}}).result == PeerResult::Unknown);
        CPPUNIT_ASSERT(readPeerAnswer(401, {}).result == PeerResult::Elsewhere);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedRequestTest);

} // namespace lavenderthread::protocol
