// When a node that was told to stop starts to refuse calls and when it exits.
#include "coordination/directory/ShutdownSchedule.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::directory {

class ShutdownScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownScheduleTest);
    CPPUNIT_TEST(callsThatCannotFinishAreRefused);
    CPPUNIT_TEST(exitsBeforeTheNodeIsKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that are cut off: with a termination time of 8 s, a call that arrived
    // 3.03 s after the signal was accepted, waited for an engine, and its answer was cut off when
    // the process exited.
    void callsThatCannotFinishAreRefused()
    {
        const ShutdownSchedule schedule = ShutdownSchedule::within(std::chrono::seconds(8));
        CPPUNIT_ASSERT(schedule.acceptCallsFor <= std::chrono::seconds(3));
        CPPUNIT_ASSERT(schedule.exitAfter - schedule.acceptCallsFor >= std::chrono::seconds(4));
    }

    void exitsBeforeTheNodeIsKilled()
    {
        for (const int seconds : {1, 3, 8, 30}) {
            const state::Duration termination = std::chrono::seconds(seconds);
            const ShutdownSchedule schedule = ShutdownSchedule::within(termination);
            CPPUNIT_ASSERT(schedule.acceptCallsFor > state::Duration(0));
            CPPUNIT_ASSERT(schedule.acceptCallsFor <= schedule.exitAfter);
            CPPUNIT_ASSERT(schedule.exitAfter < termination);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownScheduleTest);

} // namespace lavenderthread::coordination::directory
