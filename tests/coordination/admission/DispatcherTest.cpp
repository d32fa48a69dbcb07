// Failures that a Dispatcher must survive: lost engines, late events, deadlines, restarts.
#include "DispatcherFixture.h"

#include <cppunit/TestFixture.h>

namespace lavenderthread::coordination::admission {

class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(lostEngineResumesElsewhere);
    CPPUNIT_TEST(nonIdempotentNeverRunsTwice);
    CPPUNIT_TEST(refusedDispatchOfNonIdempotentMayGoOn);
    CPPUNIT_TEST(givenUpIsToldAtOnce);
    CPPUNIT_TEST(lateEventsOfOldAttemptsAreIgnored);
    CPPUNIT_TEST(impossibleDeadlineIsRefused);
    CPPUNIT_TEST(deadlineEndsEachRequestOnce);
    CPPUNIT_TEST(waitingRequestIsToldWhenTooLate);
    CPPUNIT_TEST(longPrefillGoesInSlices);
    CPPUNIT_TEST(longWorkAges);
    CPPUNIT_TEST(limitHookRefusesAndIsReleasedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void lostEngineResumesElsewhere()
    {
        // The caller has 40 tokens of an answer when its engine dies.
        // The entry learns of the loss and sends the request on.
        // It must go to another failure domain and on from offset 40: the caller sees no repeat.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto first = entry.only<Dispatch>();
        entry.handle(TokensReceived{first.id, first.attempt, 40});
        const state::FailureDomain lost = entry.domainOf(first.engine);
        entry.handle(EngineGone{first.engine});
        const auto second = entry.only<Dispatch>();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(40), second.resumeOffset);
        CPPUNIT_ASSERT(second.attempt != first.attempt);
        CPPUNIT_ASSERT(entry.domainOf(second.engine) != lost);
    }

    void nonIdempotentNeverRunsTwice()
    {
        // A posting was handed to an engine that restarts under the same id.
        // Nobody knows whether it ran; a second dispatch could bill twice.
        // The caller hears at once that the outcome is unknown, and nothing is dispatched.
        DispatcherFixture entry(6);
        CompletionRequest posting = entry.request("a", 3'000);
        posting.idempotent = false;
        entry.handle(RequestArrived{posting});
        const auto first = entry.only<Dispatch>();
        state::EndpointDescription again = entry.engine(0, 2);
        again.id = first.engine;
        entry.handle(EngineAnnounced{again});
        CPPUNIT_ASSERT(entry.got<Dispatch>().empty());
        CPPUNIT_ASSERT(entry.only<Refuse>().ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.dispatcher->inFlight());
    }

    void refusedDispatchOfNonIdempotentMayGoOn()
    {
        DispatcherFixture entry(6);
        CompletionRequest posting = entry.request("a", 3'000);
        posting.idempotent = false;
        entry.handle(RequestArrived{posting});
        const auto first = entry.only<Dispatch>();
        entry.handle(AttemptFailed{first.id, first.attempt, true});
        const auto second = entry.only<Dispatch>();
        entry.handle(AttemptFailed{second.id, second.attempt, false});
        CPPUNIT_ASSERT(entry.got<Dispatch>().empty());
        CPPUNIT_ASSERT(entry.only<Refuse>().ran == Ran::Unknown);
    }

    void givenUpIsToldAtOnce()
    {
        // Streams of a request break again and again, with minutes left to its deadline.
        // The last allowed attempt breaks too.
        // The caller gets the final answer then, with when to come back, and not at the deadline.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        std::size_t attempts = 0;
        while (!entry.got<Dispatch>().empty()) {
            const auto dispatch = entry.only<Dispatch>();
            CPPUNIT_ASSERT(++attempts < 10);
            entry.handle(AttemptFailed{dispatch.id, dispatch.attempt, false});
        }
        CPPUNIT_ASSERT(attempts > 1);
        const auto refuse = entry.only<Refuse>();
        CPPUNIT_ASSERT(refuse.reason == RefusalReason::AttemptsExhausted);
        CPPUNIT_ASSERT(refuse.retryAfter > state::Duration(0));
    }

    void lateEventsOfOldAttemptsAreIgnored()
    {
        // An engine stalls, its request goes to another one, and then the first engine's stream
        // comes after all: token 90 and the end.
        // Taken as the current attempt's, they would end the caller's answer in the middle.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto first = entry.only<Dispatch>();
        entry.handle(AttemptFailed{first.id, first.attempt, false});
        const auto second = entry.only<Dispatch>();
        entry.handle(TokensReceived{first.id, first.attempt, 90});
        entry.handle(RequestFinished{first.id, first.attempt});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.dispatcher->inFlight());
        entry.handle(AttemptFailed{second.id, second.attempt, false});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), entry.only<Dispatch>().resumeOffset);
    }

    void impossibleDeadlineIsRefused()
    {
        DispatcherFixture entry(6);
        CompletionRequest request = entry.request("a", 300'000); // 15 s of prefill
        request.deadline = entry.now + std::chrono::seconds(10);
        entry.handle(RequestArrived{request});
        const auto refuse = entry.only<Refuse>();
        CPPUNIT_ASSERT(refuse.reason == RefusalReason::Deadline && refuse.ran == Ran::No);
        CPPUNIT_ASSERT(refuse.retryAfter > state::Duration(0));
        CPPUNIT_ASSERT(entry.got<Dispatch>().empty());
    }

    void deadlineEndsEachRequestOnce()
    {
        DispatcherFixture entry(2);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto dispatch = entry.only<Dispatch>();
        entry.now += std::chrono::minutes(10);
        CPPUNIT_ASSERT(entry.dispatcher->nextWake() <= entry.now);
        entry.handle(Tick{});
        CPPUNIT_ASSERT(entry.only<Expire>().ran == Ran::Unknown);
        CPPUNIT_ASSERT(entry.only<CancelOnEngine>().engine == dispatch.engine);
        entry.handle(RequestFinished{dispatch.id, dispatch.attempt});
        entry.handle(Tick{});
        CPPUNIT_ASSERT(entry.last.empty());
    }

    void waitingRequestIsToldWhenTooLate()
    {
        // One engine is full; a second prompt that takes 5 s waits for its memory, due in 20 s.
        // After 16 s it can't end in time any more.
        // Its caller is told then that it did not run, and not four seconds later.
        DispatcherFixture entry(1);
        entry.handle(RequestArrived{entry.request("a", 390'000)});
        CompletionRequest second = entry.request("b", 90'000);
        second.deadline = entry.now + std::chrono::seconds(20);
        entry.dispatcher->handle(RequestArrived{second}, entry.now);
        const std::size_t admitted = entry.dispatcher->waiting();
        entry.now += std::chrono::seconds(16);
        entry.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), admitted);
        CPPUNIT_ASSERT(entry.only<Refuse>().ran == Ran::No);
    }

    void longPrefillGoesInSlices()
    {
        routing::PolicySettings policy;
        policy.sliceTokens = 10'000;
        DispatcherFixture entry(4, policy);
        entry.handle(RequestArrived{entry.request("a", 35'000)});
        std::uint32_t expected = 0;
        for (;;) {
            const auto slice = entry.only<Dispatch>();
            CPPUNIT_ASSERT_EQUAL(expected, slice.from);
            expected = slice.to;
            if (slice.final)
                break;
            CPPUNIT_ASSERT(slice.to - slice.from <= 10'000);
            entry.handle(SlicePrefilled{slice.id, slice.attempt, slice.to});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(35'000), expected);
    }

    void longWorkAges()
    {
        // A long prompt gets its slices late, because shorter ones keep coming before it.
        // Each slice goes out with a higher priority than the one before, so it does not starve.
        DispatcherFixture entry(2);
        entry.handle(RequestArrived{entry.request("a", 300'000)});
        const auto first = entry.only<Dispatch>();
        entry.now += std::chrono::seconds(200);
        entry.handle(SlicePrefilled{first.id, first.attempt, first.to});
        CPPUNIT_ASSERT(entry.only<Dispatch>().priority < first.priority);
    }

    void limitHookRefusesAndIsReleasedOnce()
    {
        int held = 0;
        DispatcherHooks hooks;
        hooks.fleet.transferTime = [](const state::FailureDomain &) { return state::Duration(1); };
        hooks.acquireLimit = [&held](const CompletionRequest &, state::Instant) {
            return ++held > 1 ? std::optional<state::Duration>(std::chrono::seconds(7))
                              : std::nullopt;
        };
        hooks.releaseLimit = [&held](const CompletionRequest &, std::uint32_t, state::Instant) {
            --held;
        };
        DispatcherFixture entry(2);
        entry.dispatcher = std::make_unique<Dispatcher>(state::VmId("entry"),
                                                        routing::PolicySettings(), hooks, 1);
        entry.handle(EngineAnnounced{entry.engine(0)});
        entry.handle(RequestArrived{entry.request("a", 1'000)});
        entry.handle(RequestArrived{entry.request("b", 1'000)});
        CPPUNIT_ASSERT(entry.only<Refuse>().reason == RefusalReason::Limit);
        CPPUNIT_ASSERT(entry.only<Refuse>().retryAfter == std::chrono::seconds(7));
        entry.handle(CallerCancelled{state::RequestId("a")});
        entry.handle(CallerCancelled{state::RequestId("a")});
        CPPUNIT_ASSERT_EQUAL(1, held); // "b" was counted by the hook and never granted
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace lavenderthread::coordination::admission
