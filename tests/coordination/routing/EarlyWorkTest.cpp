// Tests the work that peers report on engines which this entry does not know yet.
#include "coordination/routing/EarlyWork.h"

#include "PassPlans.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr state::Instant start{seconds(100)};
constexpr state::Duration lifetime = seconds(10);
const state::EndpointId answering("answering");
const state::EndpointId helping("helping");

EngineView viewOf(const state::EndpointId &id)
{
    const state::routes::EngineProfile profile = bench::heavyDay(1).profile;
    state::EndpointDescription description;
    description.id = id;
    description.incarnation = 1;
    description.kvCapacityTokens = profile.kvCapacityTokens;
    description.prefillTokensPerSecond = profile.prefillTokensPerSecond;
    EngineView view(description, PolicySettings());
    view.setProfile(profile);
    return view;
}

WorkNote noteOf(std::uint64_t hash, std::uint32_t tokens)
{
    WorkNote note;
    note.requestHash = hash;
    note.engine = EngineKey::of(answering);
    note.promptTokens = note.prefillTokens = note.memoryTokens = tokens;
    note.outputTokens = 100;
    note.lifetime = lifetime;
    return note;
}

} // namespace

class EarlyWorkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyWorkTest);
    CPPUNIT_TEST(engineHasWorkFromBeforeItWasKnown);
    CPPUNIT_TEST(endedAndExpiredWorkIsForgotten);
    CPPUNIT_TEST(helpersHaveTheirParts);
    CPPUNIT_TEST(numberOfWorksIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the belief that an engine is idle because this entry has just learned of it.
    void engineHasWorkFromBeforeItWasKnown()
    {
        EarlyWork early;
        constexpr std::uint64_t requests = 12;
        for (std::uint64_t hash = 1; hash <= requests; ++hash)
            early.add(noteOf(hash, 5'000), start + milliseconds(hash));
        early.advance(1, WorkStage::Decoding, start + milliseconds(50));
        EngineView view = viewOf(answering);
        early.applyTo(view, start + milliseconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(requests), view.residentWork().size());
        CPPUNIT_ASSERT_EQUAL(1L,
                             std::ranges::count_if(view.residentWork(), &ResidentWork::decoding));
        // The engine has gone on with the prefill since the first note.
        CPPUNIT_ASSERT(view.prefillSecondsLeft() < view.prefillSeconds(5'000.0 * requests));
        EngineView other = viewOf(state::EndpointId("other"));
        early.applyTo(other, start + milliseconds(60));
        CPPUNIT_ASSERT(other.residentWork().empty());
    }

    // Guards against work that an engine appears to have although it ended before the engine became
    // known, or although its entry crashed and nobody reports its end.
    void endedAndExpiredWorkIsForgotten()
    {
        EarlyWork early;
        early.add(noteOf(1, 5'000), start);
        early.add(noteOf(2, 5'000), start);
        early.advance(1, WorkStage::Ended, start + seconds(1));
        EngineView view = viewOf(answering);
        early.applyTo(view, start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), view.residentWork().size());
        EngineView later = viewOf(answering);
        early.applyTo(later, start + lifetime);
        CPPUNIT_ASSERT(later.residentWork().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), early.size());
    }

    // Guards against a helper that looks idle while it prefills its part of a long prompt, and
    // against one that looks busy with it after the first token.
    void helpersHaveTheirParts()
    {
        EarlyWork early;
        WorkNote note = noteOf(1, 50'000);
        note.hasHelpers = true;
        note.helpers = {EngineKey::of(helping)};
        early.add(note, start);
        EngineView busy = viewOf(helping);
        early.applyTo(busy, start + milliseconds(1));
        CPPUNIT_ASSERT(busy.prefillSecondsLeft() > 0);
        early.advance(1, WorkStage::Decoding, start + milliseconds(2));
        EngineView done = viewOf(helping);
        early.applyTo(done, start + milliseconds(3));
        CPPUNIT_ASSERT(done.residentWork().empty());
    }

    // Guards against memory that grows without limit while engines stay unknown.
    void numberOfWorksIsBounded()
    {
        EarlyWork early;
        for (std::uint64_t hash = 1; hash <= 2 * EarlyWork::capacity; ++hash)
            early.add(noteOf(hash, 5'000), start);
        CPPUNIT_ASSERT_EQUAL(EarlyWork::capacity, early.size());
        early.add(noteOf(1, 5'000), start + lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), early.size()); // room once the others have expired
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyWorkTest);

} // namespace lavenderthread::coordination::routing
