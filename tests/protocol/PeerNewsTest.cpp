// What entries tell each other of work in progress, as datagrams.
#include "protocol/PeerNews.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::protocol {

using coordination::routing::EngineKey;
using coordination::routing::WorkNote;
using coordination::routing::WorkStage;

class PeerNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNewsTest);
    CPPUNIT_TEST(eachStageArrivesWithWhatItNeeds);
    CPPUNIT_TEST(noteOfALongPromptFitsALinksQueue);
    CPPUNIT_TEST(newsOfAnotherFormAreRefused);
    CPPUNIT_TEST_SUITE_END();

    const SealKeys keys{{"one-key"}};

    static WorkNote dispatched(std::size_t helpers)
    {
        WorkNote note;
        note.work = 0x1122334455667788;
        note.engine = EngineKey::of(state::EndpointId("i-96890990b2"));
        note.hasHelpers = helpers > 0;
        note.key = {state::ClientAccountId("account-10042"), state::WorkClass("review")};
        note.promptTokens = 588'757;
        note.prefillTokens = 300'000;
        note.outputTokens = 900;
        note.memoryTokens = 333'000;
        note.chargedTokens = 589'000;
        note.priority = 5;
        note.lifetime = std::chrono::seconds(15);
        note.pause = std::chrono::milliseconds(800);
        for (std::size_t index = 0; index < helpers; ++index) {
            const state::EndpointId helper("i-" + std::to_string(index));
            note.helpers.push_back(EngineKey::of(helper));
        }
        if (helpers > 0)
            note.helperMemory = {190'000, 66'000};
        return note;
    }

    WorkNote roundTrip(const WorkNote &note) const
    {
        const auto datagrams = sealPeerNews(this->keys, {note});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), datagrams.size());
        const auto news = unsealPeerNews(this->keys, datagrams.front());
        CPPUNIT_ASSERT(news.has_value());
        return std::get<WorkNote>(news.value().front());
    }

public:
    void eachStageArrivesWithWhatItNeeds()
    {
        CPPUNIT_ASSERT(roundTrip(dispatched(16)) == dispatched(16));
        CPPUNIT_ASSERT(roundTrip(dispatched(0)) == dispatched(0));
        for (const WorkStage stage : {WorkStage::Decoding, WorkStage::Ended}) {
            WorkNote later;
            later.stage = stage;
            later.work = 7;
            later.engine = EngineKey::of(state::EndpointId("i-1"));
            later.hasHelpers = true;
            CPPUNIT_ASSERT(roundTrip(later) == later);
        }
        WorkNote waiting;
        waiting.stage = WorkStage::Waiting;
        waiting.work = 8;
        waiting.age = std::chrono::milliseconds(1'250);
        waiting.engineTime = std::chrono::seconds(22);
        CPPUNIT_ASSERT(roundTrip(waiting) == waiting);
    }

    void noteOfALongPromptFitsALinksQueue()
    {
        // 116 peers are told of a prompt that 17 engines prefill, and a link of 14 Mbit/s holds
        // 30,000 bytes. With ids in it each note had 480.
        constexpr std::size_t headers = 28;
        const std::size_t most = 30'000 / 116 - headers;
        CPPUNIT_ASSERT(sealPeerNews(this->keys, {dispatched(16)}).front().size() <= most);
    }

    void newsOfAnotherFormAreRefused()
    {
        // While a new version is rolled out, nodes of the one before send notes of another layout.
        const std::string sealed = seal(this->keys, "peer-news", "anything");
        CPPUNIT_ASSERT(unsealPeerNews(this->keys, sealed).has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNewsTest);

} // namespace lavenderthread::protocol
