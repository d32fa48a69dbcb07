// Dispatcher of an entry that has been told to stop: what it still starts, and what it refuses.
#include "PassPlans.h"
#include "coordination/admission/DispatcherFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t longPrompt = 100'000; // takes over half a second of prefill

state::routes::EngineProfile profile()
{
    return bench::heavyDay(1).profile;
}

struct LeavingFixture : DispatcherFixture
{
    LeavingFixture()
        : DispatcherFixture(0, {})
    {
        for (std::size_t index = 0; index < engines; ++index) {
            state::EndpointDescription description = engine(index);
            description.kvCapacityTokens = profile().kvCapacityTokens;
            description.prefillTokensPerSecond = profile().prefillTokensPerSecond;
            this->handle(EngineAnnounced{description, profile()});
        }
    }

    CompletionRequest longRequest(const std::string &id) const
    {
        CompletionRequest result = this->request(id, longPrompt);
        result.firstEventTarget = milliseconds(1'500);
        result.deadline = this->now + seconds(15);
        result.idempotent = true;
        result.attemptLimit = 2;
        return result;
    }

    void setDraining(bool draining)
    {
        for (std::size_t index = 0; index < engines; ++index)
            this->handle(EngineDraining{engine(index).id, draining});
    }

    // Lets that much time pass in steps of a poll; the first refusal in it, if any.
    std::optional<Refuse> refusalWithin(state::Duration time)
    {
        constexpr milliseconds poll{5};
        for (state::Duration passed{0}; passed < time; passed += poll) {
            this->now += poll;
            this->handle(Tick{});
            if (!this->actionsOf<Refuse>().empty())
                return this->actionsOf<Refuse>().front();
        }
        return std::nullopt;
    }

    static constexpr std::size_t engines = 4;
};

} // namespace

class EntryLeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryLeavingTest);
    CPPUNIT_TEST(waitingPromptIsRefusedWhileItsCallerCanGoElsewhere);
    CPPUNIT_TEST(waitingBriefRequestIsRefusedToo);
    CPPUNIT_TEST(promptThatCanBeAnsweredIsStarted);
    CPPUNIT_TEST(arrivalThatCannotBeAnsweredIsRefusedAtOnce);
    CPPUNIT_TEST(lostAttemptDoesNotWaitForAnother);
    CPPUNIT_TEST(lostAttemptIsNotStartedAgainTooLate);
    CPPUNIT_TEST(silentEngineIsNotLeftWhenNoOtherCouldAnswer);
    CPPUNIT_TEST(enginesSlowerThanPredictedAreAllowedFor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against prompts that wait until the process ends, and get no answer at all.
    void waitingPromptIsRefusedWhileItsCallerCanGoElsewhere()
    {
        LeavingFixture fixture;
        fixture.setDraining(true);
        fixture.handle(RequestArrived{fixture.longRequest("waits")});
        const state::Instant end = fixture.now + seconds(7);
        fixture.handle(EntryLeaving{end});
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
        const auto refusal = fixture.refusalWithin(seconds(7));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT(refusal->ran == Ran::No);
        CPPUNIT_ASSERT(fixture.now < end);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.dispatcher->inFlight());
    }

    // The same for requests that wait for a slot.
    void waitingBriefRequestIsRefusedToo()
    {
        LeavingFixture fixture;
        fixture.setDraining(true);
        CompletionRequest brief = fixture.longRequest("brief");
        brief.promptTokens = 1'000;
        brief.firstEventTarget = seconds(60);
        brief.deadline = fixture.now + seconds(120);
        fixture.handle(RequestArrived{brief});
        fixture.handle(EntryLeaving{fixture.now + seconds(20)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.dispatcher->waiting());
        const auto refusal = fixture.refusalWithin(seconds(20));
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT(refusal->reason == RefusalReason::Leaving);
    }

    void promptThatCanBeAnsweredIsStarted()
    {
        LeavingFixture fixture;
        fixture.setDraining(true);
        fixture.handle(RequestArrived{fixture.longRequest("waits")});
        fixture.handle(EntryLeaving{fixture.now + seconds(7)});
        CPPUNIT_ASSERT(!fixture.refusalWithin(milliseconds(1'000)));
        fixture.setDraining(false);
        fixture.now += milliseconds(20);
        fixture.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.dispatcher->waiting());
        CPPUNIT_ASSERT(!fixture.refusalWithin(seconds(8))); // it is at an engine
    }

    // A caller that is refused at once has nearly all of its time left at another entry.
    void arrivalThatCannotBeAnsweredIsRefusedAtOnce()
    {
        LeavingFixture fixture;
        fixture.handle(EntryLeaving{fixture.now + milliseconds(300)});
        fixture.handle(RequestArrived{fixture.longRequest("late")});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::Leaving);
        CPPUNIT_ASSERT(refusal.ran == Ran::No);
        CPPUNIT_ASSERT(refusal.retryAfter <= milliseconds(100));
    }

    // Guards against a request that loses its engine shortly before the end and waits for another.
    void lostAttemptDoesNotWaitForAnother()
    {
        LeavingFixture fixture;
        fixture.handle(RequestArrived{fixture.longRequest("lost")});
        const Dispatch dispatch = fixture.onlyAction<Dispatch>();
        fixture.handle(EntryLeaving{fixture.now + seconds(3)});
        fixture.setDraining(true);
        fixture.now += milliseconds(2'800);
        fixture.handle(AttemptFailed{dispatch.id, dispatch.attempt, false});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::Leaving);
        CPPUNIT_ASSERT(refusal.ran == Ran::Unknown);
    }

    // The same where another engine is free.
    void lostAttemptIsNotStartedAgainTooLate()
    {
        LeavingFixture fixture;
        fixture.handle(RequestArrived{fixture.longRequest("lost")});
        const Dispatch dispatch = fixture.onlyAction<Dispatch>();
        fixture.handle(EntryLeaving{fixture.now + seconds(3)});
        fixture.now += milliseconds(2'800);
        fixture.handle(AttemptFailed{.id = dispatch.id,
                                     .attempt = dispatch.attempt,
                                     .didNotRun = true,
                                     .neverSent = true});
        CPPUNIT_ASSERT(fixture.actionsOf<Dispatch>().empty());
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().reason == RefusalReason::Leaving);
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().ran == Ran::No);
    }

    // Guards against an answer that is given up for silence, and then for want of time.
    void silentEngineIsNotLeftWhenNoOtherCouldAnswer()
    {
        LeavingFixture fixture;
        fixture.handle(RequestArrived{fixture.longRequest("silent")});
        const Dispatch dispatch = fixture.onlyAction<Dispatch>();
        fixture.handle(EntryLeaving{fixture.now + seconds(3)});
        fixture.now += milliseconds(2'800);
        fixture.handle(MoveRequested{dispatch.id, dispatch.attempt});
        CPPUNIT_ASSERT(!fixture.onlyAction<MoveAnswered>().allowed);
    }

    // Guards against starting prompts whose answers are then cut off with the process.
    void enginesSlowerThanPredictedAreAllowedFor()
    {
        LeavingFixture fixture;
        constexpr int answers = 8;
        for (int answer = 0; answer < answers; ++answer) {
            fixture.handle(RequestArrived{fixture.longRequest("slow" + std::to_string(answer))});
            const Dispatch dispatch = fixture.onlyAction<Dispatch>();
            fixture.now += seconds(6);
            fixture.handle(TokensReceived{dispatch.id, dispatch.attempt, 1});
            fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
        }
        fixture.handle(EntryLeaving{fixture.now + seconds(5)});
        fixture.handle(RequestArrived{fixture.longRequest("next")});
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().reason == RefusalReason::Leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLeavingTest);

} // namespace lavenderthread::coordination::admission
