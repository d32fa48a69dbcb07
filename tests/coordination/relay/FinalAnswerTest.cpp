// Tests which calls may be retried and what the caller is finally told, for every combination of
// attempt outcomes: "not run" must be true.
#include "coordination/relay/FinalAnswer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

namespace lavenderthread::coordination::relay {

namespace {

constexpr std::array allOutcomes = {AttemptResult::NeverSent, AttemptResult::NotRun,
                                    AttemptResult::Failed, AttemptResult::Lost};

bool mayHaveRun(AttemptResult end)
{
    return end == AttemptResult::Failed || end == AttemptResult::Lost;
}

void add(CallState &facts, AttemptResult end)
{
    if (mayHaveRun(end))
        ++facts.runs;
    else
        ++(end == AttemptResult::NeverSent ? facts.unsent : facts.refusals);
}

// Applies the retry rules to a sequence of attempt outcomes; returns the number of attempts made.
std::size_t runAttempts(CallState &facts, const std::vector<AttemptResult> &outcomes,
                        bool &endpointAnswered)
{
    std::size_t made = 0;
    for (const AttemptResult end : outcomes) {
        ++made;
        add(facts, end);
        endpointAnswered = endpointAnswered || end == AttemptResult::Failed;
        if (!mayRetry(facts, end))
            break;
    }
    return made;
}

} // namespace

class FinalAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FinalAnswerTest);
    CPPUNIT_TEST(nonRepeatableCallsRunOnce);
    CPPUNIT_TEST(notRunIsTrue);
    CPPUNIT_TEST(runsStayWithinTheLimit);
    CPPUNIT_TEST(refusalsAreBounded);
    CPPUNIT_TEST(failedConnectionsAreNoRefusals);
    CPPUNIT_TEST(refusedConnectionsAreCountedApart);
    CPPUNIT_TEST(finalAnswerOfEachCase);
    CPPUNIT_TEST(statusesThatPromiseNotRunAreNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

    template <typename Check>
    static void forAllOutcomes(Check check)
    {
        for (const bool repeatable : {false, true}) {
            for (const AttemptResult first : allOutcomes) {
                for (const AttemptResult second : allOutcomes) {
                    for (const AttemptResult third : allOutcomes)
                        check(repeatable, std::vector{first, second, third});
                }
            }
        }
    }

public:
    // A replica resets the connection of a non-repeatable call. Whether it ran is unknown, so no
    // other replica may get the call, whichever replicas refused it before or would refuse it
    // after.
    void nonRepeatableCallsRunOnce()
    {
        forAllOutcomes([](bool repeatable, const std::vector<AttemptResult> &outcomes) {
            CallState facts{.repeatable = repeatable, .maxRuns = 3};
            bool answered = false;
            runAttempts(facts, outcomes, answered);
            CPPUNIT_ASSERT(repeatable || facts.runs <= 1);
        });
    }

    // A caller that is told "not run" sends its call again, so no earlier attempt may have run it.
    void notRunIsTrue()
    {
        forAllOutcomes([](bool repeatable, const std::vector<AttemptResult> &outcomes) {
            CallState facts{.repeatable = repeatable, .maxRuns = 3};
            bool answered = false;
            const std::size_t made = runAttempts(facts, outcomes, answered);
            bool ran = false;
            for (std::size_t each = 0; each < made; ++each)
                ran = ran || mayHaveRun(outcomes[each]);
            const bool told = finalAnswer(facts, answered) == FinalAnswer::NotRun;
            CPPUNIT_ASSERT_EQUAL(!ran, told);
        });
    }

    void runsStayWithinTheLimit()
    {
        forAllOutcomes([](bool repeatable, const std::vector<AttemptResult> &outcomes) {
            CallState facts{.repeatable = repeatable, .maxRuns = 2};
            bool answered = false;
            runAttempts(facts, outcomes, answered);
            CPPUNIT_ASSERT(facts.runs <= 2);
        });
    }

    void refusalsAreBounded()
    {
        CallState facts{.repeatable = true, .maxRuns = 2};
        bool answered = false;
        const std::vector<AttemptResult> outcomes(10, AttemptResult::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), runAttempts(facts, outcomes, answered));
    }

    // Guards against a refusal after three connections that failed, while most endpoints are well.
    void failedConnectionsAreNoRefusals()
    {
        CallState facts{.repeatable = false, .maxRuns = 1};
        bool answered = false;
        const std::vector<AttemptResult> outcomes(10, AttemptResult::NeverSent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), runAttempts(facts, outcomes, answered));
        CPPUNIT_ASSERT(finalAnswer(facts, answered) == FinalAnswer::NotRun);
    }

    // Guards against a refusal after four endpoints of a failure domain that is down, each of which
    // has cost a millisecond, and against a call that tries all endpoints of a service.
    void refusedConnectionsAreCountedApart()
    {
        CallState facts{.repeatable = false, .maxRuns = 1};
        for (facts.refusedConnections = 1; facts.refusedConnections < 12;
             ++facts.refusedConnections)
            CPPUNIT_ASSERT(mayRetry(facts, AttemptResult::NeverSent));
        CPPUNIT_ASSERT(!mayRetry(facts, AttemptResult::NeverSent));
        CPPUNIT_ASSERT(finalAnswer(facts, false) == FinalAnswer::NotRun);
    }

    // Guards against a status of an endpoint that ran the call, which makes the caller send it
    // again.
    void statusesThatPromiseNotRunAreNotPassedOn()
    {
        constexpr unsigned first = 100;
        constexpr unsigned last = 599;
        for (unsigned status = first; status <= last; ++status) {
            const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
            CPPUNIT_ASSERT(mayPassOn({.repeatable = true}, status));
            CPPUNIT_ASSERT_EQUAL(!promises, mayPassOn({.repeatable = false}, status));
        }
    }

    void finalAnswerOfEachCase()
    {
        struct Case
        {
            const char *name;
            CallState facts;
            bool endpointAnswer;
            FinalAnswer expected;
        };
        const std::vector<Case> cases = {
                {"caller gone", {.runs = 1, .callerGone = true}, true, FinalAnswer::None},
                {"stream begun", {.runs = 1, .answerBegun = true}, true, FinalAnswer::Truncated},
                {"endpoint failed it", {.runs = 1}, true, FinalAnswer::EndpointAnswer},
                {"lost", {.runs = 1}, false, FinalAnswer::Unknown},
                {"lost and late", {.runs = 1, .deadlinePassed = true}, false, FinalAnswer::Timeout},
                {"refused", {.refusals = 2}, false, FinalAnswer::NotRun},
                {"refused and late",
                 {.refusals = 1, .deadlinePassed = true},
                 false,
                 FinalAnswer::NotRun},
                {"nobody asked", {}, false, FinalAnswer::NotRun},
        };
        for (const Case &each : cases)
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   finalAnswer(each.facts, each.endpointAnswer) == each.expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FinalAnswerTest);

} // namespace lavenderthread::coordination::relay
