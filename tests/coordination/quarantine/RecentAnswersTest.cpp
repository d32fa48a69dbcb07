// Tests which requests are no evidence, since they were answered a moment ago.
#include "coordination/quarantine/RecentAnswers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::quarantine {

using state::RequestPart;
using std::chrono::seconds;

class RecentAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecentAnswersTest);
    CPPUNIT_TEST(answeredRequestsAreNoEvidence);
    CPPUNIT_TEST(partsOfPromptsStaySuspect);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr RequestPart whole = state::wholeRequestBit | 1;
    static constexpr RequestPart body = state::bodyBit | 2;
    const state::ServiceName service{"app"};
    const state::Instant start{seconds(100'000)};

public:
    // Guards against refusing a request that most callers send, since it was under way at several
    // crashes in a row.
    void answeredRequestsAreNoEvidence()
    {
        RecentAnswers answers;
        answers.record(this->service, {whole, body}, this->start);
        const state::Instant soon = this->start + seconds(1);
        CPPUNIT_ASSERT(answers.withoutAnswered(this->service, {whole, body}, soon).empty());
        const state::ServiceName other("other");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             answers.withoutAnswered(other, {whole, body}, soon).size());
        const state::Instant later = this->start + seconds(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             answers.withoutAnswered(this->service, {whole, body}, later).size());
    }

    // Guards against a document that begins to crash engines while others still answer with it.
    void partsOfPromptsStaySuspect()
    {
        RecentAnswers answers;
        answers.record(this->service, {whole, 7}, this->start);
        CPPUNIT_ASSERT(answers.withoutAnswered(this->service, {whole, 7}, this->start)
                       == std::vector<RequestPart>{7});
    }

    void memoryIsBounded()
    {
        RecentAnswers answers({seconds(2), 10});
        for (RequestPart request = 0; request < 100; ++request)
            answers.record(this->service, {state::wholeRequestBit | request}, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), answers.size());
        answers.record(this->service, {body}, this->start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecentAnswersTest);

} // namespace lavenderthread::coordination::quarantine
