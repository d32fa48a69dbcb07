// Tests when a node takes failed connections as a fault of its own paths.
#include "coordination/routing/PathHealth.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>

namespace lavenderthread::coordination::routing {

class PathHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathHealthTest);
    CPPUNIT_TEST(oneCrashedEndpointIsNoLostPath);
    CPPUNIT_TEST(unreachableMajorityIsALostPath);
    CPPUNIT_TEST(crashesAmongReachedEndpointsAreNoLostPath);
    CPPUNIT_TEST(serviceWithoutOutcomeFollowsTheOthers);
    CPPUNIT_TEST(oneServiceOfTwoIsLost);
    CPPUNIT_TEST(darkEnginesAreRarelyTakenForALostPath);
    CPPUNIT_TEST(oneFailureIsFollowedByProbesThatConclude);
    CPPUNIT_TEST(endedFailureDomainIsNoLostPath);
    CPPUNIT_TEST(refusalsOfAnEndedFailureDomainAloneAreFollowedByProbes);
    CPPUNIT_TEST(lossOfAllPathsIsFoundAsSoonAcrossFailureDomains);
    CPPUNIT_TEST(lossOfMostPathsIsFoundAcrossFailureDomains);
    CPPUNIT_TEST(everyServiceIsProbedEarly);
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

    std::vector<PathCandidate> manyEngines(int count) const
    {
        std::vector<PathCandidate> all;
        for (int index = 0; index < count; ++index)
            all.push_back(at(this->engines, index));
        std::ranges::sort(all);
        return all;
    }

    // 60 engines and 3 replicas in three failure domains.
    std::vector<PathCandidate> listedInDomains() const
    {
        std::vector<PathCandidate> all;
        for (int index = 0; index < 60; ++index)
            all.push_back(inDomain(this->engines, index));
        for (int index = 0; index < 3; ++index)
            all.push_back(inDomain(this->replicas, index));
        std::ranges::sort(all);
        return all;
    }

    static PathCandidate inDomain(const state::ServiceName &service, int index)
    {
        PathCandidate candidate = at(service, index);
        candidate.failureDomain = state::FailureDomain("domain-" + std::to_string(index % 3));
        return candidate;
    }

    void recordInDomain(const state::ServiceName &service, int index, PathOutcome outcome)
    {
        this->paths.record(inDomain(service, index), outcome, this->now);
        this->paths.prune(this->listedInDomains(), this->now);
    }

    bool isAnyLost() const
    {
        return this->paths.isLost(this->engines, this->now)
               || this->paths.isLost(this->replicas, this->now);
    }

    // Probes until that is conclusive; `isDown`: of that failure domain and index. Returns the
    // number of probes, and records whether a service was held for lost on the way.
    int probeDomains(const std::function<bool(const PathCandidate &)> &isDown, bool &wasLost)
    {
        const std::vector<PathCandidate> all = this->listedInDomains();
        int probes = 0;
        while (this->paths.isInconclusive(all, {}, this->now)) {
            const auto next = this->paths.nextProbe(all, {}, this->now);
            CPPUNIT_ASSERT(next.has_value());
            this->paths.record(*next,
                               isDown(*next) ? PathOutcome::Unreachable : PathOutcome::Reached,
                               this->now);
            this->paths.prune(all, this->now);
            wasLost = wasLost || this->isAnyLost();
            ++probes;
        }
        return probes;
    }

    static bool isInFirstDomain(const PathCandidate &candidate)
    {
        return candidate.failureDomain == state::FailureDomain("domain-0");
    }

    // Probes as a node does after a failure; returns the number of probes.
    int probeUntilConclusive(int engineCount, const std::function<bool(int)> &isDark)
    {
        const std::vector<PathCandidate> all = this->manyEngines(engineCount);
        int probes = 0;
        while (this->paths.isInconclusive(all, {}, this->now)) {
            const auto next = this->paths.nextProbe(all, {}, this->now);
            const int engine =
                    std::stoi(next->endpoint.value().substr(this->engines.value().size()));
            this->paths.record(*next,
                               isDark(engine) ? PathOutcome::Unreachable : PathOutcome::Reached,
                               this->now);
            ++probes;
        }
        return probes;
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

    // Guards against a fleet in which nearly every entry takes its paths for lost because two
    // fifths of the engines are dark.
    void darkEnginesAreRarelyTakenForALostPath()
    {
        constexpr int entries = 400;
        const auto isDark = [](int engine) { return engine % 5 < 2; };
        int lost = 0;
        for (int entry = 0; entry < entries; ++entry) {
            this->paths = PathHealth(std::uint64_t(entry));
            this->paths.record(at(this->engines, 0), PathOutcome::Unreachable, this->now);
            this->probeUntilConclusive(50, isDark);
            lost += this->paths.isLost(this->engines, this->now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(lost < entries / 5);
    }

    // Guards against an entry with few requests that needs several of them to learn that its links
    // are gone.
    void oneFailureIsFollowedByProbesThatConclude()
    {
        this->record(this->engines, 0, 1, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.state(this->engines, this->now) == PathState::Doubtful);
        const int probes = this->probeUntilConclusive(50, [](int) { return true; });
        CPPUNIT_ASSERT_EQUAL(5, probes);
        CPPUNIT_ASSERT(this->paths.isLost(this->engines, this->now));
        this->paths = PathHealth();
        this->record(this->engines, 0, 1, PathOutcome::Unreachable);
        this->probeUntilConclusive(50, [](int engine) { return engine == 0; });
        CPPUNIT_ASSERT(this->paths.state(this->engines, this->now) == PathState::Usable);
    }

    // A failure domain of three is down. An entry with few requests meets one refused connection to
    // an engine and one to a replica there; later ones meet all of the domain's engines. Guards
    // against holding the service for lost before, while or after endpoints elsewhere are probed.
    void endedFailureDomainIsNoLostPath()
    {
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            this->paths = PathHealth(seed);
            this->recordInDomain(this->engines, 0, PathOutcome::Unreachable);
            CPPUNIT_ASSERT(!this->isAnyLost());
            this->recordInDomain(this->replicas, 0, PathOutcome::Unreachable);
            CPPUNIT_ASSERT(!this->isAnyLost());
            this->recordInDomain(this->engines, 3, PathOutcome::Unreachable);
            CPPUNIT_ASSERT(!this->isAnyLost());
            bool wasLost = false;
            this->probeDomains(isInFirstDomain, wasLost);
            CPPUNIT_ASSERT(!wasLost);
            CPPUNIT_ASSERT(this->paths.state(this->engines, this->now) == PathState::Usable);
            CPPUNIT_ASSERT(this->paths.state(this->replicas, this->now) == PathState::Usable);
            for (int engine = 0; engine < 60; engine += 3) {
                this->recordInDomain(this->engines, engine, PathOutcome::Unreachable);
                CPPUNIT_ASSERT(!this->isAnyLost());
            }
        }
    }

    // Guards against an entry that stays in doubt because it has enough outcomes, all of them from
    // the failure domain that is down.
    void refusalsOfAnEndedFailureDomainAloneAreFollowedByProbes()
    {
        for (int engine = 0; engine < 60; engine += 3)
            this->recordInDomain(this->engines, engine, PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.state(this->engines, this->now) == PathState::Doubtful);
        bool wasLost = false;
        const int probes = this->probeDomains(isInFirstDomain, wasLost);
        CPPUNIT_ASSERT(probes > 0 && probes <= 5);
        CPPUNIT_ASSERT(!wasLost);
        CPPUNIT_ASSERT(this->paths.state(this->engines, this->now) == PathState::Usable);
    }

    // Guards against an entry that has lost all its paths and waits for outcomes that its probes,
    // five at once, don't bring within one timeout.
    void lossOfAllPathsIsFoundAsSoonAcrossFailureDomains()
    {
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            this->paths = PathHealth(seed);
            this->recordInDomain(this->engines, 0, PathOutcome::Unreachable);
            const std::vector<PathCandidate> all = this->listedInDomains();
            std::set<PathCandidate> running;
            for (int prober = 0; prober < 5; ++prober)
                running.insert(*this->paths.nextProbe(all, running, this->now));
            for (const PathCandidate &probed : running)
                this->paths.record(probed, PathOutcome::Unreachable, this->now);
            this->paths.prune(all, this->now);
            CPPUNIT_ASSERT(this->paths.isLost(this->engines, this->now));
            CPPUNIT_ASSERT(this->paths.isLost(this->replicas, this->now));
        }
    }

    // 48 of 60 engines are out of reach, in all failure domains. Guards against a service that is
    // not found lost because a single failure domain would explain a part of it.
    void lossOfMostPathsIsFoundAcrossFailureDomains()
    {
        for (int engine = 0; engine < 24; ++engine)
            this->recordInDomain(this->engines, engine,
                                 engine % 5 == 4 ? PathOutcome::Reached : PathOutcome::Unreachable);
        CPPUNIT_ASSERT(this->paths.isLost(this->engines, this->now));
    }

    // Guards against an entry that says late that it reaches nothing, as it probes all engines
    // before the first replica of another service.
    void everyServiceIsProbedEarly()
    {
        std::vector<PathCandidate> all = this->manyEngines(50);
        all.push_back(at(this->replicas, 0));
        this->record(this->engines, 0, 6, PathOutcome::Unreachable);
        const auto next = this->paths.nextProbe(all, {}, this->now);
        CPPUNIT_ASSERT(next == at(this->replicas, 0));
    }

    // Guards against a node that stays cut off in its own view because it sends nothing itself.
    void probesFindTheWayBack()
    {
        this->record(this->engines, 0, 8, PathOutcome::Unreachable);
        this->record(this->replicas, 0, 3, PathOutcome::Unreachable);
        for (int probes = 0; probes < 11; ++probes) {
            const auto next = this->paths.nextProbe(this->listed(), {}, this->now);
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
