// Tests how waiting long prompts divide the free engines among them.
#include "coordination/routing/PassSchedule.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>

namespace lavenderthread::coordination::routing {

class PassScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PassScheduleTest);
    CPPUNIT_TEST(promptsGetEnginesOfTheirOwn);
    CPPUNIT_TEST(waitingPromptKeepsItsEnginesOnly);
    CPPUNIT_TEST(waitingPromptKeepsWholeSmallFleet);
    CPPUNIT_TEST(failedEngineIsLeftOut);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant start{std::chrono::seconds(100)};
    const PolicySettings policy{};
    std::vector<std::unique_ptr<EngineView>> views;

    std::vector<const EngineView *> makeEngines(std::size_t count)
    {
        state::routes::EngineProfile profile;
        profile.slots = 10;
        profile.kvCapacityTokens = 450'000;
        profile.stepsPerPass = 73;
        profile.stepMs = 0.925;
        profile.prefillTokensPerSecond = 256'000;
        profile.msPerMillionPairs = 0.0917;
        profile.stepTokens = 2'048;
        std::vector<const EngineView *> result;
        for (std::size_t index = 0; index < count; ++index) {
            state::EndpointDescription description;
            description.id = state::EndpointId("engine-" + std::to_string(index));
            description.incarnation = 1;
            description.kvCapacityTokens = profile.kvCapacityTokens;
            description.prefillTokensPerSecond = profile.prefillTokensPerSecond;
            this->views.push_back(std::make_unique<EngineView>(description, this->policy));
            this->views.back()->setProfile(profile);
            result.push_back(this->views.back().get());
        }
        return result;
    }

    // Two parts that no first token has ended yet, as many as a helper may hold.
    void addHelperParts(EngineView &view, std::uint64_t work) const
    {
        for (const std::uint64_t each : {work, work + 1'000}) {
            WorkNote note;
            note.requestHash = each;
            note.prefillTokens = 20'000;
            note.lifetime = std::chrono::seconds(10);
            view.addHelperWork(note, 0, this->start);
        }
    }

    static PassRequest request(std::uint32_t tokens)
    {
        PassRequest result;
        result.promptTokens = result.memoryTokens = tokens;
        result.outputTokens = 800;
        result.firstEventTargetSeconds = 4;
        return result;
    }

    PassSchedule schedule(const std::vector<const EngineView *> &engines) const
    {
        return {engines, 0, this->policy.passes};
    }

    static std::set<state::EndpointId> enginesOf(const PassChoice &choice)
    {
        std::set<state::EndpointId> result(choice.helpers.begin(), choice.helpers.end());
        result.insert(choice.engine);
        return result;
    }

public:
    // Guards against prompts of several entries that start at the same moment on the same engines:
    // each engine would prefill parts of all of them, and all would be late.
    void promptsGetEnginesOfTheirOwn()
    {
        PassSchedule plan = this->schedule(this->makeEngines(60));
        std::set<state::EndpointId> used;
        for (int prompt = 0; prompt < 3; ++prompt) {
            const auto choice = plan.place(request(300'000));
            CPPUNIT_ASSERT(choice.has_value());
            CPPUNIT_ASSERT(choice->helpers.size() >= 10);
            for (const state::EndpointId &engine : enginesOf(*choice))
                CPPUNIT_ASSERT(used.insert(engine).second);
        }
    }

    // Most engines are busy, too few are free for a prompt of 20 engine seconds. Guards against
    // holding up shorter prompts in front of all the engines that it will not use.
    void waitingPromptKeepsItsEnginesOnly()
    {
        const auto engines = this->makeEngines(60);
        for (std::size_t index = 0; index < 50; ++index)
            this->addHelperParts(*this->views[index], index + 1);
        PassSchedule plan = this->schedule(engines);
        CPPUNIT_ASSERT(!plan.place(request(600'000)));
        CPPUNIT_ASSERT(!plan.isFull());
        const auto next = plan.place(request(45'000));
        CPPUNIT_ASSERT(next.has_value());
        for (std::size_t index = 50; index < 60; ++index) {
            const state::EndpointId kept("engine-" + std::to_string(index));
            CPPUNIT_ASSERT(!enginesOf(*next).contains(kept));
        }
    }

    // Guards against short prompts that take each engine of a small fleet as it becomes free: the
    // large one would never find enough of them.
    void waitingPromptKeepsWholeSmallFleet()
    {
        const auto engines = this->makeEngines(12);
        for (std::size_t index = 0; index < 10; ++index)
            this->addHelperParts(*this->views[index], index + 1);
        PassSchedule plan = this->schedule(engines);
        CPPUNIT_ASSERT(!plan.place(request(600'000)));
        CPPUNIT_ASSERT(plan.isFull());
        CPPUNIT_ASSERT(!plan.place(request(45'000)));
    }

    void failedEngineIsLeftOut()
    {
        PassSchedule plan = this->schedule(this->makeEngines(20));
        PassRequest again = request(45'000);
        again.failedEngines = {state::EndpointId("engine-19"), state::EndpointId("engine-18")};
        const auto choice = plan.place(again);
        CPPUNIT_ASSERT(choice.has_value());
        for (const state::EndpointId &failed : again.failedEngines)
            CPPUNIT_ASSERT(!enginesOf(*choice).contains(failed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassScheduleTest);

} // namespace lavenderthread::coordination::routing
