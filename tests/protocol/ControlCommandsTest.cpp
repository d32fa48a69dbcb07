// Tests the codec for commands and snapshots: round trips, and safe handling of corrupted bytes.
#include "protocol/ControlCommands.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace lavenderthread::protocol {

namespace {

namespace control = state::control;

std::vector<control::Command> sampleCommands()
{
    const state::ClientAccountId acme("acme");
    const control::ClaimId id = control::ClaimId::of(acme, "k");
    const control::ClaimHolder holder{state::VmId("vm-1"), 1, state::RequestId("r")};
    const state::TableRow row{.key = {acme, state::WorkClass("review")}, .weight = 4};
    const state::table::ClientAccount account{acme, "Acme", "hash", 0};
    const control::OrderSpec load{control::OrderKind::Load, {}, state::ModelName("v4"), "", 6};
    const auto byOperator = [&](control::OperatorAction action) {
        return makeOperatorCommand(state::OperatorId("ana"), "1", {}, std::move(action));
    };
    return {byOperator(control::EditRows{{{row, 3, false}}}),
            byOperator(control::PutAccount{account, 2}),
            byOperator(control::RemoveService{state::ServiceName("ledger"), 2}),
            byOperator(control::SubmitOrder{load}),
            control::RecordOrderProgress{4, state::EndpointId("e"), {}},
            control::TakeClaim{id, acme, {}, holder, std::chrono::seconds(5)},
            control::DispatchClaim{id, holder},
            control::ReleaseClaim{id, holder},
            control::FinishClaim{id, holder, control::ClaimResult{201, "text/plain", "ok", true}},
            control::EntryLost{state::VmId("vm-1"), 2},
            control::AdvanceTime{std::chrono::seconds(1)},
            control::ReplaceConfiguration{{7, "{\"Version\":7}"}},
            control::SetEvacuation{state::FailureDomain("zone-a"), true, 0, "10.0.0.1:7"}};
}

} // namespace

class ControlCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlCommandsTest);
    CPPUNIT_TEST(commandsRoundTrip);
    CPPUNIT_TEST(digestIgnoresOnlyTheTime);
    CPPUNIT_TEST(corruptCommandsAreHandledSafely);
    CPPUNIT_TEST(corruptSnapshotsAreHandledSafely);
    CPPUNIT_TEST(largeConfigurationFitsTheLog);
    CPPUNIT_TEST_SUITE_END();

public:
    void commandsRoundTrip()
    {
        for (const control::Command &command : sampleCommands()) {
            const auto decoded = decodeCommand(encodeCommand(command));
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(decoded.value() == command);
        }
        const control::Answer refused =
                control::Refused{state::makeError(state::ErrorCode::Conflict, "s", "c", "p"),
                                 control::RaceWinner{state::OperatorId("ana"), {}, 4}};
        CPPUNIT_ASSERT(decodeAnswer(encodeAnswer(refused)).value() == refused);
    }

    // Guards against a configuration that operators may send but that is too large for the log, and
    // against taking a snapshot after every second change.
    void largeConfigurationFitsTheLog()
    {
        std::string text;
        for (int route = 0; text.size() < 3'000'000; ++route)
            text += R"({"Name":"r-)" + std::to_string(route) + R"(","Kind":"stream"},)";
        const control::Command command = control::ReplaceConfiguration{{7, text}};
        const std::string bytes = encodeCommand(command);
        CPPUNIT_ASSERT(bytes.size() < text.size() / 4);
        CPPUNIT_ASSERT(decodeCommand(bytes).value() == command);
        control::ControlState state;
        state.apply({1, 1}, command);
        const std::string image = encodeControlState(state);
        CPPUNIT_ASSERT(image.size() < text.size() / 4);
        CPPUNIT_ASSERT_EQUAL(text, decodeControlState(image).value().view().configuration.text);
    }

    void digestIgnoresOnlyTheTime()
    {
        const auto digestOf = [](int at, std::uint32_t weight) {
            const state::TableRow row{.weight = weight};
            return makeOperatorCommand(state::OperatorId("ana"), "1",
                                       state::WallTime(std::chrono::milliseconds(at)),
                                       control::EditRows{{{row, 0, false}}})
                    .stamp.digest;
        };
        CPPUNIT_ASSERT(digestOf(1, 5) == digestOf(2, 5));
        CPPUNIT_ASSERT(digestOf(1, 5) != digestOf(1, 6));
    }

    void corruptCommandsAreHandledSafely()
    {
        // Truncated commands are rejected. Commands with a flipped bit are rejected or decode to
        // some other command, which the state must apply safely.
        std::mt19937_64 random(7);
        control::ControlState state;
        std::uint64_t index = 0;
        for (const control::Command &command : sampleCommands()) {
            const std::string bytes = encodeCommand(command);
            for (std::size_t length = 0; length < bytes.size(); ++length)
                CPPUNIT_ASSERT(
                        decodeCommand(std::string_view(bytes).substr(0, length)).has_error());
            CPPUNIT_ASSERT(decodeCommand(bytes + "x").has_error());
            for (int round = 0; round < 400; ++round) {
                std::string corrupted = bytes;
                corrupted[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8U));
                const auto decoded = decodeCommand(corrupted);
                if (decoded)
                    state.apply({1, ++index}, decoded.value());
            }
        }
    }

    void corruptSnapshotsAreHandledSafely()
    {
        control::ControlState state;
        std::uint64_t index = 0;
        for (const control::Command &command : sampleCommands())
            state.apply({1, ++index}, command);
        const std::string bytes = encodeControlState(state);
        CPPUNIT_ASSERT(decodeControlState(bytes).value().image() == state.image());
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CPPUNIT_ASSERT(
                    decodeControlState(std::string_view(bytes).substr(0, length)).has_error());
        std::mt19937_64 random(8);
        for (int round = 0; round < 2'000; ++round) {
            std::string corrupted = bytes;
            corrupted[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8U));
            // This must not crash; in a real log, the record's checksum detects the corruption.
            (void)decodeControlState(corrupted);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlCommandsTest);

} // namespace lavenderthread::protocol
