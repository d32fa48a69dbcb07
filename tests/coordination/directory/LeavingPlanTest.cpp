// When a node that was told to stop refuses calls and ends.
#include "coordination/directory/LeavingPlan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::directory {

class LeavingPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingPlanTest);
    CPPUNIT_TEST(noCallIsTakenThatCantEnd);
    CPPUNIT_TEST(endsBeforeItIsKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against cut answers: a call that came 3.03 s after the signal of 8 s was taken, waited
    // for an engine, and its answer was cut when the process ended.
    void noCallIsTakenThatCantEnd()
    {
        const LeavingPlan plan = LeavingPlan::within(std::chrono::seconds(8));
        CPPUNIT_ASSERT(plan.takesCalls <= std::chrono::seconds(3));
        CPPUNIT_ASSERT(plan.ends - plan.takesCalls >= std::chrono::seconds(4));
    }

    void endsBeforeItIsKilled()
    {
        for (const int seconds : {1, 3, 8, 30}) {
            const state::Duration termination = std::chrono::seconds(seconds);
            const LeavingPlan plan = LeavingPlan::within(termination);
            CPPUNIT_ASSERT(plan.takesCalls > state::Duration(0));
            CPPUNIT_ASSERT(plan.takesCalls <= plan.ends);
            CPPUNIT_ASSERT(plan.ends < termination);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingPlanTest);

} // namespace lavenderthread::coordination::directory
