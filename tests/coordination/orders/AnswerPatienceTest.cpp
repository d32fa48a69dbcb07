// Tests AnswerPatience: how soon a silent member is left for another one.
#include "coordination/orders/AnswerPatience.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::orders {

using std::chrono::milliseconds;

class AnswerPatienceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerPatienceTest);
    CPPUNIT_TEST(silentMemberIsLeftSoonAmongPromptOnes);
    CPPUNIT_TEST(busyMembersGetMoreTime);
    CPPUNIT_TEST(membersThatAreAllSilentAreAskedLessOften);
    CPPUNIT_TEST_SUITE_END();

public:
    // A change is in force in 2 s although two members in turn never answer.
    void silentMemberIsLeftSoonAmongPromptOnes()
    {
        AnswerPatience patience;
        for (int answer = 0; answer < 15; ++answer)
            patience.onAnswer(milliseconds(3));
        CPPUNIT_ASSERT(patience.timeout() == AnswerPatience::shortest);
        patience.onTimeout();
        patience.onTimeout();
        CPPUNIT_ASSERT(patience.timeout() == AnswerPatience::shortest);
    }

    // Members without processor time answer late; asking others in addition would add to their
    // load.
    void busyMembersGetMoreTime()
    {
        AnswerPatience patience;
        for (int answer = 0; answer < 30; ++answer)
            patience.onAnswer(milliseconds(3));
        patience.onAnswer(milliseconds(200));
        CPPUNIT_ASSERT(patience.timeout() >= milliseconds(800));
        for (int answer = 0; answer < 30; ++answer)
            patience.onAnswer(milliseconds(500));
        CPPUNIT_ASSERT(patience.timeout() == AnswerPatience::longestTimeout);
    }

    // Guards against a retry storm: without processor time all members answer late, and each entry
    // that leaves one for the next adds a connection and a call.
    void membersThatAreAllSilentAreAskedLessOften()
    {
        AnswerPatience patience;
        for (int answer = 0; answer < 15; ++answer)
            patience.onAnswer(milliseconds(3));
        for (int timeout = 0; timeout < 5; ++timeout)
            patience.onTimeout();
        CPPUNIT_ASSERT(patience.timeout() >= milliseconds(1'000));
        patience.onAnswer(milliseconds(900));
        CPPUNIT_ASSERT(patience.timeout() == AnswerPatience::longestTimeout);
        patience.onTimeout();
        CPPUNIT_ASSERT(patience.timeout() == AnswerPatience::longestTimeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerPatienceTest);

} // namespace lavenderthread::coordination::orders
