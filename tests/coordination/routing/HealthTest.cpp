// Which endpoints are suspected, and which replica of a plain service takes a call.
#include "coordination/routing/ReplicaChooser.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

class HealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthTest);
    CPPUNIT_TEST(fewFailuresAmongManySuccessesAreBorne);
    CPPUNIT_TEST(failingEndpointIsSuspectedLongerEachTime);
    CPPUNIT_TEST(unreachableIsSuspectedAtOnce);
    CPPUNIT_TEST(restartClearsSuspicion);
    CPPUNIT_TEST(leastLoadedReplicaIsChosen);
    CPPUNIT_TEST(suspectsComeLastUnlessTheyAreMost);
    CPPUNIT_TEST(triedReplicasComeLast);
    CPPUNIT_TEST_SUITE_END();

    state::Instant now{std::chrono::seconds(100)};
    const state::EndpointId id{"replica-0"};

    static ReplicaCandidate replica(std::size_t index)
    {
        ReplicaCandidate candidate;
        candidate.description.id = state::EndpointId("replica-" + std::to_string(index));
        candidate.description.incarnation = 1;
        return candidate;
    }

public:
    // A service fails one call in seven by its nature; its replicas must not be taken for broken.
    void fewFailuresAmongManySuccessesAreBorne()
    {
        EndpointHealth health;
        for (int call = 0; call < 200; ++call) {
            const auto outcome = call % 7 == 0 ? AttemptHealth::Failed : AttemptHealth::Served;
            CPPUNIT_ASSERT(!health.note(this->id, 1, outcome, this->now));
            this->now += std::chrono::milliseconds(50);
        }
    }

    void failingEndpointIsSuspectedLongerEachTime()
    {
        EndpointHealth health;
        state::Duration before{0};
        for (int round = 0; round < 3; ++round) {
            while (!health.note(this->id, 1, AttemptHealth::Failed, this->now))
                this->now += std::chrono::milliseconds(100);
            state::Duration lasts{0};
            while (health.isSuspect(this->id, 1, this->now + lasts))
                lasts += std::chrono::milliseconds(100);
            CPPUNIT_ASSERT(lasts > before);
            before = lasts;
            this->now += lasts;
        }
    }

    void unreachableIsSuspectedAtOnce()
    {
        EndpointHealth health;
        CPPUNIT_ASSERT(health.note(this->id, 1, AttemptHealth::Unreachable, this->now));
        CPPUNIT_ASSERT(health.isSuspect(this->id, 1, this->now));
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 1, this->now + std::chrono::seconds(2)));
    }

    void restartClearsSuspicion()
    {
        EndpointHealth health;
        health.note(this->id, 1, AttemptHealth::Unreachable, this->now);
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 2, this->now));
        health.note(this->id, 2, AttemptHealth::Served, this->now);
        CPPUNIT_ASSERT(!health.note(this->id, 1, AttemptHealth::Unreachable, this->now));
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 2, this->now));
    }

    void leastLoadedReplicaIsChosen()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1), replica(2)};
        chooser.began(replicas[0].description.id);
        chooser.began(replicas[1].description.id);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), *chooser.choose(replicas, {}, this->now));
        chooser.reported(replicas[2].description.id, {6, 4, 6}, this->now);
        CPPUNIT_ASSERT(*chooser.choose(replicas, {}, this->now) != 2);
        this->now += std::chrono::seconds(1); // the report says nothing of now
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), *chooser.choose(replicas, {}, this->now));
        CPPUNIT_ASSERT(!chooser.choose({}, {}, this->now));
    }

    void suspectsComeLastUnlessTheyAreMost()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1), replica(2)};
        const auto fail = [&](std::size_t index) {
            chooser.began(replicas[index].description.id);
            chooser.ended(replicas[index].description, AttemptHealth::Unreachable, this->now);
        };
        fail(0);
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT(*chooser.choose(replicas, {}, this->now) != 0);
        fail(1);
        bool usesAll = false;
        for (int call = 0; call < 100; ++call)
            usesAll = usesAll || *chooser.choose(replicas, {}, this->now) != 2;
        CPPUNIT_ASSERT_MESSAGE("with most suspected none is left out", usesAll);
    }

    void triedReplicasComeLast()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1)};
        const std::vector<state::EndpointId> tried = {replicas[0].description.id};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *chooser.choose(replicas, tried, this->now));
        CPPUNIT_ASSERT(chooser.choose({replicas[0]}, tried, this->now).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthTest);

} // namespace lavenderthread::coordination::routing
