// Tests the choice of engines: work sent since the last report, failure domains, draining, and the
// split by prompt length.
#include "coordination/routing/Fleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <set>

namespace lavenderthread::coordination::routing {

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(ownWorkCountsBeforeAnyReport);
    CPPUNIT_TEST(workOfFailedPeerExpires);
    CPPUNIT_TEST(helperKeepsMemoryUntilAnswerEnds);
    CPPUNIT_TEST(partIsRemovedAtItsDeadline);
    CPPUNIT_TEST(avoidedDomainIsLastChoice);
    CPPUNIT_TEST(drainingEngineGetsNoWork);
    CPPUNIT_TEST(shortAndLongPromptsUseSeparateEngines);
    CPPUNIT_TEST(watchesBoundedSubset);
    CPPUNIT_TEST(announcementsOfLargeFleetStayCheap);
    CPPUNIT_TEST(removedEngineIsNoLongerWatched);
    CPPUNIT_TEST_SUITE_END();

    static constexpr state::Duration lifetime = std::chrono::seconds(20);
    static constexpr const char *model = "model";
    const state::Instant start{std::chrono::seconds(100)};

    static Fleet fleetOf(std::size_t engines, const PolicySettings &policy = {})
    {
        FleetHooks hooks;
        hooks.transferTime = [](const state::FailureDomain &) { return state::Duration(500); };
        Fleet fleet("entry", policy, hooks, 1);
        for (std::size_t index = 0; index < engines; ++index) {
            state::EndpointDescription engine;
            engine.id = state::EndpointId("engine-" + std::to_string(index));
            engine.failureDomain = state::FailureDomain(index % 2 == 0 ? "even" : "odd");
            engine.models = {state::ModelName(model)};
            engine.incarnation = 1;
            engine.kvCapacityTokens = 400'000;
            engine.prefillTokensPerSecond = 20'000;
            engine.decodeTokensPerSecond = 60;
            fleet.announce(engine);
        }
        return fleet;
    }

    static ChoiceQuery queryOf(std::uint32_t tokens)
    {
        ChoiceQuery query;
        query.model = state::ModelName(model);
        query.prompt.promptTokens = tokens;
        query.prompt.prefillTokens = tokens;
        query.prompt.outputTokens = 100;
        query.memoryTokens = tokens + 100;
        return query;
    }

    static WorkNote noteOf(const state::EndpointId &engine, std::uint32_t tokens)
    {
        WorkNote note;
        note.requestHash = tokens;
        note.engine = EngineKey::of(engine);
        note.promptTokens = note.prefillTokens = note.memoryTokens = tokens;
        note.outputTokens = 100;
        note.lifetime = lifetime;
        return note;
    }

public:
    void ownWorkCountsBeforeAnyReport()
    {
        // Two prompts arrive between two load reports. Both see the same idle engine in the last
        // report, and the second would wait for the first there. Work that this entry sent since
        // the report counts, so the second goes to another engine.
        Fleet fleet = fleetOf(6);
        const auto first = fleet.choose(queryOf(3'000), this->start);
        fleet.find(first->engine)->apply(noteOf(first->engine, 3'000), this->start);
        const auto second = fleet.choose(queryOf(3'000), this->start);
        CPPUNIT_ASSERT(first->engine != second->engine);
    }

    void workOfFailedPeerExpires()
    {
        // A peer entry sends work to an engine and fails, so the end of that work is never
        // reported. No caller waits for it after its deadline, and the engine accepts requests
        // again.
        Fleet fleet = fleetOf(1);
        const state::EndpointId engine("engine-0");
        fleet.find(engine)->apply(noteOf(engine, 390'000), this->start);
        CPPUNIT_ASSERT(!fleet.choose(queryOf(20'000), this->start));
        fleet.find(engine)->advance(this->start + lifetime);
        CPPUNIT_ASSERT(fleet.choose(queryOf(20'000), this->start + lifetime));
    }

    void helperKeepsMemoryUntilAnswerEnds()
    {
        // A prompt of 390,000 tokens is prefilled by two engines, and one of them holds memory for
        // it. The first token frees the other engine; the holder is freed when the answer ends.
        Fleet fleet = fleetOf(2);
        EngineView &holder = *fleet.find(state::EndpointId("engine-0"));
        EngineView &other = *fleet.find(state::EndpointId("engine-1"));
        const WorkNote note = noteOf(state::EndpointId("engine-9"), 390'000);
        holder.addHelperWork(note, 200'000, this->start);
        other.addHelperWork(note, 0, this->start);
        fleet.completeHelperWork(note.requestHash, WorkStage::Decoding, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), holder.residentWork().size());
        CPPUNIT_ASSERT_EQUAL(0.0, holder.prefillSecondsLeft());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), other.residentWork().size());
        fleet.completeHelperWork(note.requestHash, WorkStage::Ended, this->start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), holder.residentWork().size());
    }

    void partIsRemovedAtItsDeadline()
    {
        // Guards against a crash of the entry: the end of a request is reported at the moment of
        // its deadline, at which its part expires too, and the part was looked up before it
        // expired.
        Fleet fleet = fleetOf(1);
        EngineView &helper = *fleet.find(state::EndpointId("engine-0"));
        const WorkNote note = noteOf(state::EndpointId("engine-9"), 390'000);
        helper.addHelperWork(note, 0, this->start);
        fleet.completeHelperWork(note.requestHash, WorkStage::Ended, this->start + lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), helper.residentWork().size());
    }

    void avoidedDomainIsLastChoice()
    {
        Fleet fleet = fleetOf(8);
        ChoiceQuery query = queryOf(3'000);
        for (const char *domain : {"even", "odd"}) {
            query.avoidedDomain = state::FailureDomain(domain);
            const auto choice = fleet.choose(query, this->start);
            CPPUNIT_ASSERT(fleet.find(choice->engine)->description().failureDomain
                           != query.avoidedDomain);
        }
        Fleet alone = fleetOf(1);
        query.avoidedDomain = state::FailureDomain("even");
        CPPUNIT_ASSERT(alone.choose(query, this->start).has_value());
    }

    void drainingEngineGetsNoWork()
    {
        Fleet fleet = fleetOf(1);
        fleet.find(state::EndpointId("engine-0"))->draining = true;
        CPPUNIT_ASSERT(!fleet.choose(queryOf(3'000), this->start));
    }

    void shortAndLongPromptsUseSeparateEngines()
    {
        constexpr std::uint32_t settled = 10; // rounds until the split reflects the demand
        Fleet fleet = fleetOf(10);
        std::set<state::EndpointId> shorts;
        std::set<state::EndpointId> longs;
        for (std::uint32_t round = 0; round < 40; ++round) {
            const state::Instant now = this->start + std::chrono::seconds(round);
            for (const std::uint32_t tokens : {2'000U + round, 60'000U + round}) {
                const auto choice = fleet.choose(queryOf(tokens), now);
                CPPUNIT_ASSERT(choice.has_value());
                fleet.find(choice->engine)->apply(noteOf(choice->engine, tokens), now);
                fleet.noteDemand(*fleet.find(choice->engine), tokens, tokens, now);
                if (round >= settled)
                    (tokens < 4'096 ? shorts : longs).insert(choice->engine);
            }
        }
        for (const state::EndpointId &engine : shorts)
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), longs.count(engine));
        CPPUNIT_ASSERT(longs.size() > shorts.size());
    }

    void watchesBoundedSubset()
    {
        PolicySettings policy;
        policy.watchedEngines = 8;
        Fleet fleet = fleetOf(100, policy);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), fleet.watched(state::ModelName(model)).size());
        const state::EndpointId best = fleet.watched(state::ModelName(model)).front();
        fleet.remove(best);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), fleet.watched(state::ModelName(model)).size());
        CPPUNIT_ASSERT(best != fleet.watched(state::ModelName(model)).front());
    }

    // After a start, every node learns the engines of the whole fleet one by one. Guards against
    // ranking all of them again for each announcement, which takes a small VM many seconds.
    void announcementsOfLargeFleetStayCheap()
    {
        constexpr std::size_t engines = 3'000;
        constexpr double limitSeconds = 0.5; // six seconds of a VM with a twelfth of a core
        PolicySettings policy;
        policy.watchedEngines = engines;
        const std::clock_t began = std::clock();
        const Fleet fleet = fleetOf(engines, policy);
        CPPUNIT_ASSERT_EQUAL(engines, fleet.watched(state::ModelName(model)).size());
        CPPUNIT_ASSERT(double(std::clock() - began) / CLOCKS_PER_SEC < limitSeconds);
    }

    // Guards against a choice among engines that were removed since the last one.
    void removedEngineIsNoLongerWatched()
    {
        Fleet fleet = fleetOf(3);
        CPPUNIT_ASSERT(fleet.choose(queryOf(3'000), this->start));
        fleet.remove(state::EndpointId("engine-0"));
        fleet.remove(state::EndpointId("engine-2"));
        const auto choice = fleet.choose(queryOf(3'000), this->start);
        CPPUNIT_ASSERT(choice->engine == state::EndpointId("engine-1"));
        CPPUNIT_ASSERT(fleet.find(EngineKey::of(state::EndpointId("engine-0"))) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.watched(state::ModelName(model)).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

} // namespace lavenderthread::coordination::routing
