// Tests the consensus codec: every message kind round-trips, and malformed messages are rejected.
#include "protocol/ConsensusMessages.h"

#include "protocol/Envelope.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <random>
#include <vector>

namespace lavenderthread::protocol {

using coordination::consensus::AppendRequest;
using coordination::consensus::AppendResponse;
using coordination::consensus::Message;
using coordination::consensus::SnapshotChunk;
using coordination::consensus::SnapshotResponse;
using coordination::consensus::VoteRequest;
using coordination::consensus::VoteResponse;

class ConsensusMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConsensusMessagesTest);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(rejectsViolatedBounds);
    CPPUNIT_TEST(rejectsCorruption);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::vector<Message> samples()
    {
        const state::VmId from("vm1");
        const state::VmId to("vm2");
        AppendRequest append{7, {6, 40}, 39, 123456, {}};
        append.entries = {{{7, 41}, state::log::LogEntryKind::Command, std::string(300, 'x')},
                          {{7, 42}, state::log::LogEntryKind::Noop, {}}};
        return {{from, to, VoteRequest{7, {6, 40}, true}},
                {from, to, VoteResponse{7, false, true}},
                {from, to, append},
                {from, to, AppendResponse{7, true, 42, -5}},
                {from, to, SnapshotChunk{7, {6, 30}, "voter a 1.1.1.1:1\n", 10, 4, "abc", 9}},
                {from, to, SnapshotResponse{7, {6, 30}, 7, false, 9}}};
    }

    void roundTrip()
    {
        for (const Message &message : samples()) {
            const ConsensusFrame frame{{"10.0.0.1", 80}, message};
            const auto back = decodeConsensusFrame(encodeConsensusFrame(frame));
            CPPUNIT_ASSERT(back.has_value() && back.value() == frame);
        }
    }

    void rejectsViolatedBounds()
    {
        const Message good = samples()[2];
        Message gap = good;
        std::get<AppendRequest>(gap.body).entries[1].position.index = 44;
        Message newer = good;
        std::get<AppendRequest>(newer.body).entries[1].position.term = 8;
        Message kind = good;
        std::get<AppendRequest>(kind.body).entries[1].kind = state::log::LogEntryKind{9};
        Message nameless = good;
        nameless.from = state::VmId();
        Message longName = good;
        longName.to = state::VmId(std::string(129, 'v'));
        Message beyond = samples()[4];
        std::get<SnapshotChunk>(beyond.body).offset = 8;
        for (const Message &bad : {gap, newer, kind, nameless, longName, beyond}) {
            const auto refused = decodeConsensusFrame(encode(ConsensusFrame{{}, bad}));
            CPPUNIT_ASSERT(refused.has_error());
            CPPUNIT_ASSERT(refused.error().code == state::ErrorCode::Corrupt);
        }
        std::string version = encodeConsensusFrame({{}, good});
        version[0] = static_cast<char>(peerProtocolVersion + 1);
        CPPUNIT_ASSERT(decodeConsensusFrame(version).error().code == state::ErrorCode::Unsupported);
    }

    // A truncated message is rejected. A message with changed bytes is rejected or decodes to some
    // other valid message.
    void rejectsCorruption()
    {
        std::mt19937_64 random(4);
        for (const Message &message : samples()) {
            const std::string whole = encodeConsensusFrame({{}, message});
            for (std::size_t size = 0; size < whole.size(); ++size)
                CPPUNIT_ASSERT(decodeConsensusFrame(whole.substr(0, size)).has_error());
            for (int round = 0; round < 2000; ++round) {
                std::string corrupted = whole;
                for (int change = 0; change < 3; ++change)
                    corrupted[random() % corrupted.size()] = static_cast<char>(random());
                static_cast<void>(decodeConsensusFrame(corrupted).has_error());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsensusMessagesTest);

} // namespace lavenderthread::protocol
