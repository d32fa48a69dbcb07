// Tests when a node takes failed connections as a fault of its own paths.
#include "coordination/routing/PathHealth.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

class PathHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathHealthTest);
    CPPUNIT_TEST(oneCrashedEndpointIsNoLostPath);
    CPPUNIT_TEST(unreachableMajorityIsALostPath);
    CPPUNIT_TEST(crashesAmongReachedEndpointsAreNoLostPath);
    CPPUNIT_TEST(serviceWithoutOutcomeFollowsTheOthers);
    CPPUNIT_TEST(oneServiceOfTwoIsLost);
    CPPUNIT_TEST(probesFindTheWayBack);
    CPPUNIT_TEST(oldAndUnlistedOutcomesAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    state::Instant now{std::chrono::seconds(100)};
    const state::ServiceName engines{"engines"};
    const state::ServiceName replicas{"replicas"};
    PathHealth paths;

    static PathCandidate at(const state::ServiceName &service, int index)
    {
        return {service, state::EndpointId(service.value() + std::to_string(index))};
    }

    void record(const state::ServiceName &service, int first, int last, PathOutcome outcome)
    {
        for (int index = first; index < last; ++index)
            this->paths.record(at(service, index), outcome, this->now);
    }

    std::vector<PathCandidate> listed() const
    {
        std::vector<PathCandidate> all;
        for (int index = 0; index < 8; ++index)
            all.push_back(at(this->engines, index));
        for (int index = 0; index < 3; ++index)
            all.push_back(at(this->replicas, index));
        return all;
    }

public:
    void setUp() override { this->paths = PathHealth(); }

    void oneCrashedEndpointIsNoLostPath()
    {
        this->record(this->engines, 0, 1, PathOutcome::Unreachable);
        this->record(this->engines, 0, 1, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
    }

    // Guards against an entry that holds every endpoint for dead when its own links are gone.
    void unreachableMajorityIsALostPath()
    {
        this->record(this->engines, 0, 8, PathOutcome::Reached); // before the links were lost
        this->record(this->engines, 0, 2, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.isLost(this->engines, this->now));
        this->record(this->engines, 2, 4, PathOutcome::Reached);
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
    }

    // Guards against entries that send all requests over peers because some engines have crashed.
    void crashesAmongReachedEndpointsAreNoLostPath()
    {
        this->record(this->engines, 0, 3, PathOutcome::Unreachable);
        this->record(this->engines, 3, 8, PathOutcome::Reached);
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
    }

    void serviceWithoutOutcomeFollowsTheOthers()
    {
        this->record(this->engines, 0, 2, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.isLost(this->replicas, this->now));
        CPPUNIT_ASSERT(!this->paths.isCutOff({this->engines, this->replicas}, this->now));
        this->record(this->replicas, 0, 1, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.isCutOff({this->engines, this->replicas}, this->now));
    }

    void oneServiceOfTwoIsLost()
    {
        this->record(this->engines, 0, 3, PathOutcome::Unreachable);
        this->record(this->replicas, 0, 1, PathOutcome::Reached);
        CPPUNIT_ASSERT(this->paths.isLost(this->engines, this->now));
        CPPUNIT_ASSERT(!this->paths.isLost(this->replicas, this->now));
        CPPUNIT_ASSERT(!this->paths.isCutOff({this->engines, this->replicas}, this->now));
    }

    // Guards against a node that stays cut off in its own view because it sends nothing itself.
    void probesFindTheWayBack()
    {
        this->record(this->engines, 0, 8, PathOutcome::Unreachable);
        this->record(this->replicas, 0, 3, PathOutcome::Unreachable);
        for (int probes = 0; probes < 11; ++probes) {
            const auto next = this->paths.nextProbe(this->listed(), this->now);
            CPPUNIT_ASSERT(next.has_value());
            this->paths.record(*next, PathOutcome::Reached, this->now);
        }
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
        CPPUNIT_ASSERT(!this->paths.isLost(this->replicas, this->now));
        CPPUNIT_ASSERT(!this->paths.hasFailures(this->now));
    }

    void oldAndUnlistedOutcomesAreForgotten()
    {
        this->record(this->engines, 0, 8, PathOutcome::Unreachable);
        this->paths.prune({at(this->engines, 1)}, this->now);
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
        this->record(this->engines, 0, 8, PathOutcome::Unreachable);
        this->now += std::chrono::seconds(6);
        CPPUNIT_ASSERT(!this->paths.isLost(this->engines, this->now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathHealthTest);

} // namespace lavenderthread::coordination::routing
