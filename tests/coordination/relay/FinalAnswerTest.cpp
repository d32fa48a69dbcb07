// The table in which "not run" stays true: what may be tried again, and what a caller is told at
// the end, for every way in which attempts can end.
#include "coordination/relay/FinalAnswer.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

namespace lavenderthread::coordination::relay {

namespace {

constexpr std::array ends = {AttemptEnd::NeverSent, AttemptEnd::NotRun, AttemptEnd::Failed,
                             AttemptEnd::Lost};

bool mayHaveRun(AttemptEnd end)
{
    return end == AttemptEnd::Failed || end == AttemptEnd::Lost;
}

void add(CallFacts &facts, AttemptEnd end)
{
    ++(mayHaveRun(end) ? facts.runs : facts.refusals);
}

// Follows the rules over a given row of attempt ends; gives how many attempts were made.
std::size_t play(CallFacts &facts, const std::vector<AttemptEnd> &row, bool &endpointAnswered)
{
    std::size_t made = 0;
    for (const AttemptEnd end : row) {
        ++made;
        add(facts, end);
        endpointAnswered = endpointAnswered || end == AttemptEnd::Failed;
        if (!mayTryAgain(facts, end))
            break;
    }
    return made;
}

} // namespace

class FinalAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FinalAnswerTest);
    CPPUNIT_TEST(unrepeatableCallsRunOnce);
    CPPUNIT_TEST(notRunIsTrue);
    CPPUNIT_TEST(runsStayWithinTheRoute);
    CPPUNIT_TEST(refusalsAreBounded);
    CPPUNIT_TEST(whatTheCallerIsTold);
    CPPUNIT_TEST_SUITE_END();

    template <typename Check>
    static void forAllRows(Check check)
    {
        for (const bool repeatable : {false, true}) {
            for (const AttemptEnd first : ends) {
                for (const AttemptEnd second : ends) {
                    for (const AttemptEnd third : ends)
                        check(repeatable, std::vector{first, second, third});
                }
            }
        }
    }

public:
    // A posting's replica resets the connection. Whether it ran is unknown, so no other replica may
    // be given it, whatever else refused it before or would refuse it after.
    void unrepeatableCallsRunOnce()
    {
        forAllRows([](bool repeatable, const std::vector<AttemptEnd> &row) {
            CallFacts facts{.repeatable = repeatable, .allowedRuns = 3};
            bool answered = false;
            play(facts, row, answered);
            CPPUNIT_ASSERT(repeatable || facts.runs <= 1);
        });
    }

    // A caller that is told "not run" sends its posting again: no attempt before may have run it.
    void notRunIsTrue()
    {
        forAllRows([](bool repeatable, const std::vector<AttemptEnd> &row) {
            CallFacts facts{.repeatable = repeatable, .allowedRuns = 3};
            bool answered = false;
            const std::size_t made = play(facts, row, answered);
            bool ran = false;
            for (std::size_t each = 0; each < made; ++each)
                ran = ran || mayHaveRun(row[each]);
            const bool told = finalAnswer(facts, answered) == FinalAnswer::NotRun;
            CPPUNIT_ASSERT_EQUAL(!ran, told);
        });
    }

    void runsStayWithinTheRoute()
    {
        forAllRows([](bool repeatable, const std::vector<AttemptEnd> &row) {
            CallFacts facts{.repeatable = repeatable, .allowedRuns = 2};
            bool answered = false;
            play(facts, row, answered);
            CPPUNIT_ASSERT(facts.runs <= 2);
        });
    }

    void refusalsAreBounded()
    {
        CallFacts facts{.repeatable = true, .allowedRuns = 2};
        bool answered = false;
        const std::vector<AttemptEnd> row(10, AttemptEnd::NotRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), play(facts, row, answered));
    }

    void whatTheCallerIsTold()
    {
        struct Case
        {
            const char *name;
            CallFacts facts;
            bool endpointAnswer;
            FinalAnswer expected;
        };
        const std::vector<Case> cases = {
                {"caller gone", {.runs = 1, .callerGone = true}, true, FinalAnswer::None},
                {"stream begun", {.runs = 1, .answerBegun = true}, true, FinalAnswer::Cut},
                {"endpoint failed it", {.runs = 1}, true, FinalAnswer::EndpointAnswer},
                {"lost", {.runs = 1}, false, FinalAnswer::Unknown},
                {"lost and late", {.runs = 1, .timeIsOver = true}, false, FinalAnswer::Timeout},
                {"refused", {.refusals = 2}, false, FinalAnswer::NotRun},
                {"refused and late",
                 {.refusals = 1, .timeIsOver = true},
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
