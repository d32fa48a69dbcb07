// Who is taken for a caller that came back after a refusal.
#include "program/UsualTimeLimits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

class UsualTimeLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsualTimeLimitsTest);
    CPPUNIT_TEST(whoHasLessTimeThanOthersReturns);
    CPPUNIT_TEST(routesAreApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void whoHasLessTimeThanOthersReturns()
    {
        // A review is refused and told to come back in five seconds: ten of its fifteen are left.
        using namespace std::chrono_literals;
        UsualTimeLimits limits;
        CPPUNIT_ASSERT(!limits.isReturning("review", 14'990ms));
        CPPUNIT_ASSERT(!limits.isReturning("review", 15'000ms));
        CPPUNIT_ASSERT(limits.isReturning("review", 9'990ms));
        CPPUNIT_ASSERT(!limits.isReturning("review", 14'500ms)); // a slow network
    }

    void routesAreApart()
    {
        using namespace std::chrono_literals;
        UsualTimeLimits limits;
        CPPUNIT_ASSERT(!limits.isReturning("review", 15'000ms));
        CPPUNIT_ASSERT(!limits.isReturning("narrative", 10'000ms));
        CPPUNIT_ASSERT(!limits.isReturning("narrative", 10'000ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsualTimeLimitsTest);

} // namespace lavenderthread::program
