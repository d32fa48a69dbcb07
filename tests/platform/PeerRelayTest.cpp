// Tests how a relay without paths to the endpoints serves its callers through peers, and what it
// tells them when a peer fails with a request.
#include "RelayFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::platform {

class PeerRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRelayTest);
    CPPUNIT_TEST(entryWithoutPathServesThroughPeer);
    CPPUNIT_TEST(entryWithPathUsesNoPeer);
    CPPUNIT_TEST(peerThatCannotServeIsPassedOver);
    CPPUNIT_TEST(refusalsOfPeersUseUpNoAttempts);
    CPPUNIT_TEST(nonIdempotentRequestLostAtPeerIsNotSentAgain);
    CPPUNIT_TEST(idempotentRequestLostAtPeerIsSentToAnother);
    CPPUNIT_TEST(streamLostAtPeerIsResumedAtAnother);
    CPPUNIT_TEST(failureOfEndpointPassesThroughUnchanged);
    CPPUNIT_TEST(requestIsNotHandedOnTwice);
    CPPUNIT_TEST(enginesThatAreLeftServeAfterAllPeersRefused);
    CPPUNIT_TEST(requestDoesNotWaitForASecondFailedConnection);
    CPPUNIT_TEST(doubtfulPathServesWhatHasNotFailed);
    CPPUNIT_TEST(enginesServeAfterPeersRefusedInDoubt);
    CPPUNIT_TEST(peerThatLosesItsPathHandsTheRequestBack);
    CPPUNIT_TEST(callerCloseReachesEndpointThroughPeer);
    CPPUNIT_TEST(pathLostDuringRequestMovesItToPeer);
    CPPUNIT_TEST(forgedHandoverIsRefused);
    CPPUNIT_TEST_SUITE_END();

    using Kind = state::routes::CallKind;
    using Peers = std::vector<PeerBehaviour>;

    // Peers are asked in random order.
    static constexpr int rounds = 8;

    static void checkServed(Kind kind, Behaviour endpoint, const Peers &peers, bool engines)
    {
        for (int round = 0; round < rounds; ++round) {
            RelayFixture fixture(kind, {endpoint}, engines, peers);
            fixture.pathLost = true;
            const auto answer = fixture.call();
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
            const auto &headers = answer.value().headers;
            CPPUNIT_ASSERT(headers.find("Response-Seal").has_value());
            CPPUNIT_ASSERT(!headers.find(protocol::peerResultHeader).has_value());
            if (kind == Kind::Stream)
                CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        }
    }

    // Of all placements, also those of peers.
    static void failFirstPlacement(RelayFixture &fixture)
    {
        fixture.beforePlacement = [&fixture, placements = 0]() mutable {
            fixture.failFirstConnection = placements++ == 0;
        };
    }

public:
    // Guards against incident 08: an entry whose own links are gone refuses everything.
    void entryWithoutPathServesThroughPeer()
    {
        checkServed(Kind::NonIdempotent, Behaviour::Answers, {PeerBehaviour::Serves}, false);
        checkServed(Kind::Idempotent, Behaviour::Answers, {PeerBehaviour::Serves}, false);
        checkServed(Kind::Stream, Behaviour::Streams, {PeerBehaviour::Serves}, true);
    }

    void entryWithPathUsesNoPeer()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers}, false,
                             {PeerBehaviour::Serves});
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.handedOver.load());
    }

    // Guards against a refusal because the first peer is cut off too, stops, or is gone.
    void peerThatCannotServeIsPassedOver()
    {
        using enum PeerBehaviour;
        for (const PeerBehaviour first : {IsLeaving, HasNoPath, IsUnreachable})
            checkServed(Kind::NonIdempotent, Behaviour::Answers, {first, Serves}, false);
    }

    // Guards against a refusal after three peers that have lost the service too, while a fourth one
    // serves it.
    void refusalsOfPeersUseUpNoAttempts()
    {
        using enum PeerBehaviour;
        for (int round = 0; round < 4 * rounds; ++round) {
            RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Answers}, false,
                                 {HasNoPath, HasNoPath, HasNoPath, Serves});
            fixture.pathLost = true;
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
            CPPUNIT_ASSERT(fixture.servesThroughPeer());
        }
    }

    // Guards against a second run, and against a false "not run", when a peer dies with a request
    // that it may have sent.
    void nonIdempotentRequestLostAtPeerIsNotSentAgain()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Answers}, false,
                             {PeerBehaviour::Dies, PeerBehaviour::Dies});
        fixture.pathLost = true;
        CPPUNIT_ASSERT_EQUAL(502U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }

    void idempotentRequestLostAtPeerIsSentToAnother()
    {
        checkServed(Kind::Idempotent, Behaviour::Answers,
                    {PeerBehaviour::Dies, PeerBehaviour::Serves}, false);
    }

    void streamLostAtPeerIsResumedAtAnother()
    {
        checkServed(Kind::Stream, Behaviour::Streams,
                    {PeerBehaviour::DiesInStream, PeerBehaviour::Serves}, true);
    }

    void failureOfEndpointPassesThroughUnchanged()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Fails}, false,
                             {PeerBehaviour::Serves});
        fixture.pathLost = true;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(500U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(std::string("the endpoint's bytes"), answer.value().body);
        CPPUNIT_ASSERT(answer.value().headers.find("Response-Seal").has_value());
    }

    // Guards against requests that travel between entries which are all cut off: without a peer
    // that has a path, the entry tries its own.
    void requestIsNotHandedOnTwice()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers}, false,
                             {PeerBehaviour::HasNoPath, PeerBehaviour::HasNoPath});
        fixture.pathLost = true;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(2, fixture.handedOver.load());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
    }

    // Guards against refusing everything while most engines have crashed and all entries believe
    // that their own paths are lost.
    void enginesThatAreLeftServeAfterAllPeersRefused()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true,
                             {PeerBehaviour::HasNoPath, PeerBehaviour::HasNoPath});
        fixture.pathLost = true;
        fixture.failFirstConnection = true;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(2, fixture.handedOver.load());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
    }

    // Guards against a request that pays for one failed connection after the other while its entry
    // is not sure yet that its links are gone.
    void requestDoesNotWaitForASecondFailedConnection()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true, {PeerBehaviour::Serves});
        fixture.pathDoubtful = true;
        failFirstPlacement(fixture);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
        CPPUNIT_ASSERT(fixture.failures.empty());
    }

    // Guards against an entry that hands everything over because one endpoint has crashed.
    void doubtfulPathServesWhatHasNotFailed()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true, {PeerBehaviour::Serves});
        fixture.pathDoubtful = true;
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.handedOver.load());
    }

    // Guards against a refusal while engines are left and all peers are in doubt too.
    void enginesServeAfterPeersRefusedInDoubt()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true, {PeerBehaviour::HasNoPath});
        fixture.pathDoubtful = true;
        failFirstPlacement(fixture);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT(!fixture.namesAreReused); // leases are named after them
    }

    // Guards against a peer that is cut off too, does not know it, and refuses for good what
    // another one would serve.
    void peerThatLosesItsPathHandsTheRequestBack()
    {
        using enum PeerBehaviour;
        checkServed(Kind::NonIdempotent, Behaviour::Answers, {LosesPath, Serves}, false);
        checkServed(Kind::Idempotent, Behaviour::Answers, {LosesPath, LosesPath, Serves}, false);
    }

    // Guards against work that goes on at an endpoint after its caller has left another entry.
    void callerCloseReachesEndpointThroughPeer()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::NeverAnswers}, false,
                             {PeerBehaviour::Serves});
        fixture.pathLost = true;
        const auto took = fixture.closeReachesEndpointAfter();
        CPPUNIT_ASSERT(took.has_value());
        CPPUNIT_ASSERT(*took < std::chrono::milliseconds(100));
    }

    // The links go while the request is at an engine, which cuts it off.
    void pathLostDuringRequestMovesItToPeer()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::CutsInsideAnEvent, Behaviour::Streams}, true,
                             {PeerBehaviour::Serves});
        fixture.losePathAtArrival = true;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fixture.resumedBehind);
        CPPUNIT_ASSERT_EQUAL(1, fixture.handedOver.load());
    }

    // Guards against callers that reach the peers' listener and pass for another account.
    void forgedHandoverIsRefused()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers}, false,
                             {PeerBehaviour::Serves});
        protocol::RelayedRequest forged;
        forged.request = RelayFixture::request();
        forged.service = service;
        const auto answer = fixture.callPeer(
                protocol::sealRelayedRequest(protocol::SealKeys{{"another key"}}, forged));
        CPPUNIT_ASSERT_EQUAL(401U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRelayTest);

} // namespace lavenderthread::platform
