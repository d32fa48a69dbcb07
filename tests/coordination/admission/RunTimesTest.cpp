#include "coordination/admission/RunTimes.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::admission {

class RunTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunTimesTest);
    CPPUNIT_TEST(followsMostOfTheRecentRequests);
    CPPUNIT_TEST(neverBelowTheLeastRatio);
    CPPUNIT_TEST_SUITE_END();

public:
    void followsMostOfTheRecentRequests()
    {
        RunTimes times;
        const state::Duration second = std::chrono::seconds(1);
        for (int request = 0; request < 12; ++request)
            times.add(second, second * 3);
        times.add(second, second * 50);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, times.ratio(), 0.01);
        for (int request = 0; request < 16; ++request)
            times.add(second, second * 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, times.ratio(), 0.01);
    }

    void neverBelowTheLeastRatio()
    {
        RunTimes times;
        CPPUNIT_ASSERT_EQUAL(RunTimes::leastRatio, times.ratio());
        times.add(std::chrono::seconds(4), std::chrono::seconds(1));
        times.add(state::Duration(0), std::chrono::seconds(1)); // nothing was predicted
        CPPUNIT_ASSERT_EQUAL(RunTimes::leastRatio, times.ratio());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimesTest);

} // namespace lavenderthread::coordination::admission
