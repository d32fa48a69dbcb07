// Dispatcher on engines that work in passes: silent and lost engines, waiting and refusals.
#include "PassPlans.h"
#include "coordination/admission/DispatcherFixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace lavenderthread::coordination::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t longPrompt = 100'000; // takes over half a second of prefill

state::routes::EngineProfile profile()
{
    return bench::heavyDay(1).profile;
}

// An engine with the capacity and speed of the profile.
state::EndpointDescription profiledEngine(std::size_t index)
{
    state::EndpointDescription description = DispatcherFixture::engine(index);
    description.kvCapacityTokens = profile().kvCapacityTokens;
    description.prefillTokensPerSecond = profile().prefillTokensPerSecond;
    return description;
}

// Several engines, and one long prompt dispatched to one of them.
struct PassesFixture : DispatcherFixture
{
    explicit PassesFixture(const routing::PolicySettings &policy = {},
                           std::size_t engineCount = engines)
        : DispatcherFixture(0, policy)
    {
        for (std::size_t index = 0; index < engineCount; ++index)
            this->handle(EngineAnnounced{profiledEngine(index), profile()});
        this->handle(RequestArrived{this->longRequest()});
        this->firstDispatch = this->onlyAction<Dispatch>();
    }

    CompletionRequest longRequest() const
    {
        CompletionRequest result = this->request("long", longPrompt);
        result.firstEventTarget = milliseconds(1'500);
        result.toleratedPause = milliseconds(500);
        result.deadline = this->now + seconds(10);
        result.idempotent = true;
        result.attemptLimit = 2;
        return result;
    }

    bool mayMove(std::uint32_t attempt)
    {
        this->handle(MoveRequested{this->firstDispatch.id, attempt});
        return this->onlyAction<MoveAnswered>().allowed;
    }

    void setDraining(bool draining)
    {
        for (std::size_t index = 0; index < engines; ++index)
            this->handle(EngineDraining{engine(index).id, draining});
    }

    static constexpr std::size_t engines = 4;
    Dispatch firstDispatch;
};

AttemptFailed refusedConnection(const Dispatch &dispatch)
{
    return {.id = dispatch.id,
            .attempt = dispatch.attempt,
            .didNotRun = true,
            .neverSent = true,
            .connectionRefused = true};
}

} // namespace

class DispatcherPassesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherPassesTest);
    CPPUNIT_TEST(silentEngineIsLeftOnlyIfAttemptRemains);
    CPPUNIT_TEST(movedPromptMayWaitBeyondItsTarget);
    CPPUNIT_TEST(moveTakesOneRetryFromBudget);
    CPPUNIT_TEST(connectionThatFailedCostsNoRetry);
    CPPUNIT_TEST(endedIncarnationsCostNoAttempt);
    CPPUNIT_TEST(triesAtEndedIncarnationsAreBounded);
    CPPUNIT_TEST(refusedConnectionsCostNoAttempt);
    CPPUNIT_TEST(triesAtRefusedConnectionsAreBounded);
    CPPUNIT_TEST(failureDomainThatRefusesIsAvoided);
    CPPUNIT_TEST(entriesThatStartTogetherUseAllEngines);
    CPPUNIT_TEST(endedIncarnationsGetNothing);
    CPPUNIT_TEST(lastEngineServesLongPromptsToo);
    CPPUNIT_TEST(waitingPromptSurvivesLossOfAllEngines);
    CPPUNIT_TEST(idleEnginesServeLateRequests);
    CPPUNIT_TEST(briefRequestBehindLongPartIsServed);
    CPPUNIT_TEST(briefBoundFollowsShortestPause);
    CPPUNIT_TEST(notesOfPeersDoNotPutOffPlacement);
    CPPUNIT_TEST(promptsOfSeveralEntriesStartTogether);
    CPPUNIT_TEST(promptsOfOneModelDoNotHoldUpAnother);
    CPPUNIT_TEST(promptThatMissedItsTargetWaitsBehindOthers);
    CPPUNIT_TEST(promptThatCannotBeServedAnyMoreIsRefused);
    CPPUNIT_TEST(waitingLargePromptGetsEnginesFromBriefRequests);
    CPPUNIT_TEST(largePromptIsNotRefusedForSmallGroup);
    CPPUNIT_TEST(engineLearnedLateIsNotBelievedIdle);
    CPPUNIT_TEST(entryThatStartsIsToldOfWorkInProgress);
    CPPUNIT_TEST(limitedEngineGetsItsRateFromAllEntries);
    CPPUNIT_TEST(coldEngineGetsItsShare);
    CPPUNIT_TEST(coldEngineThatIsAnnouncedGetsNothingBeforeItsShareIsKnown);
    CPPUNIT_TEST(promptsThatColdEnginesHoldBackAreRefusedAtOnce);
    CPPUNIT_TEST(restingEnginesGetNothing);
    CPPUNIT_TEST(enginesThatRefusedAsFullComeLast);
    CPPUNIT_TEST(promptsThatNoEngineAcceptsAreRefusedAtOnce);
    CPPUNIT_TEST(rankCountsOnlyWithRankedControl);
    CPPUNIT_TEST(fullEnginesSpreadReturnTimes);
    CPPUNIT_TEST(lastSlotsAreKeptForUrgentRequests);
    CPPUNIT_TEST(retryOnFullEnginesIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // An engine falls silent after the caller has received a part of its answer. The request may
    // run on two engines: it moves from the first to a second, and must stay there even if the
    // second one is silent, since giving up would cut the answer off.
    void silentEngineIsLeftOnlyIfAttemptRemains()
    {
        PassesFixture fixture;
        CPPUNIT_ASSERT(fixture.mayMove(fixture.firstDispatch.attempt));
        fixture.handle(
                AttemptFailed{fixture.firstDispatch.id, fixture.firstDispatch.attempt, false});
        const Dispatch second = fixture.onlyAction<Dispatch>();
        CPPUNIT_ASSERT(second.engine != fixture.firstDispatch.engine);
        CPPUNIT_ASSERT(!fixture.mayMove(second.attempt));
        CPPUNIT_ASSERT(!fixture.mayMove(fixture.firstDispatch.attempt)); // that attempt has ended
    }

    // The first engine falls silent two seconds after the request arrived, when the caller has
    // received some events, and no other engine is free at that time. Guards against refusing the
    // request at once because it has waited longer than a new prompt may: its answer would be cut
    // off in the middle.
    void movedPromptMayWaitBeyondItsTarget()
    {
        PassesFixture fixture;
        fixture.handle(TokensReceived{fixture.firstDispatch.id, fixture.firstDispatch.attempt, 1});
        fixture.now += seconds(2);
        CPPUNIT_ASSERT(fixture.mayMove(fixture.firstDispatch.attempt));
        fixture.setDraining(true);
        fixture.handle(
                AttemptFailed{fixture.firstDispatch.id, fixture.firstDispatch.attempt, false});
        fixture.now += seconds(1);
        fixture.handle(Tick{});
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
        fixture.setDraining(false);
        fixture.handle(Tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.dispatcher->waiting());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.dispatcher->inFlight());
    }

    // The retry budget allows one retry. The move request takes it, and the failure that follows
    // must not take another.
    void moveTakesOneRetryFromBudget()
    {
        routing::PolicySettings policy;
        policy.retryBurst = 1;
        PassesFixture fixture(policy);
        CPPUNIT_ASSERT(fixture.mayMove(fixture.firstDispatch.attempt));
        // The engine sent something, and the relay asks again.
        CPPUNIT_ASSERT(fixture.mayMove(fixture.firstDispatch.attempt));
        const auto retried = fixture.dispatcher->counts().retried;
        fixture.handle(
                AttemptFailed{fixture.firstDispatch.id, fixture.firstDispatch.attempt, false});
        CPPUNIT_ASSERT_EQUAL(retried + 1, fixture.dispatcher->counts().retried);
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
    }

    // Guards against requests that are refused after one failed connection, because earlier ones
    // have spent the budget that bounds repeated work.
    void connectionThatFailedCostsNoRetry()
    {
        routing::PolicySettings policy;
        policy.retryBurst = 0;
        policy.budgetRefused = true;
        PassesFixture fixture(policy);
        const Dispatch first = fixture.firstDispatch;
        fixture.handle(AttemptFailed{first.id, first.attempt, true, true});
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
        const Dispatch second = fixture.onlyAction<Dispatch>();
        CPPUNIT_ASSERT(second.engine != first.engine);
        fixture.handle(AttemptFailed{second.id, second.attempt, true, false}); // refused there
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().retryBudgetSpent);
    }

    // Most engines have restarted at once, and a request meets one ended incarnation after the
    // other. Guards against refusing it with engines-lost after a few of them, and against retries
    // that it has no budget for.
    void endedIncarnationsCostNoAttempt()
    {
        routing::PolicySettings policy;
        policy.retryBurst = 0;
        policy.budgetRefused = true;
        constexpr std::size_t ended = 10;
        PassesFixture fixture(policy, ended + 2);
        std::set<state::EndpointId> used;
        Dispatch dispatch = fixture.firstDispatch;
        for (std::size_t index = 0; index < ended; ++index) {
            CPPUNIT_ASSERT(used.insert(dispatch.engine).second);
            fixture.handle(AttemptFailed{dispatch.id, dispatch.attempt, true, false, true});
            CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
            dispatch = fixture.onlyAction<Dispatch>();
        }
        CPPUNIT_ASSERT(used.insert(dispatch.engine).second);
        fixture.handle(AttemptFailed{dispatch.id, dispatch.attempt, true, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.actionsOf<Dispatch>().size());
    }

    // Guards against a request that goes round endpoints that all answer for another one.
    void triesAtEndedIncarnationsAreBounded()
    {
        PassesFixture fixture({}, 30);
        Dispatch dispatch = fixture.firstDispatch;
        std::size_t tries = 0;
        while (fixture.actionsOf<Refuse>().empty()) {
            CPPUNIT_ASSERT(++tries <= 12);
            fixture.handle(AttemptFailed{dispatch.id, dispatch.attempt, true, false, true});
            if (fixture.actionsOf<Refuse>().empty())
                dispatch = fixture.onlyAction<Dispatch>();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), tries);
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().reason == RefusalReason::AttemptsExhausted);
    }

    // A failure domain is down, and its engines look idle. Guards against refusing a request that
    // has met five of them within milliseconds, while most engines are well.
    void refusedConnectionsCostNoAttempt()
    {
        constexpr std::size_t down = 8;
        PassesFixture fixture({}, down + 2);
        std::set<state::EndpointId> used;
        Dispatch dispatch = fixture.firstDispatch;
        for (std::size_t index = 0; index < down; ++index) {
            CPPUNIT_ASSERT(used.insert(dispatch.engine).second);
            fixture.handle(refusedConnection(dispatch));
            CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
            dispatch = fixture.onlyAction<Dispatch>();
        }
        CPPUNIT_ASSERT(used.insert(dispatch.engine).second);
        fixture.handle(AttemptFailed{dispatch.id, dispatch.attempt, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.actionsOf<Dispatch>().size());
    }

    // One of three failure domains has ended while its engines are believed idle. Guards against
    // requests that meet one engine after the other there, 15 ms each, before they go elsewhere,
    // and against requests that are not placed because only that domain has room.
    void failureDomainThatRefusesIsAvoided()
    {
        routing::PolicySettings policy;
        policy.startSpreadTime = seconds(1); // the first engine is drawn anew for each request
        DispatcherFixture fixture(0, policy);
        const auto domainOf = [](std::size_t index) {
            return state::FailureDomain("domain-" + std::to_string(index % 3));
        };
        std::map<state::EndpointId, state::FailureDomain> domains;
        for (std::size_t index = 0; index < 12; ++index) {
            state::EndpointDescription description = profiledEngine(index);
            description.failureDomain = domainOf(index);
            domains[description.id] = description.failureDomain;
            fixture.handle(EngineAnnounced{description, profile()});
        }
        for (int call = 0; call < 20; ++call) {
            CompletionRequest request = fixture.request("r" + std::to_string(call), 3'000);
            request.attemptLimit = 2;
            fixture.handle(RequestArrived{request});
            const Dispatch first = fixture.onlyAction<Dispatch>();
            fixture.handle(refusedConnection(first));
            const Dispatch second = fixture.onlyAction<Dispatch>();
            CPPUNIT_ASSERT(domains[second.engine] != domains[first.engine]);
            fixture.handle(RequestFinished{second.id, second.attempt});
        }
        for (std::size_t index = 0; index < 12; ++index) {
            if (domainOf(index) != domainOf(0))
                fixture.handle(EngineDraining{profiledEngine(index).id, true});
        }
        CompletionRequest last = fixture.request("last", 3'000);
        last.attemptLimit = 2;
        fixture.handle(RequestArrived{last});
        const Dispatch first = fixture.onlyAction<Dispatch>();
        fixture.handle(refusedConnection(first));
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().engine != first.engine);
    }

    // Guards against a request that goes round engines that are all down.
    void triesAtRefusedConnectionsAreBounded()
    {
        PassesFixture fixture({}, 30);
        Dispatch dispatch = fixture.firstDispatch;
        std::size_t tries = 0;
        while (fixture.actionsOf<Refuse>().empty()) {
            CPPUNIT_ASSERT(++tries <= 12);
            fixture.handle(refusedConnection(dispatch));
            if (fixture.actionsOf<Refuse>().empty())
                dispatch = fixture.onlyAction<Dispatch>();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), tries);
        CPPUNIT_ASSERT(fixture.onlyAction<Refuse>().reason == RefusalReason::AttemptsExhausted);
    }

    // All entries start at once after a loss of power, each with the requests that have waited for
    // it, and none knows yet what the others place. Guards against placing all of them on the first
    // engines of the shared order, which reject most and leave the rest waiting.
    void entriesThatStartTogetherUseAllEngines()
    {
        constexpr std::size_t entries = 26;
        constexpr std::size_t requestsOfEach = 20;
        constexpr std::size_t engineCount = 48;
        routing::PolicySettings policy;
        policy.startSpreadTime = seconds(1);
        std::map<state::EndpointId, std::size_t> placed;
        for (std::size_t entry = 0; entry < entries; ++entry) {
            DispatcherFixture fixture(0, policy);
            for (std::size_t index = 0; index < engineCount; ++index)
                fixture.handle(EngineAnnounced{profiledEngine(index), profile()});
            for (std::size_t each = 0; each < requestsOfEach; ++each) {
                const std::string id = std::to_string(entry) + "-" + std::to_string(each);
                CompletionRequest request = fixture.request(id, 3'000);
                request.firstEventTarget = milliseconds(300);
                fixture.handle(RequestArrived{request});
                ++placed[fixture.onlyAction<Dispatch>().engine];
            }
        }
        std::size_t most = 0;
        for (const auto &[engine, count] : placed)
            most = std::max(most, count);
        // An engine that gets at most twice its slots answers the last request after the first.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= 2 * profile().slots);
    }

    // Three of four engines have ended, as a peer reports. Guards against choosing them because
    // most engines are suspected, which is taken for a fault of this entry, and against avoiding
    // the next incarnation of one.
    void endedIncarnationsGetNothing()
    {
        PassesFixture fixture;
        fixture.handle(RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
        for (std::size_t index = 0; index < 3; ++index)
            fixture.handle(EngineEnded{PassesFixture::engine(index).id, 1});
        for (int index = 0; index < 10; ++index) {
            fixture.handle(RequestArrived{fixture.request("b" + std::to_string(index), 3'000)});
            const Dispatch dispatch = fixture.onlyAction<Dispatch>();
            CPPUNIT_ASSERT(dispatch.engine == PassesFixture::engine(3).id);
            fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
        }
        fixture.handle(EngineEnded{PassesFixture::engine(3).id, 1});
        state::EndpointDescription restarted = profiledEngine(0);
        restarted.incarnation = 2;
        fixture.handle(EngineAnnounced{restarted, profile()});
        fixture.handle(EngineEnded{restarted.id, 1}); // a late report on the old one
        fixture.handle(RequestArrived{fixture.request("after", 3'000)});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().engine == restarted.id);
    }

    // A long prompt waits while all engines of its model leave. The entry announces waiting prompts
    // to its peers periodically. Guards against computing the prompt's engine time anew for that
    // from the known engines, which crashed when there was none.
    void waitingPromptSurvivesLossOfAllEngines()
    {
        PassesFixture fixture;
        fixture.setDraining(true);
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        fixture.handle(RequestArrived{next});
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            fixture.handle(EngineGone{PassesFixture::engine(index).id});
        fixture.now += milliseconds(200);
        fixture.handle(Tick{});
        CPPUNIT_ASSERT(!fixture.actionsOf<ShareWork>().empty());
        fixture.handle(CallerCancelled{next.id});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.dispatcher->waiting());
    }

    // After a restart of all entries, requests wait for the configuration until past their targets.
    // Guards against refusing them, with no retry left, although the engines are idle.
    void idleEnginesServeLateRequests()
    {
        PassesFixture fixture;
        fixture.handle(RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
        CompletionRequest brief = fixture.request("brief", 5'000);
        brief.firstEventTarget = milliseconds(300);
        brief.arrival = fixture.now - milliseconds(700);
        brief.deadline = fixture.now + seconds(9);
        fixture.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().id == brief.id);
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        next.arrival = fixture.now - seconds(2);
        fixture.handle(RequestArrived{next});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().id == next.id);
    }

    // At the start of a burst all engines prefill long parts that end in half a second. Guards
    // against refusing brief requests then with a retry delay longer than that.
    void briefRequestBehindLongPartIsServed()
    {
        PassesFixture fixture;
        for (std::size_t index = 0; index < PassesFixture::engines; ++index) {
            routing::WorkNote note;
            note.engine = routing::EngineKey::of(PassesFixture::engine(index).id);
            note.requestHash = index + 1;
            note.promptTokens = note.prefillTokens = 150'000;
            note.lifetime = seconds(10);
            note.toleratedPause = milliseconds(500);
            fixture.handle(PeerWorkReceived{note});
        }
        CompletionRequest brief = fixture.request("brief", 5'000);
        brief.firstEventTarget = milliseconds(300);
        brief.deadline = fixture.now + seconds(10);
        fixture.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().id == brief.id);
    }

    // Guards against a fixed bound between brief and long prompts, which fits one deployment only:
    // with it, the longest brief prompts of another one counted as long, waited behind prompts of
    // ten times their length and were refused.
    void briefBoundFollowsShortestPause()
    {
        PassesFixture fixture;
        const auto isLong = [&fixture](std::uint32_t tokens) {
            return fixture.dispatcher->fleet().isLong(fixture.request("any", 1).model, tokens);
        };
        CPPUNIT_ASSERT(isLong(100'000));
        CPPUNIT_ASSERT(!isLong(40'000)); // no caller has requested pauses below half a second
        CompletionRequest brief = fixture.request("brief", 5'000);
        brief.toleratedPause = milliseconds(200);
        brief.deadline = fixture.now + seconds(10);
        fixture.handle(RequestArrived{brief});
        CPPUNIT_ASSERT(isLong(40'000));
        CPPUNIT_ASSERT(!isLong(23'000));
        // No request has had such a pause for long: the route may have been a mistake.
        fixture.now += seconds(90);
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        fixture.handle(RequestArrived{next});
        CPPUNIT_ASSERT(!isLong(40'000));
    }

    // A prompt waits while peers send a note every millisecond, as 90 of them do. Guards against
    // setting the time of the next try anew with each note: the prompt was tried only when the
    // notes paused, in front of idle engines.
    void notesOfPeersDoNotPutOffPlacement()
    {
        PassesFixture fixture;
        fixture.setDraining(true);
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        fixture.handle(RequestArrived{next});
        const state::Instant latest = fixture.now + milliseconds(25);
        for (std::uint64_t work = 1; work <= 60; ++work) {
            fixture.now += milliseconds(1);
            routing::WorkNote note;
            note.stage = routing::WorkStage::Ended;
            note.requestHash = work;
            fixture.handle(PeerWorkReceived{note});
            CPPUNIT_ASSERT(fixture.dispatcher->nextWake().has_value());
            CPPUNIT_ASSERT(*fixture.dispatcher->nextWake() <= latest);
        }
    }

    // A prompt of a peer, as it waits there.
    static PeerWorkReceived waitingAtPeer(const CompletionRequest &like)
    {
        routing::WorkNote note;
        note.stage = routing::WorkStage::Waiting;
        note.requestHash = 77;
        note.modelHash = routing::Fleet::hashOf(like.model);
        note.promptTokens = like.promptTokens;
        note.firstEventTarget = like.firstEventTarget;
        note.age = milliseconds(500);
        note.prefillTime =
                std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(
                        state::routes::prefillSeconds(profile(), like.promptTokens)));
        return {note};
    }

    // Forty engines are idle, and a prompt that ranks first waits at a peer. Guards against waiting
    // for that peer to start it: with dozens of entries, each start took tens of milliseconds, and
    // the queue grew in front of idle engines.
    void promptsOfSeveralEntriesStartTogether()
    {
        PassesFixture fixture({}, 40);
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        fixture.handle(waitingAtPeer(next));
        fixture.handle(RequestArrived{next});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().id == next.id);
    }

    // Four engines, of which the prompt of the peer needs all. It has to wait for them if the
    // peer's prompt is for the same model, and not if it is for another one.
    void promptsOfOneModelDoNotHoldUpAnother()
    {
        for (const char *model : {"model", "other-model"}) {
            PassesFixture fixture;
            fixture.handle(
                    RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
            CompletionRequest next = fixture.longRequest();
            next.id = state::RequestId("next");
            next.promptTokens = 300'000;
            next.firstEventTarget = seconds(8);
            next.deadline = fixture.now + seconds(20);
            CompletionRequest before = next;
            before.model = state::ModelName(model);
            before.promptTokens = 500'000;
            fixture.handle(waitingAtPeer(before));
            fixture.handle(RequestArrived{next});
            const std::size_t started = before.model == next.model ? 0 : 1;
            CPPUNIT_ASSERT_EQUAL(started, fixture.actionsOf<Dispatch>().size());
            CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
        }
    }

    // All engines prefill prompts of peers, and one that arrives has to wait.
    struct HeldUp : PassesFixture
    {
        HeldUp()
        {
            this->handle(RequestFinished{this->firstDispatch.id, this->firstDispatch.attempt});
            this->next = this->longRequest();
            this->next.id = state::RequestId("next");
            this->keepEnginesBusy();
            this->handle(RequestArrived{this->next});
            CPPUNIT_ASSERT(this->actionsOf<Dispatch>().empty());
            CPPUNIT_ASSERT(this->actionsOf<Refuse>().empty());
        }

        void keepEnginesBusy()
        {
            for (std::size_t index = 0; index < engines; ++index) {
                routing::WorkNote note;
                note.engine = routing::EngineKey::of(engine(index).id);
                note.requestHash = 500 + index;
                note.promptTokens = note.prefillTokens = 60'000;
                note.lifetime = seconds(1);
                note.toleratedPause = milliseconds(500);
                this->handle(PeerWorkReceived{note});
            }
        }

        // Returns the refusals.
        std::vector<Refuse> waitFor(milliseconds time)
        {
            std::vector<Refuse> refusals;
            for (milliseconds waited{0}; waited < time; waited += milliseconds(20)) {
                this->now += milliseconds(20);
                this->keepEnginesBusy();
                this->handle(Tick{});
                for (const Refuse &refusal : this->actionsOf<Refuse>())
                    refusals.push_back(refusal);
            }
            return refusals;
        }

        CompletionRequest next;
    };

    // A prompt misses its target of 1.5 s while it waits. Guards against refusing it then: its
    // caller would come back, be late all the same, and go before others that can be in time.
    void promptThatMissedItsTargetWaitsBehindOthers()
    {
        HeldUp fixture;
        CPPUNIT_ASSERT(fixture.waitFor(milliseconds(2'000)).empty());
        // Another prompt that can still be in time goes first, however late it arrives.
        CompletionRequest later = fixture.longRequest();
        later.id = state::RequestId("later");
        fixture.handle(RequestArrived{later});
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
        std::vector<Dispatch> started;
        for (int ticks = 0; ticks < 50 && started.empty(); ++ticks) {
            fixture.now += milliseconds(20); // the engines become free
            fixture.handle(Tick{});
            started = fixture.actionsOf<Dispatch>();
        }
        CPPUNIT_ASSERT(!started.empty());
        CPPUNIT_ASSERT(started.front().id == later.id);
    }

    // Guards against holding a prompt until its deadline passes, although it could not be read and
    // answered in the time that is left.
    void promptThatCannotBeServedAnyMoreIsRefused()
    {
        HeldUp fixture;
        const auto refusals = fixture.waitFor(milliseconds(9'700));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), refusals.size());
        CPPUNIT_ASSERT(refusals.front().id == fixture.next.id);
        CPPUNIT_ASSERT(refusals.front().ran == Ran::No);
    }

    static routing::PolicySettings watchingAll()
    {
        routing::PolicySettings policy;
        policy.watchedEngines = 1'000;
        return policy;
    }

    // Forty engines that answer eleven brief requests each, as many as the brief group is sized
    // for.
    struct ManyBriefs : PassesFixture
    {
        ManyBriefs()
            : PassesFixture(watchingAll(), 40)
        {
            for (std::uint64_t index = 0; index < 40 * 11; ++index) {
                routing::WorkNote note;
                note.engine = routing::EngineKey::of(engine(index % 40).id);
                note.requestHash = 1'000 + index;
                note.promptTokens = 5'000;
                note.memoryTokens = 6'000;
                note.lifetime = seconds(10);
                note.toleratedPause = milliseconds(200);
                this->handle(PeerWorkReceived{note});
                note.stage = routing::WorkStage::Decoding;
                this->handle(PeerWorkReceived{note});
            }
        }

        std::size_t briefEngines(const std::string &id)
        {
            CompletionRequest brief = this->request(id, 5'000);
            brief.firstEventTarget = milliseconds(300);
            brief.toleratedPause = milliseconds(200);
            brief.deadline = this->now + seconds(10);
            this->handle(RequestArrived{brief});
            return this->onlyAction<Dispatch>().placementSnapshot.briefEngines;
        }

        CompletionRequest largePrompt() const
        {
            CompletionRequest large = this->longRequest();
            large.id = state::RequestId("large");
            large.promptTokens = 900'000;
            large.firstEventTarget = milliseconds(4'000);
            large.deadline = this->now + seconds(15);
            return large;
        }
    };

    // Brief requests come at over twice their usual rate, and one large prompt. Guards against
    // sizing the groups by the work in progress only: the large prompt never started, as no engine
    // of the brief group was ever without brief requests.
    void waitingLargePromptGetsEnginesFromBriefRequests()
    {
        ManyBriefs fixture;
        const std::size_t before = fixture.briefEngines("one");
        fixture.handle(waitingAtPeer(fixture.largePrompt()));
        CPPUNIT_ASSERT(fixture.briefEngines("two") < before);
    }

    // Guards against refusing a large prompt at its arrival because the group for long ones, which
    // grows with what waits, is small at that time.
    void largePromptIsNotRefusedForSmallGroup()
    {
        ManyBriefs fixture;
        fixture.handle(RequestArrived{fixture.largePrompt()});
        CPPUNIT_ASSERT(fixture.actionsOf<Refuse>().empty());
    }

    // All engines but one are draining. Guards against a long prompt waiting for an engine of the
    // group for long prompts, which is empty, and being refused at its target although the last
    // engine is idle.
    void lastEngineServesLongPromptsToo()
    {
        PassesFixture fixture;
        fixture.handle(RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
        for (std::size_t index = 1; index < PassesFixture::engines; ++index)
            fixture.handle(EngineDraining{PassesFixture::engine(index).id, true});
        CompletionRequest next = fixture.longRequest();
        next.id = state::RequestId("next");
        fixture.handle(RequestArrived{next});
        CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().engine == PassesFixture::engine(0).id);
    }

    // In a release, entries learn of a new engine at different times. Those that know it fill all
    // its slots; then this entry learns of it. Guards against believing it idle: every entry that
    // learned of it sent its next requests there, behind those that wait for a slot.
    void engineLearnedLateIsNotBelievedIdle()
    {
        PassesFixture fixture;
        fixture.handle(RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
        const state::EndpointDescription late = profiledEngine(PassesFixture::engines);
        const std::size_t slots = profile().slots;
        for (std::size_t each = 0; each < slots; ++each)
            fixture.handle(briefWorkAtPeer(late.id, each));
        fixture.handle(EngineAnnounced{late, profile()});
        const routing::EngineView *view = fixture.dispatcher->fleet().find(late.id);
        CPPUNIT_ASSERT_EQUAL(slots, view->residentWork().size());
        for (std::size_t each = 0; each < slots; ++each) {
            CompletionRequest brief =
                    fixture.request("brief-" + std::to_string(each), briefPromptTokens);
            brief.deadline = fixture.now + seconds(10);
            fixture.handle(RequestArrived{brief});
            CPPUNIT_ASSERT(fixture.onlyAction<Dispatch>().engine != late.id);
        }
    }

    // All entries lose power, and start again one after the other. Guards against an entry that
    // believes engines idle because the notes on their work were sent before it started.
    void entryThatStartsIsToldOfWorkInProgress()
    {
        PassesFixture before;
        const Dispatch &running = before.firstDispatch;
        before.handle(PeerJoined{state::VmId("peer")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), before.actionsOf<ShareWorkWith>().size());
        before.handle(TokensReceived{running.id, running.attempt, 1});
        before.handle(PeerJoined{state::VmId("peer")});
        const auto told = before.actionsOf<ShareWorkWith>();

        DispatcherFixture started(0);
        for (const ShareWorkWith &each : told) {
            CPPUNIT_ASSERT(each.peer == state::VmId("peer"));
            CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), each.note.chargedTokens);
            started.handle(PeerWorkReceived{each.note});
        }
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            started.handle(EngineAnnounced{profiledEngine(index), profile()});
        const auto work = started.dispatcher->fleet().find(running.engine)->residentWork();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), work.size());
        CPPUNIT_ASSERT(work.front().decoding);

        before.handle(RequestFinished{running.id, running.attempt});
        before.handle(PeerJoined{state::VmId("peer")});
        CPPUNIT_ASSERT(before.actionsOf<ShareWorkWith>().empty());
    }

private:
    static constexpr std::uint32_t briefPromptTokens = 5'000;

    static PeerWorkReceived briefWorkAtPeer(const state::EndpointId &engine, std::size_t each)
    {
        routing::WorkNote note;
        note.engine = routing::EngineKey::of(engine);
        note.requestHash = 1'000 + each;
        note.promptTokens = note.prefillTokens = briefPromptTokens;
        note.lifetime = seconds(10);
        note.toleratedPause = milliseconds(200);
        return {note};
    }

    // Guards against one entry's count of a limit that holds for the sends of all.
    void limitedEngineGetsItsRateFromAllEntries()
    {
        PassesFixture fixture;
        const state::EndpointId limited = PassesFixture::engine(0).id;
        fixture.handle(EngineLimited{limited, 1, 1.0});
        std::size_t sent = 0;
        for (int index = 0; index < 200; ++index) {
            fixture.now += milliseconds(50);
            fixture.handle(RequestArrived{fixture.request("b" + std::to_string(index), 3'000)});
            for (const Dispatch &dispatch : fixture.actionsOf<Dispatch>()) {
                sent += dispatch.engine == limited ? 1 : 0;
                fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
            }
        }
        constexpr std::size_t seconds = 10;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= seconds + 2);
        routing::WorkNote peerWork;
        peerWork.requestHash = 77;
        peerWork.engine = routing::EngineKey::of(limited);
        peerWork.lifetime = std::chrono::seconds(1);
        for (int peer = 0; peer < 3; ++peer) {
            ++peerWork.requestHash;
            fixture.handle(PeerWorkReceived{peerWork});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             fixture.dispatcher->fleet().find(limited)->sendsAvailable());
    }

    static routing::ColdShare coldShare(state::Instant until, bool isSender)
    {
        return {until, isSender, seconds(1), {}};
    }

    // Guards against more requests to a cold engine than this entry's share, against none at all,
    // and against a limit that outlasts the cold time.
    void coldEngineGetsItsShare()
    {
        PassesFixture fixture;
        const state::EndpointId cold = PassesFixture::engine(0).id;
        const state::EndpointId heldBack = PassesFixture::engine(1).id;
        // Ends right after the last of the first 200 requests.
        const state::Instant until = fixture.now + milliseconds(10'025);
        fixture.handle(EngineCold{cold, 1, coldShare(until, true)});
        fixture.handle(EngineCold{heldBack, 1, coldShare(until, false)});
        std::map<state::EndpointId, std::size_t> sent;
        const auto sendTwentyPerSecond = [&](const std::string &name) {
            for (int index = 0; index < 200; ++index) {
                fixture.now += milliseconds(50);
                fixture.handle(
                        RequestArrived{fixture.request(name + std::to_string(index), 3'000)});
                for (const Dispatch &dispatch : fixture.actionsOf<Dispatch>()) {
                    ++sent[dispatch.engine];
                    // The other engines stay busier than the cold ones.
                    if (dispatch.engine == cold || dispatch.engine == heldBack || index % 8 == 0)
                        fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
                }
            }
        };
        sendTwentyPerSecond("cold");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent[cold]), sent[cold] >= 7 && sent[cold] <= 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), sent[heldBack]);
        sent.clear();
        sendTwentyPerSecond("warm");
        // Only the slots of the engines limit it now.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sent[heldBack]), sent[heldBack] > 100);
    }

    // Guards against waiting requests that are all sent to an engine in the moment in which it is
    // announced.
    void coldEngineThatIsAnnouncedGetsNothingBeforeItsShareIsKnown()
    {
        PassesFixture fixture({}, 1);
        fixture.handle(EngineGone{PassesFixture::engine(0).id});
        for (int index = 0; index < 5; ++index)
            fixture.handle(RequestArrived{fixture.request("b" + std::to_string(index), 3'000)});
        fixture.actionsOf<Dispatch>();
        EngineAnnounced announced{profiledEngine(0), profile()};
        announced.description.incarnation = 2;
        announced.cold = coldShare(fixture.now + seconds(3), true);
        fixture.handle(announced);
        CPPUNIT_ASSERT(fixture.actionsOf<Dispatch>().size() <= 1);
    }

    // Guards against requests that wait until their time is over for engines that this entry may
    // not use.
    void promptsThatColdEnginesHoldBackAreRefusedAtOnce()
    {
        PassesFixture fixture;
        const state::Instant until = fixture.now + seconds(2);
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            fixture.handle(EngineCold{PassesFixture::engine(index).id, 1, coldShare(until, false)});
        fixture.handle(RequestArrived{fixture.request("brief", 3'000)});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::EndpointLimits);
        CPPUNIT_ASSERT(refusal.ran == Ran::No);
        fixture.now = until;
        fixture.handle(RequestArrived{fixture.request("later", 3'000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.actionsOf<Dispatch>().size());
    }

    // Guards against requests to engines that have asked this entry for rest, and against holding
    // one while all of them rest.
    void restingEnginesGetNothing()
    {
        PassesFixture fixture;
        const auto rest = [&fixture](std::size_t index, state::Duration time) {
            fixture.handle(EngineRests{PassesFixture::engine(index).id, 1, fixture.now + time});
        };
        rest(0, seconds(3));
        for (int index = 0; index < 40; ++index) {
            fixture.now += milliseconds(50);
            fixture.handle(RequestArrived{fixture.request("b" + std::to_string(index), 3'000)});
            for (const Dispatch &dispatch : fixture.actionsOf<Dispatch>()) {
                CPPUNIT_ASSERT(dispatch.engine != PassesFixture::engine(0).id);
                fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
            }
        }
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            rest(index, seconds(2));
        fixture.handle(RequestArrived{fixture.request("brief", 3'000)});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::EndpointLimits);
        CPPUNIT_ASSERT(refusal.retryAfter > seconds(1));
        fixture.now += seconds(2);
        fixture.handle(RequestArrived{fixture.request("later", 3'000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.actionsOf<Dispatch>().size());
    }

    // Three of four engines are full, which no report has told yet. Guards against requests that
    // are refused by several of them within a tenth of a second, and against refusing requests
    // because all have refused one.
    void enginesThatRefusedAsFullComeLast()
    {
        PassesFixture fixture;
        fixture.handle(RequestFinished{fixture.firstDispatch.id, fixture.firstDispatch.attempt});
        const auto refuse = [&fixture](std::size_t index) {
            fixture.handle(EngineFull{PassesFixture::engine(index).id, 1,
                                      fixture.now + milliseconds(300)});
        };
        const auto chosen = [&fixture](int request) {
            fixture.handle(RequestArrived{fixture.request("b" + std::to_string(request), 3'000)});
            const Dispatch dispatch = fixture.onlyAction<Dispatch>();
            fixture.handle(RequestFinished{dispatch.id, dispatch.attempt});
            return dispatch.engine;
        };
        int request = 0;
        const state::EndpointId preferred = chosen(request++); // brief requests are packed
        CPPUNIT_ASSERT(preferred != PassesFixture::engine(3).id);
        for (std::size_t index = 0; index < 3; ++index)
            refuse(index);
        for (; request < 29; ++request) {
            fixture.now += milliseconds(10);
            CPPUNIT_ASSERT(chosen(request) == PassesFixture::engine(3).id);
        }
        refuse(3);
        chosen(request++); // one of those that have refused
        state::LoadReport report;
        report.endpoint = PassesFixture::engine(1).id;
        report.incarnation = 1;
        report.sequence = 1;
        for (std::size_t index = 0; index < 3; ++index)
            refuse(index);
        fixture.handle(LoadReported{report});
        for (int last = request + 10; request < last; ++request)
            CPPUNIT_ASSERT(chosen(request) == report.endpoint);
        fixture.now += milliseconds(300);
        CPPUNIT_ASSERT(chosen(request) == preferred);
    }

    // All engines are in need: a request that none accepts is told when to come back, and does not
    // wait until its time is over.
    void promptsThatNoEngineAcceptsAreRefusedAtOnce()
    {
        PassesFixture fixture;
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            fixture.handle(EngineLimited{PassesFixture::engine(index).id, 1, 0.5});
        fixture.handle(RequestArrived{fixture.request("brief", 3'000)});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::EndpointLimits);
        CPPUNIT_ASSERT(refusal.ran == Ran::No);
        CPPUNIT_ASSERT(refusal.retryAfter > seconds(1));
        for (std::size_t index = 0; index < PassesFixture::engines; ++index)
            fixture.handle(EngineLimited{PassesFixture::engine(index).id, 1, std::nullopt});
        fixture.handle(RequestArrived{fixture.request("later", 3'000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.actionsOf<Dispatch>().size());
    }

    static routing::PolicySettings ranked()
    {
        routing::PolicySettings policy;
        policy.rankedOverload = true;
        policy.watchedEngines = 1'000;
        return policy;
    }

    static CompletionRequest briefRequest(const PassesFixture &fixture, std::size_t index,
                                          std::uint8_t rank)
    {
        CompletionRequest brief = fixture.request("brief-" + std::to_string(index), 1'000);
        brief.account = state::ClientAccountId("account-" + std::to_string(index % 8));
        brief.workClass = state::WorkClass("route-" + std::to_string(rank));
        brief.firstEventTarget = milliseconds(300);
        brief.deadline = fixture.now + seconds(9);
        brief.rank = rank;
        return brief;
    }

    // Sends brief requests of a rank until one is not placed at once; returns how many were.
    static std::size_t fill(PassesFixture &fixture, std::uint8_t rank, std::size_t from)
    {
        constexpr std::size_t most = 1'000;
        for (std::size_t index = 0; index < most; ++index) {
            fixture.handle(RequestArrived{briefRequest(fixture, from + index, rank)});
            if (fixture.actionsOf<Dispatch>().empty())
                return index;
        }
        return most;
    }

    // The rank must change no decision of a deployment that does not ask for it.
    void rankCountsOnlyWithRankedControl()
    {
        routing::PolicySettings policy;
        PassesFixture plain(policy);
        PassesFixture withRank(policy);
        constexpr std::size_t requests = 200;
        for (std::size_t index = 0; index < requests; ++index) {
            CompletionRequest brief = briefRequest(plain, index, 0);
            const std::vector<Action> expected = plain.handle(RequestArrived{brief});
            brief.rank = std::uint8_t(index % 3);
            const std::vector<Action> found = withRank.handle(RequestArrived{brief});
            CPPUNIT_ASSERT_EQUAL(expected.size(), found.size());
            for (std::size_t each = 0; each < found.size(); ++each) {
                CPPUNIT_ASSERT_EQUAL(expected[each].index(), found[each].index());
                const auto *dispatch = std::get_if<Dispatch>(&found[each]);
                if (dispatch == nullptr)
                    continue;
                const Dispatch &other = std::get<Dispatch>(expected[each]);
                CPPUNIT_ASSERT(dispatch->engine == other.engine);
                CPPUNIT_ASSERT_EQUAL(int(other.priority), int(dispatch->priority));
            }
        }
    }

    // Callers that are all told to return after the same time come back as a second burst.
    void fullEnginesSpreadReturnTimes()
    {
        PassesFixture fixture(ranked());
        CPPUNIT_ASSERT_GREATER(std::size_t(16), fill(fixture, 0, 0));
        std::set<state::Instant> returns;
        std::set<state::Duration> times;
        constexpr std::size_t more = 200;
        std::size_t refused = 0;
        for (std::size_t index = 0; index < more; ++index) {
            fixture.handle(RequestArrived{briefRequest(fixture, 2'000 + index, 1)});
            for (const Refuse &refusal : fixture.actionsOf<Refuse>()) {
                ++refused;
                times.insert(refusal.retryAfter);
                returns.insert(fixture.now + refusal.retryAfter);
                CPPUNIT_ASSERT_EQUAL(1, int(refusal.rank));
                CPPUNIT_ASSERT(refusal.retryAfter < seconds(3));
            }
            fixture.now += milliseconds(1);
        }
        CPPUNIT_ASSERT_GREATER(std::size_t(20), refused);
        CPPUNIT_ASSERT_EQUAL(refused, returns.size());
        CPPUNIT_ASSERT(*times.rbegin() - *times.begin() > milliseconds(300));
    }

    // Less urgent requests must not take the slot that the next urgent one needs.
    void lastSlotsAreKeptForUrgentRequests()
    {
        PassesFixture fixture(ranked());
        fill(fixture, 2, 0);
        const std::size_t urgent = fill(fixture, 0, 2'000);
        CPPUNIT_ASSERT_GREATER(std::size_t(2), urgent);
    }

    // A retry takes a slot as a new request does. While none is expected before the deadline, the
    // caller is told when to return.
    void retryOnFullEnginesIsRefused()
    {
        PassesFixture fixture(ranked());
        CompletionRequest late = briefRequest(fixture, 5'000, 2);
        late.deadline = fixture.now + milliseconds(450);
        fixture.handle(RequestArrived{late});
        const Dispatch dispatch = fixture.onlyAction<Dispatch>();
        fill(fixture, 0, 0);
        fixture.now += milliseconds(200);
        fixture.handle(AttemptFailed{late.id, dispatch.attempt, true});
        const Refuse refusal = fixture.onlyAction<Refuse>();
        CPPUNIT_ASSERT(refusal.reason == RefusalReason::AttemptsExhausted);
        CPPUNIT_ASSERT(refusal.retryAfter * 3 <= late.deadline - fixture.now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherPassesTest);

} // namespace lavenderthread::coordination::admission
