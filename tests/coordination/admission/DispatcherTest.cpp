// Dispatcher under failures: lost and restarted engines, late events, missed deadlines.
#include "DispatcherFixture.h"

#include <cppunit/TestFixture.h>

namespace lavenderthread::coordination::admission {

class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(requestOfLostEngineResumesElsewhere);
    CPPUNIT_TEST(nonIdempotentNeverRunsTwice);
    CPPUNIT_TEST(refusedNonIdempotentIsRetried);
    CPPUNIT_TEST(exhaustedAttemptsAreRefusedAtOnce);
    CPPUNIT_TEST(lateEventsOfOldAttemptsAreIgnored);
    CPPUNIT_TEST(impossibleDeadlineIsRefused);
    CPPUNIT_TEST(deadlineEndsEachRequestOnce);
    CPPUNIT_TEST(waitingRequestIsRefusedWhenTooLate);
    CPPUNIT_TEST(longPrefillIsSentInSlices);
    CPPUNIT_TEST(priorityOfLongPromptRisesWithAge);
    CPPUNIT_TEST(limitHookRefusesAndIsReleasedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestOfLostEngineResumesElsewhere()
    {
        // The caller has received 40 tokens when the engine is lost. The request must be dispatched
        // to another failure domain and resume at offset 40, so that the caller sees no repetition.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto first = entry.onlyAction<Dispatch>();
        entry.handle(TokensReceived{first.id, first.attempt, 40});
        const state::FailureDomain lost = entry.failureDomainOf(first.engine);
        entry.handle(EngineGone{first.engine});
        const auto second = entry.onlyAction<Dispatch>();
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(40), second.resumeOffset);
        CPPUNIT_ASSERT(second.attempt != first.attempt);
        CPPUNIT_ASSERT(entry.failureDomainOf(second.engine) != lost);
    }

    void nonIdempotentNeverRunsTwice()
    {
        // The engine of a non-idempotent request restarts under the same id. It is unknown whether
        // the request ran, and a second dispatch could bill twice. The caller must be told at once
        // that the outcome is unknown, and nothing may be dispatched.
        DispatcherFixture entry(6);
        CompletionRequest nonIdempotent = entry.request("a", 3'000);
        nonIdempotent.idempotent = false;
        entry.handle(RequestArrived{nonIdempotent});
        const auto first = entry.onlyAction<Dispatch>();
        state::EndpointDescription again = entry.engine(0, 2);
        again.id = first.engine;
        entry.handle(EngineAnnounced{again});
        CPPUNIT_ASSERT(entry.actionsOf<Dispatch>().empty());
        CPPUNIT_ASSERT(entry.onlyAction<Refuse>().ran == Ran::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), entry.dispatcher->inFlight());
    }

    void refusedNonIdempotentIsRetried()
    {
        DispatcherFixture entry(6);
        CompletionRequest nonIdempotent = entry.request("a", 3'000);
        nonIdempotent.idempotent = false;
        entry.handle(RequestArrived{nonIdempotent});
        const auto first = entry.onlyAction<Dispatch>();
        entry.handle(AttemptFailed{first.id, first.attempt, true});
        const auto second = entry.onlyAction<Dispatch>();
        entry.handle(AttemptFailed{second.id, second.attempt, false});
        CPPUNIT_ASSERT(entry.actionsOf<Dispatch>().empty());
        CPPUNIT_ASSERT(entry.onlyAction<Refuse>().ran == Ran::Unknown);
    }

    void exhaustedAttemptsAreRefusedAtOnce()
    {
        // The streams of a request break until its last allowed attempt has failed, with minutes
        // left to its deadline. The caller must get the final answer, with a retry delay, at that
        // time and not at the deadline.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        std::size_t attempts = 0;
        while (!entry.actionsOf<Dispatch>().empty()) {
            const auto dispatch = entry.onlyAction<Dispatch>();
            CPPUNIT_ASSERT(++attempts < 10);
            entry.handle(AttemptFailed{dispatch.id, dispatch.attempt, false});
        }
        CPPUNIT_ASSERT(attempts > 1);
        const auto refuse = entry.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refuse.reason == RefusalReason::AttemptsExhausted);
        CPPUNIT_ASSERT(refuse.retryAfter > state::Duration(0));
    }

    void lateEventsOfOldAttemptsAreIgnored()
    {
        // An engine stalls, its request moves to another one, and then the stream of the first
        // engine delivers token 90 and the end. If these events counted for the current attempt,
        // they would end the caller's answer in the middle.
        DispatcherFixture entry(6);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto first = entry.onlyAction<Dispatch>();
        entry.handle(AttemptFailed{first.id, first.attempt, false});
        const auto second = entry.onlyAction<Dispatch>();
        entry.handle(TokensReceived{first.id, first.attempt, 90});
        entry.handle(RequestFinished{first.id, first.attempt});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.dispatcher->inFlight());
        entry.handle(AttemptFailed{second.id, second.attempt, false});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), entry.onlyAction<Dispatch>().resumeOffset);
    }

    void impossibleDeadlineIsRefused()
    {
        DispatcherFixture entry(6);
        CompletionRequest request = entry.request("a", 300'000); // 15 s of prefill
        request.deadline = entry.now + std::chrono::seconds(10);
        entry.handle(RequestArrived{request});
        const auto refuse = entry.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refuse.reason == RefusalReason::Deadline && refuse.ran == Ran::No);
        CPPUNIT_ASSERT(refuse.retryAfter > state::Duration(0));
        CPPUNIT_ASSERT(entry.actionsOf<Dispatch>().empty());
    }

    void deadlineEndsEachRequestOnce()
    {
        DispatcherFixture entry(2);
        entry.handle(RequestArrived{entry.request("a", 3'000)});
        const auto dispatch = entry.onlyAction<Dispatch>();
        entry.now += std::chrono::minutes(10);
        CPPUNIT_ASSERT(entry.dispatcher->nextWake() <= entry.now);
        entry.handle(Tick{});
        CPPUNIT_ASSERT(entry.onlyAction<Expire>().ran == Ran::Unknown);
        CPPUNIT_ASSERT(entry.onlyAction<CancelOnEngine>().engine == dispatch.engine);
        entry.handle(RequestFinished{dispatch.id, dispatch.attempt});
        entry.handle(Tick{});
        CPPUNIT_ASSERT(entry.lastActions.empty());
    }

    void waitingRequestIsRefusedWhenTooLate()
    {
        // The only engine is full. A second prompt, which takes 5 s and is due in 20 s, waits for
        // memory. After 16 s it can no longer complete in time. Its caller must be told then, and
        // not 4 s later, that it did not run.
        DispatcherFixture entry(1);
        entry.handle(RequestArrived{entry.request("a", 390'000)});
        CompletionRequest second = entry.request("b", 90'000);
        second.deadline = entry.now + std::chrono::seconds(20);
        entry.dispatcher->handle(RequestArrived{second}, entry.now);
        const std::size_t admitted = entry.dispatcher->waiting();
        entry.now += std::chrono::seconds(16);
        entry.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), admitted);
        CPPUNIT_ASSERT(entry.onlyAction<Refuse>().ran == Ran::No);
    }

    void longPrefillIsSentInSlices()
    {
        routing::PolicySettings policy;
        policy.sliceTokens = 10'000;
        DispatcherFixture entry(4, policy);
        entry.handle(RequestArrived{entry.request("a", 35'000)});
        std::uint32_t expected = 0;
        for (;;) {
            const auto slice = entry.onlyAction<Dispatch>();
            CPPUNIT_ASSERT_EQUAL(expected, slice.from);
            expected = slice.to;
            if (slice.final)
                break;
            CPPUNIT_ASSERT(slice.to - slice.from <= 10'000);
            entry.handle(SlicePrefilled{slice.id, slice.attempt, slice.to});
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(35'000), expected);
    }

    void priorityOfLongPromptRisesWithAge()
    {
        // Shorter prompts delay the slices of a long one. A slice that is sent after a long wait
        // must have a higher priority than the one before, so that the prompt does not starve.
        DispatcherFixture entry(2);
        entry.handle(RequestArrived{entry.request("a", 300'000)});
        const auto first = entry.onlyAction<Dispatch>();
        entry.now += std::chrono::seconds(200);
        entry.handle(SlicePrefilled{first.id, first.attempt, first.to});
        CPPUNIT_ASSERT(entry.onlyAction<Dispatch>().priority < first.priority);
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
        CPPUNIT_ASSERT(entry.onlyAction<Refuse>().reason == RefusalReason::Limit);
        CPPUNIT_ASSERT(entry.onlyAction<Refuse>().retryAfter == std::chrono::seconds(7));
        entry.handle(CallerCancelled{state::RequestId("a")});
        entry.handle(CallerCancelled{state::RequestId("a")});
        CPPUNIT_ASSERT_EQUAL(1, held); // the hook counted "b" but did not grant it
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace lavenderthread::coordination::admission
