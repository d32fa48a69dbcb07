// Tests that what others may make a process hold leaves it room for itself, on VMs of any size.
#include "program/ResourceLimits.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

class ResourceLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResourceLimitsTest);
    CPPUNIT_TEST(outsidersLeaveThreeTenthsOfTheMemory);
    CPPUNIT_TEST(connectionsAndTheirEndpointsLeaveDescriptors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bounds that fit each connection, but not the VM.
    void outsidersLeaveThreeTenthsOfTheMemory()
    {
        for (std::uint64_t memoryMb = 112; memoryMb < 4'096; memoryMb += 7) {
            const ResourceLimits limits = ResourceLimits::of(memoryMb, 1U << 20U);
            const std::uint64_t uncounted =
                    limits.connections.connections
                    * (limits.connections.uncounted + limits.answers.uncounted);
            const std::uint64_t held =
                    uncounted + limits.connections.bytes + limits.answers.maximumCounted;
            CPPUNIT_ASSERT(held * 10 <= (memoryMb << 20U) * 7);
        }
    }

    // Guards against a process that can't connect to endpoints or peers, since callers have taken
    // all descriptors.
    void connectionsAndTheirEndpointsLeaveDescriptors()
    {
        for (std::uint64_t descriptors = 200; descriptors < 20'000; descriptors += 50) {
            const ResourceLimits limits = ResourceLimits::of(100'000, descriptors);
            CPPUNIT_ASSERT(limits.connections.connections * 2 + 80 <= descriptors);
        }
        CPPUNIT_ASSERT(ResourceLimits::of(182, 2'870).connections.connections >= 1'200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResourceLimitsTest);

} // namespace lavenderthread::program
