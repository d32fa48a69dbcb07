// Replays the endpoints that an entry learns of after a start.
#include "coordination/routing/EndpointArrivals.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

using std::chrono::milliseconds;

class EndpointArrivalsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointArrivalsTest);
    CPPUNIT_TEST(requestsWaitWhileEndpointsBecomeKnown);
    CPPUNIT_TEST(waitIsBounded);
    CPPUNIT_TEST(laterEndpointsHoldNothingUp);
    CPPUNIT_TEST_SUITE_END();

public:
    // As 26 entries learned of 48 engines after a loss of all power. Guards against placing the
    // requests that have waited on the ten engines that are known first.
    void requestsWaitWhileEndpointsBecomeKnown()
    {
        EndpointArrivals arrivals;
        CPPUNIT_ASSERT(!arrivals.isGrowing(this->at(0)));
        struct Step
        {
            int ms;
            std::size_t known;
        };
        for (const Step step : {Step{0, 10}, Step{29, 11}, Step{97, 16}, Step{117, 27},
                                Step{201, 33}, Step{220, 47}}) {
            CPPUNIT_ASSERT(step.ms == 0 || arrivals.isGrowing(this->at(step.ms)));
            arrivals.update(step.known, this->at(step.ms));
            CPPUNIT_ASSERT(arrivals.isGrowing(this->at(step.ms)));
        }
        CPPUNIT_ASSERT(!arrivals.isGrowing(this->at(300)));
    }

    // Guards against requests that are held while a service grows slowly or its endpoints restart.
    void waitIsBounded()
    {
        EndpointArrivals arrivals;
        for (std::size_t known = 1; known <= 40; ++known)
            arrivals.update(known, this->at(int(known) * 50));
        CPPUNIT_ASSERT(!arrivals.isGrowing(this->at(351)));
        EndpointArrivals once;
        once.update(48, this->at(0));
        CPPUNIT_ASSERT(!once.isGrowing(this->at(101)));
    }

    // Guards against requests that wait while a service is scaled out or a failure domain returns.
    void laterEndpointsHoldNothingUp()
    {
        EndpointArrivals arrivals;
        arrivals.update(48, this->at(0));
        arrivals.update(28, this->at(10'000));
        arrivals.update(48, this->at(13'000));
        CPPUNIT_ASSERT(!arrivals.isGrowing(this->at(13'000)));
    }

private:
    static state::Instant at(int ms)
    {
        return state::Instant(std::chrono::seconds(5)) + milliseconds(ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointArrivalsTest);

} // namespace lavenderthread::coordination::routing
