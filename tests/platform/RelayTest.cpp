// Tests the relay over loopback with the provider's protocol and fake endpoints that fail at each
// step at which an endpoint may fail.
#include "RelayFixture.h"

#include "program/RequestParts.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::platform {

namespace {

struct Case
{
    const char *name;
    std::vector<Behaviour> behaviours; // by order of arrival of the requests
    unsigned status;
    int arrivals;
};

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(nonIdempotentCalls);
    CPPUNIT_TEST(idempotentCalls);
    CPPUNIT_TEST(resumedStreamEqualsUninterruptedOne);
    CPPUNIT_TEST(streamThatCannotResumeIsAborted);
    CPPUNIT_TEST(stalledStreamResumesElsewhere);
    CPPUNIT_TEST(stalledStreamWithoutAttemptsLeftIsAwaited);
    CPPUNIT_TEST(callerCloseReachesEndpoint);
    CPPUNIT_TEST(timeoutIsEnforced);
    CPPUNIT_TEST(firstEngineIsAwaited);
    CPPUNIT_TEST(replacedEngineIsReported);
    CPPUNIT_TEST(replacedEnginesCostNoAttempt);
    CPPUNIT_TEST(refusedConnectionsCostNoAttempt);
    CPPUNIT_TEST(triesAtReplacedEndpointsAreBounded);
    CPPUNIT_TEST(replacedReplicaIsReportedOnceAndNotChosen);
    CPPUNIT_TEST(replicaReplacedAsAPeerReportsIsNotChosen);
    CPPUNIT_TEST(outdatedConfigurationIsNotUsed);
    CPPUNIT_TEST(unconfirmedConfigurationDoesNotAnswer404);
    CPPUNIT_TEST(callsThatNoReplicaAcceptsAreRefusedAtOnce);
    CPPUNIT_TEST(replicaThatAskedForRestGetsNothing);
    CPPUNIT_TEST(replicaThatRefusedAsFullComesLast);
    CPPUNIT_TEST(endpointThatLeavesIsReportedOnce);
    CPPUNIT_TEST(requestIsWithheldIfItsEngineHasAskedForRest);
    CPPUNIT_TEST(promptThatCrashesEnginesIsRefusedAtOnce);
    CPPUNIT_TEST(waitingPromptIsRefusedBeforeItIsSent);
    CPPUNIT_TEST(lostConnectionToOpenPortIsNoCrash);
    CPPUNIT_TEST(lostConnectionToClosedPortIsCrash);
    CPPUNIT_TEST(rejectedTrialEndsNoBlock);
    CPPUNIT_TEST(callThatCrashesReplicasIsRefusedAtOnce);
    CPPUNIT_TEST(callOnWhichAReplicaEndsIsEvidence);
    CPPUNIT_TEST(answeredTrialOfACallEndsItsBlock);
    CPPUNIT_TEST_SUITE_END();

    using Kind = state::routes::CallKind;

    static void check(Kind kind, const std::vector<Case> &cases)
    {
        for (const Case &each : cases) {
            RelayFixture fixture(kind, each.behaviours);
            const auto answer = fixture.call();
            CPPUNIT_ASSERT_MESSAGE(each.name, answer.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.status, answer.value().status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, each.arrivals, fixture.arrivals.load());
            const bool own = answer.value().headers.find("Response-Seal").has_value();
            const bool endpoints = each.status == 200 || each.status == 500;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name, endpoints, own);
        }
    }

    static protocol::HttpRequest requestWithoutRoute()
    {
        protocol::HttpRequest request = RelayFixture::request();
        request.target = "/added/x";
        return request;
    }

    static protocol::HttpRequest requestWithParts()
    {
        protocol::HttpRequest request = RelayFixture::request();
        request.headers.add("Prompt-Prefix", "5a1:40,bad:60,77:4900");
        return request;
    }

    static void reportCrashes(program::RequestGuard &guard, int count,
                              const std::vector<state::RequestPart> &parts = {0xbad})
    {
        for (int index = 0; index < count; ++index) {
            coordination::quarantine::CrashReport report;
            report.service = service;
            report.crash = {state::EndpointId("gone-" + std::to_string(index)), 1};
            report.parts = parts;
            report.ageUs = (10 - index) * 1'000'000LL;
            report.sentAgeUs = report.ageUs + 100'000;
            guard.peerReported(report);
        }
    }

    // The relay clears the prompt a moment after the caller has the end of the answer.
    static bool endsItsBlock(const program::RequestGuard &guard)
    {
        for (int waits = 0; waits < 100 && guard.blockCount() > 0; ++waits)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return guard.blockCount() == 0;
    }

public:
    // Guards against ending engine after engine with requests that have one part in their prompts.
    void promptThatCrashesEnginesIsRefusedAtOnce()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true);
        reportCrashes(fixture.requestGuard(), 3);
        fixture.requestGuard().peerStartedTrial({service, {0xbad}, 1, 0});
        const auto answer = fixture.call(requestWithParts());
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT(answer.value().headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
    }

    // Guards against sending a request that was accepted before its prompt became known.
    void waitingPromptIsRefusedBeforeItIsSent()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true);
        fixture.beforePlacement = [&fixture] {
            reportCrashes(fixture.requestGuard(), 3);
            fixture.requestGuard().peerStartedTrial({service, {0xbad}, 1, 0});
        };
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call(requestWithParts()).value().status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }

    // Guards against blaming prompts for connections that were reset while the engine runs on.
    void lostConnectionToOpenPortIsNoCrash()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Closes}, true);
        reportCrashes(fixture.requestGuard(), 2);
        fixture.call(requestWithParts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.requestGuard().blockCount());
    }

    // Guards against ending a block because an engine refused to run such a request.
    void rejectedTrialEndsNoBlock()
    {
        RelayFixture rejecting(Kind::Stream, {Behaviour::Rejects}, true);
        reportCrashes(rejecting.requestGuard(), 3);
        CPPUNIT_ASSERT_EQUAL(400U, rejecting.call(requestWithParts()).value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rejecting.requestGuard().blockCount());

        RelayFixture serving(Kind::Stream, {Behaviour::Streams}, true);
        reportCrashes(serving.requestGuard(), 3);
        CPPUNIT_ASSERT_EQUAL(200U, serving.call(requestWithParts()).value().status);
        CPPUNIT_ASSERT(endsItsBlock(serving.requestGuard()));
    }

    void lostConnectionToClosedPortIsCrash()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Ends}, true);
        reportCrashes(fixture.requestGuard(), 2);
        fixture.call(requestWithParts());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.requestGuard().blockCount());
    }

    static protocol::HttpRequest requestWithBody(std::string body)
    {
        protocol::HttpRequest request = RelayFixture::request();
        request.body = std::move(body);
        return request;
    }

    static std::vector<state::RequestPart> partsOfCall(const protocol::HttpRequest &request)
    {
        return program::partsOf(request, "h", {});
    }

    // Guards against ending replica after replica with the same call, which has no prompt.
    void callThatCrashesReplicasIsRefusedAtOnce()
    {
        for (const Kind kind : {Kind::Idempotent, Kind::NonIdempotent}) {
            RelayFixture fixture(kind, {Behaviour::Answers});
            const protocol::HttpRequest crashing = requestWithBody("crashes");
            reportCrashes(fixture.requestGuard(), 2, partsOfCall(crashing));
            fixture.requestGuard().peerStartedTrial({service, partsOfCall(crashing), 1, 0});
            const auto answer = fixture.call(crashing);
            CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
            CPPUNIT_ASSERT(answer.value().headers.find("Retry-After").has_value());
            CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call(requestWithBody("sound")).value().status);
        }
    }

    // Guards against learning nothing from the end of a replica under a plain call.
    void callOnWhichAReplicaEndsIsEvidence()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Ends});
        reportCrashes(fixture.requestGuard(), 1, partsOfCall(RelayFixture::request()));
        CPPUNIT_ASSERT_EQUAL(502U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.requestGuard().blockCount());
    }

    // Guards against refusing a call for good that happened to be under way when replicas crashed.
    void answeredTrialOfACallEndsItsBlock()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Rejects});
        reportCrashes(fixture.requestGuard(), 2, partsOfCall(RelayFixture::request()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.requestGuard().blockCount());
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call().value().status);
        CPPUNIT_ASSERT(endsItsBlock(fixture.requestGuard()));
    }

    // Guards against running a request on the service of an older configuration after a newer one
    // was acknowledged.
    void outdatedConfigurationIsNotUsed()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers});
        fixture.standing = coordination::orders::ViewStatus::Outdated;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT(answer.value().headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals.load());
    }

    // Guards against 404 for a route that was acknowledged but hasn't reached this node yet.
    void unconfirmedConfigurationDoesNotAnswer404()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::Answers});
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(requestWithoutRoute()).value().status);
        fixture.standing = coordination::orders::ViewStatus::Unconfirmed;
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call(requestWithoutRoute()).value().status);
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
    }

    // Guards against requests beyond the limits that replicas name, and against holding a call that
    // none of them accepts.
    void callsThatNoReplicaAcceptsAreRefusedAtOnce()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::NamesLimit});
        constexpr int calls = 8;
        int served = 0;
        for (int call = 0; call < calls; ++call) {
            const auto before = std::chrono::steady_clock::now();
            const auto answer = fixture.call();
            served += answer.value().status == 200 ? 1 : 0;
            if (answer.value().status == 200)
                continue;
            CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
            CPPUNIT_ASSERT(answer.value().headers.find("Retry-After").has_value());
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before
                           < std::chrono::milliseconds(300));
        }
        CPPUNIT_ASSERT_EQUAL(served, fixture.arrivals.load());
        CPPUNIT_ASSERT(served > 0 && served < calls); // each replica has named its limit once
    }

    // Guards against calls that reach a replica in the time for which it has asked for rest.
    void replicaThatAskedForRestGetsNothing()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::AsksForRest, Behaviour::Answers});
        fixture.keepOneEndpoint();
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call().value().status);
        const auto refused = fixture.call().value();
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(refused.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
    }

    // Guards against requests to an endpoint that says in its answers that it leaves, and announces
    // itself as ready.
    void endpointThatLeavesIsReportedOnce()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::Leaves});
        for (int call = 0; call < 3; ++call)
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.endpointsLeft.load());
    }

    // Guards against a request that was placed before its engine asked for rest and is sent in it.
    void requestIsWithheldIfItsEngineHasAskedForRest()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::AsksForRest, Behaviour::Streams}, true);
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(503U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT(fixture.failures.front() == program::AttemptFailure::Rests);
        CPPUNIT_ASSERT(fixture.failures.back() == program::AttemptFailure::Withheld);
    }

    // A non-idempotent request that may have run is not sent to another replica and is never
    // answered with "not run".
    void nonIdempotentCalls()
    {
        using enum Behaviour;
        check(Kind::NonIdempotent, {
                                           {"answers", {Answers, Answers}, 200, 1},
                                           {"fails", {Fails, Answers}, 500, 1},
                                           {"closes", {Closes, Answers}, 502, 1},
                                           {"crossed", {AnswersOtherRequest, Answers}, 502, 1},
                                           {"unsealed", {Unsealed, Answers}, 502, 1},
                                           {"refuses", {Refuses, Answers}, 200, 2},
                                           {"another", {IsOtherEndpoint, Answers}, 200, 2},
                                           {"four others",
                                            {IsOtherEndpoint, IsOtherEndpoint, IsOtherEndpoint,
                                             IsOtherEndpoint, Answers},
                                            200,
                                            5},
                                           {"refuses, closes", {Refuses, Closes}, 502, 2},
                                           {"all refuse", {Refuses, Refuses, Refuses}, 503, 3},
                                   });
    }

    // An idempotent request may run more than once, up to the attempts of its route. A failure is
    // returned only when no endpoint is left to try.
    void idempotentCalls()
    {
        using enum Behaviour;
        check(Kind::Idempotent, {
                                        {"fails once", {Fails, Answers}, 200, 2},
                                        {"closes once", {Closes, Answers}, 200, 2},
                                        {"crossed once", {AnswersOtherRequest, Answers}, 200, 2},
                                        {"fails twice", {Fails, Fails, Answers}, 500, 2},
                                        {"closes twice", {Closes, Closes, Answers}, 502, 2},
                                });
    }

    // The first engine fails in the middle of event 3. The caller receives one uninterrupted
    // stream.
    void resumedStreamEqualsUninterruptedOne()
    {
        RelayFixture uninterrupted(Kind::Stream, {Behaviour::Streams});
        const auto expected = uninterrupted.call();
        RelayFixture fixture(Kind::Stream, {Behaviour::CutsInsideAnEvent, Behaviour::Streams});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), expected.value().body);
        CPPUNIT_ASSERT_EQUAL(expected.value().body, answer.value().body);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fixture.resumedBehind);
    }

    // Every engine fails in the middle of an event: the answer must not look complete.
    void streamThatCannotResumeIsAborted()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::CutsInsideAnEvent, Behaviour::Closes});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT_EQUAL(std::string(transport::receiveStep), answer.error().step);
    }

    // The first engine stalls after event 2 and the second one has the rest: the caller receives it
    // without waiting for the first engine.
    void stalledStreamResumesElsewhere()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::PausesLong, Behaviour::Streams});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fixture.resumedBehind);
    }

    // Both engines stall for a while, as they do when they lose a helper. Guards against truncating
    // the caller's answer at the second stall although the engine would have continued: without an
    // attempt left, the relay has to wait.
    void stalledStreamWithoutAttemptsLeftIsAwaited()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::PausesLong, Behaviour::PausesLong});
        const auto answer = fixture.call();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals.load());
    }

    // A caller closes the connection while its request runs: the endpoint stops within 100 ms.
    void callerCloseReachesEndpoint()
    {
        RelayFixture fixture(Kind::Idempotent, {Behaviour::NeverAnswers});
        const auto took = fixture.closeReachesEndpointAfter();
        CPPUNIT_ASSERT(took.has_value());
        CPPUNIT_ASSERT(*took < std::chrono::milliseconds(100));
    }

    // Guards against rejections right after a start: the configuration is known shortly before the
    // first engine, and all requests that arrived in between were rejected.
    void firstEngineIsAwaited()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Streams}, true);
        fixture.withdrawEndpoints();
        std::thread announce([&fixture] {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            fixture.publishEndpoints();
        });
        const auto answer = fixture.call();
        announce.join();
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
    }

    // Another endpoint answers at the address of an engine that crashed. Guards against counting
    // that as a failure of a live engine, which is tried again a second later.
    void replacedEngineIsReported()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::IsOtherEndpoint}, true);
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.failures.size());
        CPPUNIT_ASSERT(fixture.failures.front() == program::AttemptFailure::Replaced);
        RelayFixture refused(Kind::Stream, {Behaviour::Refuses}, true);
        refused.call();
        CPPUNIT_ASSERT(refused.failures.front() == program::AttemptFailure::NotRun);
        // Guards against callers who can take live engines out of use for everybody.
        RelayFixture restricted(Kind::Stream, {Behaviour::IsOtherEndpoint}, true);
        protocol::HttpRequest request = RelayFixture::request();
        request.headers.add("Expect-Version", "7");
        restricted.call(request);
        CPPUNIT_ASSERT(restricted.failures.front() == program::AttemptFailure::NotRun);
    }

    // Guards against calls that go to a replica which refused another one a moment ago.
    void replicaThatRefusedAsFullComesLast()
    {
        using enum Behaviour;
        RelayFixture fixture(Kind::NonIdempotent, {Refuses, Answers, Answers});
        for (int call = 0; call < 8; ++call)
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(9, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(1, fixture.callsOfFirstEndpoint());
    }

    // A failure domain has restarted: the request meets one ended incarnation after the other.
    // Guards against a 503 after the few refusals that a request may meet.
    void replacedEnginesCostNoAttempt()
    {
        using enum Behaviour;
        RelayFixture fixture(Kind::Stream,
                             {IsOtherEndpoint, IsOtherEndpoint, IsOtherEndpoint, IsOtherEndpoint,
                              IsOtherEndpoint, IsOtherEndpoint, Streams},
                             true);
        fixture.placesAgain = true;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(7, fixture.arrivals.load());
    }

    // A failure domain is down: the request meets one closed port after the other. Guards against a
    // 503 after the fourth, and against reports that name an unreachable path in place of a
    // refusal.
    void refusedConnectionsCostNoAttempt()
    {
        RelayFixture fixture(Kind::Stream, {Behaviour::Refuses, Behaviour::Streams}, true);
        fixture.placesAgain = true;
        fixture.closedEngines = 7;
        const auto answer = fixture.call();
        CPPUNIT_ASSERT_EQUAL(200U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(eventsUpTo(6), answer.value().body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), fixture.failures.size());
        CPPUNIT_ASSERT(fixture.failures.front() == program::AttemptFailure::NotRun);
        CPPUNIT_ASSERT(fixture.failures.back() == program::AttemptFailure::ConnectionRefused);
    }

    // Guards against a request that goes round endpoints that all answer for another one, and
    // against peers that are not told of the last one.
    void triesAtReplacedEndpointsAreBounded()
    {
        RelayFixture engines(Kind::Stream, {Behaviour::IsOtherEndpoint}, true);
        engines.placesAgain = true;
        const auto answer = engines.call();
        CPPUNIT_ASSERT_EQUAL(503U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(12, engines.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(12, engines.replacedReports.load());
    }

    // Guards against calls of every entry that each find out for themselves that a replica has
    // ended, and against calls that go to it again because most replicas are suspect.
    void replacedReplicaIsReportedOnceAndNotChosen()
    {
        using enum Behaviour;
        RelayFixture fixture(Kind::NonIdempotent, {IsOtherEndpoint, IsOtherEndpoint, Answers});
        CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(3, fixture.arrivals.load());
        CPPUNIT_ASSERT_EQUAL(2, fixture.replacedShared.load());
        for (int call = 0; call < 6; ++call)
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.endpointsCalledSince(2));
        CPPUNIT_ASSERT_EQUAL(2, fixture.replacedShared.load());
    }

    void replicaReplacedAsAPeerReportsIsNotChosen()
    {
        using enum Behaviour;
        RelayFixture fixture(Kind::NonIdempotent, {Answers, Answers, Answers});
        fixture.peerReportsReplaced(0);
        fixture.peerReportsReplaced(2);
        for (int call = 0; call < 6; ++call)
            CPPUNIT_ASSERT_EQUAL(200U, fixture.call().value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.endpointsCalledSince(0));
    }

    // An endpoint never answers a request: the caller gets an answer at the route's timeout of 2 s.
    void timeoutIsEnforced()
    {
        RelayFixture fixture(Kind::NonIdempotent, {Behaviour::NeverAnswers, Behaviour::Answers});
        const state::Instant begin = program::monotonicNow();
        const auto answer = fixture.call();
        const state::Duration took = program::monotonicNow() - begin;
        CPPUNIT_ASSERT_EQUAL(504U, answer.value().status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals.load());
        CPPUNIT_ASSERT(took >= std::chrono::milliseconds(1'900));
        CPPUNIT_ASSERT(took < std::chrono::milliseconds(2'500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace lavenderthread::platform
