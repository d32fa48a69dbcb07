// Tests when endpoints become suspect and which replica of a plain service takes a call.
#include "coordination/routing/ReplicaChooser.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

class HealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthTest);
    CPPUNIT_TEST(fewFailuresAmongManySuccessesAreTolerated);
    CPPUNIT_TEST(suspicionOfFailingEndpointGrowsEachTime);
    CPPUNIT_TEST(unreachableEndpointIsSuspectAtOnce);
    CPPUNIT_TEST(replacedEndpointStaysSuspect);
    CPPUNIT_TEST(probeEndsSuspicionByFailedConnections);
    CPPUNIT_TEST(restartClearsSuspicion);
    CPPUNIT_TEST(leastLoadedReplicaIsChosen);
    CPPUNIT_TEST(restingReplicaIsNotChosen);
    CPPUNIT_TEST(replicasThatRefusedAsFullComeLast);
    CPPUNIT_TEST(suspectReplicasComeLastUnlessInMajority);
    CPPUNIT_TEST(limitedReplicaGetsItsRateFromAllEntries);
    CPPUNIT_TEST(limitEndsWithItsNamingOrARestart);
    CPPUNIT_TEST(limitOutlastsAQuietTime);
    CPPUNIT_TEST(coldReplicaGetsItsShare);
    CPPUNIT_TEST(amongEqualsWarmReplicasGoFirst);
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
    // A service that regularly fails one call in seven must not make its replicas suspect.
    void fewFailuresAmongManySuccessesAreTolerated()
    {
        EndpointHealth health;
        for (int call = 0; call < 200; ++call) {
            const auto outcome = call % 7 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
            CPPUNIT_ASSERT(!health.recordAttempt(this->id, 1, outcome, this->now));
            this->now += std::chrono::milliseconds(50);
        }
    }

    // Guards against engines that stay unused for seconds after an entry's links are back.
    void probeEndsSuspicionByFailedConnections()
    {
        EndpointHealth health;
        health.recordAttempt(this->id, 1, AttemptOutcome::Unreachable, this->now);
        CPPUNIT_ASSERT(health.isSuspect(this->id, 1, this->now));
        health.recordAttempt(this->id, 1, AttemptOutcome::Reachable, this->now);
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 1, this->now));
        health.recordAttempt(this->id, 1, AttemptOutcome::Replaced, this->now);
        health.recordAttempt(this->id, 1, AttemptOutcome::Reachable, this->now);
        CPPUNIT_ASSERT(health.isSuspect(this->id, 1, this->now));
    }

    void suspicionOfFailingEndpointGrowsEachTime()
    {
        EndpointHealth health;
        state::Duration before{0};
        for (int round = 0; round < 3; ++round) {
            while (!health.recordAttempt(this->id, 1, AttemptOutcome::Failed, this->now))
                this->now += std::chrono::milliseconds(100);
            state::Duration duration{0};
            while (health.isSuspect(this->id, 1, this->now + duration))
                duration += std::chrono::milliseconds(100);
            CPPUNIT_ASSERT(duration > before);
            before = duration;
            this->now += duration;
        }
    }

    // An engine has crashed, and another endpoint got its address. Guards against trying it again
    // every second: it refuses within milliseconds, so it looks idle and attracts requests.
    void replacedEndpointStaysSuspect()
    {
        EndpointHealth health;
        CPPUNIT_ASSERT(health.recordAttempt(this->id, 1, AttemptOutcome::Replaced, this->now));
        CPPUNIT_ASSERT(!health.recordAttempt(this->id, 1, AttemptOutcome::Replaced, this->now));
        this->now += std::chrono::seconds(20);
        CPPUNIT_ASSERT(health.isSuspect(this->id, 1, this->now));
        health.recordAttempt(this->id, 2, AttemptOutcome::Succeeded, this->now);
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 2, this->now));
    }

    void unreachableEndpointIsSuspectAtOnce()
    {
        EndpointHealth health;
        CPPUNIT_ASSERT(health.recordAttempt(this->id, 1, AttemptOutcome::Unreachable, this->now));
        CPPUNIT_ASSERT(health.isSuspect(this->id, 1, this->now));
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 1, this->now + std::chrono::seconds(2)));
    }

    void restartClearsSuspicion()
    {
        EndpointHealth health;
        health.recordAttempt(this->id, 1, AttemptOutcome::Unreachable, this->now);
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 2, this->now));
        health.recordAttempt(this->id, 2, AttemptOutcome::Succeeded, this->now);
        CPPUNIT_ASSERT(!health.recordAttempt(this->id, 1, AttemptOutcome::Unreachable, this->now));
        CPPUNIT_ASSERT(!health.isSuspect(this->id, 2, this->now));
    }

    void leastLoadedReplicaIsChosen()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1), replica(2)};
        chooser.callStarted(replicas[0].description, this->now);
        chooser.callStarted(replicas[1].description, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), *chooser.choose(replicas, {}, this->now));
        chooser.loadReported(replicas[2].description.id, {6, 4, 6}, this->now);
        CPPUNIT_ASSERT(*chooser.choose(replicas, {}, this->now) != 2);
        this->now += std::chrono::seconds(1); // the report is obsolete
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), *chooser.choose(replicas, {}, this->now));
        CPPUNIT_ASSERT(!chooser.choose({}, {}, this->now));
    }

    // Guards against one entry's count of a limit that holds for the sends of all.
    void limitedReplicaGetsItsRateFromAllEntries()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1)};
        const state::EndpointDescription &limited = replicas[0].description;
        CPPUNIT_ASSERT(chooser.limitNamed(limited.id, limited.incarnation, 1.0, this->now));
        CPPUNIT_ASSERT(!chooser.limitNamed(limited.id, limited.incarnation, 1.0, this->now));
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), *chooser.choose(replicas, {}, this->now));
        CPPUNIT_ASSERT(!chooser.limitedUntil(replicas, this->now));
        CPPUNIT_ASSERT(!chooser.choose({replicas[0]}, {}, this->now));
        const auto next = chooser.limitedUntil({replicas[0]}, this->now);
        CPPUNIT_ASSERT(next.has_value());
        CPPUNIT_ASSERT(chooser.choose({replicas[0]}, {}, *next).has_value());
        chooser.peerCallStarted(limited.id, limited.incarnation, *next);
        CPPUNIT_ASSERT(!chooser.choose({replicas[0]}, {}, *next));
    }

    // Guards against calls to a cold replica beyond this entry's share, and against a share of the
    // start before it that counts for the present one.
    void coldReplicaGetsItsShare()
    {
        ReplicaChooser chooser(1);
        const state::Instant until = this->now + std::chrono::seconds(3);
        std::vector<ReplicaCandidate> replicas{replica(0), replica(1)};
        replicas[0].cold = ColdShare{until, true, std::chrono::seconds(1), {}};
        replicas[1].cold = ColdShare{until, false};
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *chooser.choose(replicas, {}, this->now));
        chooser.callStarted(replicas[0].description, this->now);
        CPPUNIT_ASSERT(!chooser.choose(replicas, {}, this->now));
        CPPUNIT_ASSERT(*chooser.limitedUntil(replicas, this->now)
                       == this->now + std::chrono::seconds(1));
        CPPUNIT_ASSERT(
                chooser.choose(replicas, {}, this->now + std::chrono::seconds(1)).has_value());
        replicas[0].description.incarnation = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *chooser.choose(replicas, {}, this->now));
        replicas[1].cold.reset();
        replicas[0].cold = ColdShare{until, false};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), *chooser.choose(replicas, {}, this->now));
        replicas[1].cold = ColdShare{until, false};
        CPPUNIT_ASSERT(!chooser.choose(replicas, {}, this->now));
        CPPUNIT_ASSERT(chooser.choose(replicas, {}, until).has_value());
    }

    // Guards against the slow first seconds of a replica for calls that a warm one could take.
    void amongEqualsWarmReplicasGoFirst()
    {
        ReplicaChooser chooser(1);
        std::vector<ReplicaCandidate> replicas{replica(0), replica(1)};
        const state::Instant until = this->now + std::chrono::seconds(3);
        replicas[0].cold = ColdShare{until, true, std::chrono::milliseconds(1), {}};
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), *chooser.choose(replicas, {}, this->now));
        chooser.callStarted(replicas[1].description, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), *chooser.choose(replicas, {}, this->now));
    }

    // Guards against an entry that forgets a limit because it has had no answer for a while: an
    // answer that names none would then no longer end the limit of an engine.
    void limitOutlastsAQuietTime()
    {
        ReplicaChooser chooser(1);
        const state::EndpointDescription &limited = replica(0).description;
        chooser.limitNamed(limited.id, limited.incarnation, 1.0, this->now);
        this->now += std::chrono::minutes(10);
        const state::EndpointDescription &other = replica(1).description;
        chooser.limitNamed(other.id, other.incarnation, 1.0, this->now);
        CPPUNIT_ASSERT(chooser.isLimited(limited.id, limited.incarnation));
    }

    // Guards against a limit that outlives the need that it was named for.
    void limitEndsWithItsNamingOrARestart()
    {
        ReplicaChooser chooser(1);
        const state::EndpointDescription &limited = replica(0).description;
        ReplicaCandidate restarted = replica(0);
        restarted.description.incarnation = limited.incarnation + 1;
        chooser.limitNamed(limited.id, limited.incarnation, 0.1, this->now);
        CPPUNIT_ASSERT(!chooser.choose({replica(0)}, {}, this->now));
        CPPUNIT_ASSERT(chooser.choose({restarted}, {}, this->now).has_value());
        CPPUNIT_ASSERT(
                chooser.limitNamed(limited.id, limited.incarnation, std::nullopt, this->now));
        CPPUNIT_ASSERT(chooser.choose({replica(0)}, {}, this->now).has_value());
    }

    // Guards against a call that is refused by one full replica after the other while another one
    // has room, and against one that is not sent anywhere because all have refused.
    void replicasThatRefusedAsFullComeLast()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> all = {replica(0), replica(1), replica(2), replica(3)};
        const state::Instant until = this->now + std::chrono::milliseconds(200);
        const auto refuse = [&](std::size_t index) {
            const state::EndpointDescription &full = all[index].description;
            chooser.fullNamed(full.id, full.incarnation, until, this->now);
        };
        for (std::size_t index = 0; index < 3; ++index)
            refuse(index);
        chooser.callStarted(all[3].description, this->now); // the one with room is busier
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), *chooser.choose(all, {}, this->now));
        refuse(3);
        CPPUNIT_ASSERT(chooser.choose(all, {}, this->now).has_value());
        chooser.loadReported(all[1].description.id, {6, 0, 6}, this->now); // still full
        chooser.loadReported(all[2].description.id, {5, 0, 6}, this->now);
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), *chooser.choose(all, {}, this->now));
        CPPUNIT_ASSERT(*chooser.choose(all, {}, until) != 2);
    }

    // Guards against requests to a replica that has asked this entry for rest.
    void restingReplicaIsNotChosen()
    {
        ReplicaChooser chooser(1);
        const state::EndpointDescription &resting = replica(0).description;
        const state::Instant until = this->now + std::chrono::seconds(3);
        chooser.restNamed(resting.id, resting.incarnation, until, this->now);
        chooser.restNamed(resting.id, resting.incarnation, until - std::chrono::seconds(1),
                          this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             *chooser.choose({replica(0), replica(1)}, {}, this->now));
        CPPUNIT_ASSERT(!chooser.choose({replica(0)}, {}, until - state::Duration(1)));
        CPPUNIT_ASSERT(chooser.limitedUntil({replica(0)}, this->now) == std::optional(until));
        CPPUNIT_ASSERT(!chooser.limitedUntil({replica(0), replica(1)}, this->now));
        CPPUNIT_ASSERT(chooser.choose({replica(0)}, {}, until).has_value());
        ReplicaCandidate restarted = replica(0);
        ++restarted.description.incarnation;
        CPPUNIT_ASSERT(chooser.choose({restarted}, {}, this->now).has_value());
    }

    void suspectReplicasComeLastUnlessInMajority()
    {
        ReplicaChooser chooser(1);
        const std::vector<ReplicaCandidate> replicas = {replica(0), replica(1), replica(2)};
        const auto fail = [&](std::size_t index) {
            chooser.callStarted(replicas[index].description, this->now);
            chooser.callEnded(replicas[index].description, AttemptOutcome::Unreachable, this->now);
        };
        fail(0);
        for (int call = 0; call < 20; ++call)
            CPPUNIT_ASSERT(*chooser.choose(replicas, {}, this->now) != 0);
        fail(1);
        bool usesAll = false;
        for (int call = 0; call < 100; ++call)
            usesAll = usesAll || *chooser.choose(replicas, {}, this->now) != 2;
        CPPUNIT_ASSERT_MESSAGE("none is left out when most are suspect", usesAll);
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
