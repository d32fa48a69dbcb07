// All cereal instantiations of the control types stand in this one file.
#include "protocol/ControlCommands.h"

#include "protocol/BoundedInputArchive.h"
#include "protocol/Envelope.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/set.hpp>

#include <utility>

namespace lavenderthread::protocol {

namespace {

namespace control = state::control;

template <typename Value>
state::Result<Value> decodeWhole(std::string_view bytes, const char *step)
{
    state::Result<Value> value = decode<Value>(bytes);
    if (!value)
        return value.error().withStep(step);
    return value;
}

} // namespace

std::string encodeCommand(const control::Command &command)
{
    return encode(command);
}

state::Result<control::Command> decodeCommand(std::string_view bytes)
{
    return decodeWhole<control::Command>(bytes, "command.decode");
}

std::string encodeAnswer(const control::Answer &answer)
{
    return encode(answer);
}

state::Result<control::Answer> decodeAnswer(std::string_view bytes)
{
    return decodeWhole<control::Answer>(bytes, "answer.decode");
}

std::string encodeFeedPage(const control::FeedPage &page)
{
    return encode(page);
}

state::Result<control::FeedPage> decodeFeedPage(std::string_view bytes)
{
    return decodeWhole<control::FeedPage>(bytes, "feed.decode");
}

std::string encodeControlImage(control::ControlImage image)
{
    control::sortClaims(image.claims);
    return encode(image);
}

std::string encodeControlState(const control::ControlState &state)
{
    return encodeControlImage(state.copyImage());
}

state::Result<control::ControlState> decodeControlState(std::string_view bytes,
                                                        const control::ControlLimits &limits)
{
    constexpr const char *step = "snapshot.decode";
    if (bytes.empty() || bytes.size() > maximumSnapshotBytes)
        return state::makeError(state::ErrorCode::Corrupt, step, "bad size");
    if (static_cast<std::uint8_t>(bytes.front()) != peerProtocolVersion)
        return state::makeError(state::ErrorCode::Unsupported, step, "unknown version");
    try {
        BoundedInputArchive archive(bytes.substr(1));
        control::ControlImage image;
        archive(image);
        return control::ControlState(limits, std::move(image));
    } catch (const std::exception &problem) {
        return state::makeError(state::ErrorCode::Corrupt, step, problem.what());
    }
}

control::OperatorCommand makeOperatorCommand(state::OperatorId operatorId, std::string requestId,
                                             state::WallTime at, control::OperatorAction action)
{
    const control::Digest digest = control::Digest::of(encode(action));
    return {control::OperatorStamp{std::move(operatorId), std::move(requestId), digest, at},
            std::move(action)};
}

} // namespace lavenderthread::protocol
