// Tests the datagrams in which entries send each other updates about work in progress.
#include "protocol/PeerUpdate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::protocol {

using coordination::routing::EngineKey;
using coordination::routing::WorkNote;
using coordination::routing::WorkStage;

class PeerNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerNewsTest);
    CPPUNIT_TEST(notesOfAllStagesRoundTrip);
    CPPUNIT_TEST(replacedEndpointRoundTrips);
    CPPUNIT_TEST(limitsOfEndpointsRoundTrip);
    CPPUNIT_TEST(crashReportOfLongPromptFitsDatagram);
    CPPUNIT_TEST(noteForLongPromptFitsLinkQueue);
    CPPUNIT_TEST(updatesInAnotherFormatAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const SealKeys keys{{"one-key"}};

    static WorkNote dispatched(std::size_t helpers)
    {
        WorkNote note;
        note.requestHash = 0x1122334455667788;
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
        note.toleratedPause = std::chrono::milliseconds(800);
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
        const auto datagrams = sealPeerUpdates(this->keys, {note});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), datagrams.size());
        const auto updates = unsealPeerUpdates(this->keys, datagrams.front());
        CPPUNIT_ASSERT(updates.has_value());
        return std::get<WorkNote>(updates.value().front());
    }

public:
    void notesOfAllStagesRoundTrip()
    {
        CPPUNIT_ASSERT(roundTrip(dispatched(16)) == dispatched(16));
        CPPUNIT_ASSERT(roundTrip(dispatched(0)) == dispatched(0));
        for (const WorkStage stage : {WorkStage::Decoding, WorkStage::Ended}) {
            WorkNote later;
            later.stage = stage;
            later.requestHash = 7;
            later.engine = EngineKey::of(state::EndpointId("i-1"));
            later.hasHelpers = true;
            CPPUNIT_ASSERT(roundTrip(later) == later);
        }
        WorkNote waiting;
        waiting.stage = WorkStage::Waiting;
        waiting.requestHash = 8;
        waiting.age = std::chrono::milliseconds(1'250);
        waiting.prefillTime = std::chrono::seconds(22);
        waiting.rankDelay = std::chrono::seconds(11);
        waiting.firstEventTarget = std::chrono::seconds(4);
        waiting.modelHash = 0x99AABBCCDDEEFF00;
        waiting.promptTokens = 588'757;
        CPPUNIT_ASSERT(roundTrip(waiting) == waiting);
    }

    void replacedEndpointRoundTrips()
    {
        const EndpointReplaced replaced{state::EndpointId("i-96890990b2"), 1'780'000'000'123};
        const auto datagrams = sealPeerUpdates(this->keys, {replaced});
        const auto updates = unsealPeerUpdates(this->keys, datagrams.front());
        CPPUNIT_ASSERT(std::get<EndpointReplaced>(updates.value().front()) == replaced);
    }

    void limitsOfEndpointsRoundTrip()
    {
        const EndpointLimited limited{state::EndpointId("i-1"), 1'780'000'000'123, true, 2.1};
        const LimitedCall call{state::EndpointId("i-1"), 1'780'000'000'123};
        const auto datagrams = sealPeerUpdates(this->keys, {limited, call});
        const auto updates = unsealPeerUpdates(this->keys, datagrams.front());
        CPPUNIT_ASSERT(std::get<EndpointLimited>(updates.value().at(0)) == limited);
        CPPUNIT_ASSERT(std::get<LimitedCall>(updates.value().at(1)) == call);
    }

    void crashReportOfLongPromptFitsDatagram()
    {
        using namespace coordination::quarantine;
        constexpr std::size_t parts = 64;
        CrashReport report;
        report.service = state::ServiceName("llm");
        report.crash = {state::EndpointId("i-1"), 1'780'000'000'123};
        report.parts.assign(parts, ~0ULL);
        report.ageUs = 20;
        const PartCleared cleared{state::ServiceName("llm"), 7, 30};
        const TrialStarted trial{state::ServiceName("llm"), {7, 8}, 2, 40};
        const auto datagrams = sealPeerUpdates(this->keys, {report, cleared, trial});
        for (const std::string &datagram : datagrams)
            CPPUNIT_ASSERT(datagram.size() <= maximumPeerUpdateBytes);
        const auto updates = unsealPeerUpdates(this->keys, datagrams.front());
        CPPUNIT_ASSERT(std::get<CrashReport>(updates.value().at(0)) == report);
        CPPUNIT_ASSERT(std::get<PartCleared>(updates.value().at(1)) == cleared);
        CPPUNIT_ASSERT(std::get<TrialStarted>(updates.value().at(2)) == trial);
    }

    void noteForLongPromptFitsLinkQueue()
    {
        // A note about a prompt that 17 engines prefill is sent to 116 peers, and the queue of a
        // 14 Mbit/s link holds 30,000 bytes. With ids instead of keys, each note took 480 bytes.
        constexpr std::size_t headers = 28;
        const std::size_t maxBytes = 30'000 / 116 - headers;
        CPPUNIT_ASSERT(sealPeerUpdates(this->keys, {dispatched(16)}).front().size() <= maxBytes);
    }

    void updatesInAnotherFormatAreRejected()
    {
        // During a rollout, nodes of the previous version send notes with another layout.
        const std::string sealed = seal(this->keys, "peer-news", "anything");
        CPPUNIT_ASSERT(unsealPeerUpdates(this->keys, sealed).has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNewsTest);

} // namespace lavenderthread::protocol
