// Tests single placement decisions on engines that work in passes.
#include "coordination/routing/PassPlacement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace lavenderthread::coordination::routing {

class PassPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PassPlacementTest);
    CPPUNIT_TEST(partsFitPausesOfDecodingRequests);
    CPPUNIT_TEST(idleEnginesTakeLongParts);
    CPPUNIT_TEST(briefRequestsLeaveBusyGroup);
    CPPUNIT_TEST(longPromptStartsBesideBusyEngines);
    CPPUNIT_TEST(longRequestsJoinBriefOnes);
    CPPUNIT_TEST(amongEqualsWarmEnginesGoFirst);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t engines = 8;
    const state::Instant start{std::chrono::seconds(100)};
    const PolicySettings policy{};
    std::vector<std::unique_ptr<EngineView>> views;

    static state::routes::EngineProfile profile()
    {
        state::routes::EngineProfile result;
        result.slots = 16;
        result.kvCapacityTokens = 450'000;
        result.stepsPerPass = 46;
        result.stepMs = 0.925;
        result.stepMsPerSequence = 0.00483;
        result.stepMsPerThousandContextTokens = 0.00254;
        result.prefillTokensPerSecond = 256'000;
        result.msPerMillionPairs = 0.0917;
        result.stepTokens = 2'048;
        return result;
    }

    // Adds a decoding request whose caller accepts pauses of half a second.
    void addDecodingSummary(EngineView &view, std::uint64_t work) const
    {
        WorkNote note;
        note.requestHash = work;
        note.promptTokens = note.memoryTokens = 45'000;
        note.outputTokens = 900;
        note.lifetime = std::chrono::seconds(10);
        note.toleratedPause = std::chrono::milliseconds(500);
        view.apply(note, this->start);
        note.stage = WorkStage::Decoding;
        view.apply(note, this->start);
    }

    // Adds a brief request with this many prompt tokens that wait for prefill.
    void addBriefPrefill(EngineView &view, std::uint64_t work, std::uint32_t tokens) const
    {
        WorkNote note;
        note.requestHash = work;
        note.promptTokens = note.memoryTokens = note.prefillTokens = tokens;
        note.outputTokens = 900;
        note.lifetime = std::chrono::seconds(10);
        note.toleratedPause = std::chrono::milliseconds(200);
        view.apply(note, this->start);
    }

    std::optional<PassChoice> place(std::uint32_t tokens, double firstTargetSeconds = 0,
                                    const PassPlacementSettings &settings = {}) const
    {
        PassRequest request;
        request.firstEventTargetSeconds = firstTargetSeconds;
        request.promptTokens = tokens;
        request.outputTokens = 500;
        request.memoryTokens = tokens + 500;
        std::vector<const EngineView *> all;
        for (const auto &view : this->views)
            all.push_back(view.get());
        return placeByPasses(all, request, settings);
    }

public:
    void setUp() override
    {
        for (std::size_t index = 0; index < engines; ++index) {
            state::EndpointDescription description;
            description.id = state::EndpointId("engine-" + std::to_string(index));
            description.kvCapacityTokens = profile().kvCapacityTokens;
            description.prefillTokensPerSecond = profile().prefillTokensPerSecond;
            this->views.push_back(std::make_unique<EngineView>(description, this->policy));
            this->views.back()->setProfile(profile());
            this->views.back()->advance(this->start);
        }
    }

    // Guards against the slow first seconds of a cold engine for prompts that warm ones could take,
    // and against a warm engine that takes all prompts however busy it is.
    void amongEqualsWarmEnginesGoFirst()
    {
        const ColdShare cold{this->start + std::chrono::seconds(3), true};
        constexpr double anyEngine = 1e-6; // the brief group is always too late
        for (std::size_t index = 0; index + 1 < engines; ++index)
            this->views[index]->limitCold(cold, this->start);
        const EngineView &warm = *this->views.back();
        CPPUNIT_ASSERT(this->place(3'000, anyEngine)->engine == warm.description().id);
        CPPUNIT_ASSERT_EQUAL(warm.description().id.value(), this->place(45'000)->engine.value());
        for (std::uint64_t work = 1; work <= 4; ++work)
            this->addDecodingSummary(*this->views.back(), work);
        CPPUNIT_ASSERT(this->place(3'000, anyEngine)->engine != warm.description().id);
        CPPUNIT_ASSERT(this->place(45'000)->engine != warm.description().id);
    }

    void partsFitPausesOfDecodingRequests()
    {
        // Eight engines remain for long requests after a burst of brief ones, and each decodes a
        // summary. A review of 400,000 tokens arrives, 9 s of prefill. Parts of more than a second
        // used to pause all summaries that long; some callers left and their answers were lost.
        for (std::size_t index = 0; index < engines; ++index)
            addDecodingSummary(*this->views[index], index + 1);
        CPPUNIT_ASSERT(!this->place(400'000));
        const auto shorter = this->place(150'000);
        CPPUNIT_ASSERT(shorter.has_value());
        CPPUNIT_ASSERT(shorter->partSeconds <= 0.45);
        CPPUNIT_ASSERT(shorter->helpers.size() >= 2);
    }

    void idleEnginesTakeLongParts()
    {
        // No request decodes on the engines, so no caller sees a pause.
        const auto choice = this->place(400'000);
        CPPUNIT_ASSERT(choice.has_value());
        CPPUNIT_ASSERT(choice->partSeconds > 1);
    }

    // Guards against a herd: the few requests in progress left brief requests a group of one
    // engine, and callers arriving at the same moment all went there, beside seven idle engines.
    void briefRequestsLeaveBusyGroup()
    {
        for (std::uint64_t work = 1; work <= 3; ++work)
            addBriefPrefill(*this->views[0], work, 20'000);
        const auto choice = this->place(5'000, 0.3);
        CPPUNIT_ASSERT(choice.has_value());
        CPPUNIT_ASSERT(choice->engine != this->views[0]->description().id);
        CPPUNIT_ASSERT(choice->firstEventSeconds < 0.3);
    }

    // Guards against engines that idle while prompts wait: a prompt started only when four in five
    // engines were free, however short its parts would have been on fewer.
    void longPromptStartsBesideBusyEngines()
    {
        for (std::size_t index = 1; index < 5; ++index)
            addBriefPrefill(*this->views[index], index, 40'000);
        const auto choice = this->place(45'000, 1.5);
        CPPUNIT_ASSERT(choice.has_value());
        CPPUNIT_ASSERT(choice->firstEventSeconds < 0.5);
    }

    // Guards against engines that each decode a single long answer, in passes as long as for ten
    // answers, while the prefill of other prompts waits.
    void longRequestsJoinBriefOnes()
    {
        for (std::uint64_t work = 1; work <= 4; ++work) {
            addBriefPrefill(*this->views[0], work, 5'000);
            WorkNote decoding;
            decoding.requestHash = work;
            decoding.stage = WorkStage::Decoding;
            this->views[0]->apply(decoding, this->start);
        }
        const PassPlacementSettings settings = PassPlacementSettings().withTightestPause(0.2);
        const auto fits = this->place(60'000, 1.5, settings);
        CPPUNIT_ASSERT(fits.has_value());
        CPPUNIT_ASSERT(fits->engine == this->views[0]->description().id);
        // Its parts alone exceed the pauses that the callers of the brief requests accept.
        const auto huge = this->place(300'000, 1.5, settings);
        CPPUNIT_ASSERT(huge.has_value());
        CPPUNIT_ASSERT(huge->engine != this->views[0]->description().id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PassPlacementTest);

} // namespace lavenderthread::coordination::routing
