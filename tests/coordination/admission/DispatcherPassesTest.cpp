// Requests on engines that work in passes, when an engine falls silent or is lost under them.
#include "PassPlans.h"
#include "coordination/admission/DispatcherFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t longPrompt = 100'000; // over half a second of prefill

state::routes::EngineProfile profile()
{
    return bench::heavyDay(1).profile;
}

// Some engines, and one long prompt on one of them.
struct Rig : DispatcherFixture
{
    explicit Rig(const routing::PolicySettings &policy = {})
        : DispatcherFixture(0, policy)
    {
        for (std::size_t index = 0; index < engines; ++index) {
            state::EndpointDescription description = engine(index);
            description.kvCapacityTokens = profile().kvCapacityTokens;
            description.prefillTokensPerSecond = profile().prefillTokensPerSecond;
            this->handle(EngineAnnounced{description, profile()});
        }
        this->handle(RequestArrived{this->longRequest()});
        this->sent = this->only<Dispatch>();
    }

    CompletionRequest longRequest() const
    {
        CompletionRequest wanted = this->request("long", longPrompt);
        wanted.firstTarget = milliseconds(1'500);
        wanted.pause = milliseconds(500);
        wanted.deadline = this->now + seconds(10);
        wanted.idempotent = true;
        wanted.attempts = 2;
        return wanted;
    }

    bool mayMove(std::uint32_t attempt)
    {
        this->handle(MoveAsked{this->sent.id, attempt});
        return this->only<MoveAnswered>().allowed;
    }

    void setDraining(bool draining)
    {
        for (std::size_t index = 0; index < engines; ++index)
            this->handle(EngineDraining{engine(index).id, draining});
    }

    static constexpr std::size_t engines = 4;
    Dispatch sent; // the first one
};

} // namespace

class DispatcherPassesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherPassesTest);
    CPPUNIT_TEST(silentEngineIsLeftOnlyForAnother);
    CPPUNIT_TEST(movedPromptWaitsBeyondItsTarget);
    CPPUNIT_TEST(moveIsPaidForOnce);
    CPPUNIT_TEST(lastEngineServesLongPromptsToo);
    CPPUNIT_TEST(waitingPromptOutlivesItsEngines);
    CPPUNIT_TEST(idleEnginesServeWhatIsLateAlready);
    CPPUNIT_TEST(briefRequestBehindALongPartIsServed);
    CPPUNIT_TEST(whatIsBriefFollowsTheTightestPause);
    CPPUNIT_TEST_SUITE_END();

public:
    // A caller has a part of its answer when the engine falls silent. The request may run on two
    // engines: it leaves the first for a second, and must stay with the second, whose silence is no
    // reason to cut the answer.
    void silentEngineIsLeftOnlyForAnother()
    {
        Rig rig;
        CPPUNIT_ASSERT(rig.mayMove(rig.sent.attempt));
        rig.handle(AttemptFailed{rig.sent.id, rig.sent.attempt, false});
        const Dispatch second = rig.only<Dispatch>();
        CPPUNIT_ASSERT(second.engine != rig.sent.engine);
        CPPUNIT_ASSERT(!rig.mayMove(second.attempt));
        CPPUNIT_ASSERT(!rig.mayMove(rig.sent.attempt)); // an attempt that is over
    }

    // The first engine fell silent after the caller had some events, two seconds after the request
    // came. No engine is free for it just then. It used to be refused in the next moment, since it
    // had waited longer than a new prompt may, and its caller's answer was cut in the middle.
    void movedPromptWaitsBeyondItsTarget()
    {
        Rig rig;
        rig.handle(TokensReceived{rig.sent.id, rig.sent.attempt, 1});
        rig.now += seconds(2);
        CPPUNIT_ASSERT(rig.mayMove(rig.sent.attempt));
        rig.setDraining(true);
        rig.handle(AttemptFailed{rig.sent.id, rig.sent.attempt, false});
        rig.now += seconds(1);
        rig.handle(Tick{});
        CPPUNIT_ASSERT(rig.got<Refuse>().empty());
        rig.setDraining(false);
        rig.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), rig.dispatcher->waiting());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rig.dispatcher->inFlight());
    }

    // The budget has one retry left. Asking takes it, and the failure that follows takes no other.
    void moveIsPaidForOnce()
    {
        routing::PolicySettings policy;
        policy.retryBurst = 1;
        Rig rig(policy);
        CPPUNIT_ASSERT(rig.mayMove(rig.sent.attempt));
        CPPUNIT_ASSERT(rig.mayMove(rig.sent.attempt)); // the relay heard something and asks again
        const auto retried = rig.dispatcher->counts().retried;
        rig.handle(AttemptFailed{rig.sent.id, rig.sent.attempt, false});
        CPPUNIT_ASSERT_EQUAL(retried + 1, rig.dispatcher->counts().retried);
        CPPUNIT_ASSERT(rig.got<Refuse>().empty());
    }

    // A long prompt waits while its model's engines all end. The entry tells its peers again and
    // again of what waits; it reckoned the prompt's engine time anew from the engines that it knew,
    // and with none left it crashed.
    void waitingPromptOutlivesItsEngines()
    {
        Rig rig;
        rig.setDraining(true);
        CompletionRequest next = rig.longRequest();
        next.id = state::RequestId("next");
        rig.handle(RequestArrived{next});
        for (std::size_t index = 0; index < Rig::engines; ++index)
            rig.handle(EngineGone{Rig::engine(index).id});
        rig.now += milliseconds(200);
        rig.handle(Tick{});
        CPPUNIT_ASSERT(!rig.got<ShareWork>().empty());
        rig.handle(CallerCancelled{next.id});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), rig.dispatcher->waiting());
    }

    // Guards against refusals by idle engines after a restart of all entries: requests that had
    // waited for the configuration past their targets were sent away, though they had no try left.
    void idleEnginesServeWhatIsLateAlready()
    {
        Rig rig;
        rig.handle(RequestFinished{rig.sent.id, rig.sent.attempt});
        CompletionRequest brief = rig.request("brief", 5'000);
        brief.firstTarget = milliseconds(300);
        brief.arrival = rig.now - milliseconds(700);
        brief.deadline = rig.now + seconds(9);
        rig.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(rig.only<Dispatch>().id == brief.id);
        CompletionRequest next = rig.longRequest();
        next.id = state::RequestId("next");
        next.arrival = rig.now - seconds(2);
        rig.handle(RequestArrived{next});
        CPPUNIT_ASSERT(rig.only<Dispatch>().id == next.id);
    }

    // Guards against refusals at the start of a burst: all engines prefill long parts that end in
    // half a second, and brief requests were sent away, to come back later than those parts ended.
    void briefRequestBehindALongPartIsServed()
    {
        Rig rig;
        for (std::size_t index = 0; index < Rig::engines; ++index) {
            routing::WorkNote note;
            note.engine = routing::EngineKey::of(Rig::engine(index).id);
            note.work = index + 1;
            note.promptTokens = note.prefillTokens = 150'000;
            note.lifetime = seconds(10);
            note.pause = milliseconds(500);
            rig.handle(PeerWorkNoted{note});
        }
        CompletionRequest brief = rig.request("brief", 5'000);
        brief.firstTarget = milliseconds(300);
        brief.deadline = rig.now + seconds(10);
        rig.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(rig.only<Dispatch>().id == brief.id);
    }

    // Guards against a bound that fits one deployment: the longest of its brief prompts counted as
    // long elsewhere, waited behind prompts of ten times their length and were refused.
    void whatIsBriefFollowsTheTightestPause()
    {
        Rig rig;
        const auto isLong = [&rig](std::uint32_t tokens) {
            return rig.dispatcher->fleet().isLong(rig.request("any", 1).model, tokens);
        };
        CPPUNIT_ASSERT(isLong(100'000));
        CPPUNIT_ASSERT(!isLong(40'000)); // nobody has asked for pauses below half a second
        CompletionRequest brief = rig.request("brief", 5'000);
        brief.pause = milliseconds(200);
        brief.deadline = rig.now + seconds(10);
        rig.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(isLong(40'000));
        CPPUNIT_ASSERT(!isLong(23'000));
        // Nobody has asked for it for long: the route may have been a mistake.
        rig.now += seconds(90);
        CompletionRequest next = rig.longRequest();
        next.id = state::RequestId("next");
        rig.handle(RequestArrived{next});
        CPPUNIT_ASSERT(!isLong(40'000));
    }

    // All engines but one leave. A long prompt used to wait for an engine of the part for long
    // work, which was empty, and was refused at its target though the last engine was idle.
    void lastEngineServesLongPromptsToo()
    {
        Rig rig;
        rig.handle(RequestFinished{rig.sent.id, rig.sent.attempt});
        for (std::size_t index = 1; index < Rig::engines; ++index)
            rig.handle(EngineDraining{Rig::engine(index).id, true});
        CompletionRequest next = rig.longRequest();
        next.id = state::RequestId("next");
        rig.handle(RequestArrived{next});
        CPPUNIT_ASSERT(rig.only<Dispatch>().engine == Rig::engine(0).id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherPassesTest);

} // namespace lavenderthread::coordination::admission
