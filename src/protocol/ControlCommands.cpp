// All cereal instantiations for the control types are in this file.
#include "protocol/ControlCommands.h"

#include "protocol/BoundedInputArchive.h"
#include "protocol/Envelope.h"
#include "protocol/TextPatch.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/set.hpp>

#include <utility>

namespace lavenderthread::protocol {

namespace {

namespace control = state::control;

template <typename Value>
state::Result<Value> decodeWithStep(std::string_view bytes, const char *step)
{
    state::Result<Value> value = decode<Value>(bytes);
    if (!value)
        return value.error().withStep(step);
    return value;
}

// Configurations are always stored compressed: each one is replicated to every member and written
// to every disk, and two uncompressed ones filled the log of a control VM.
void compress(control::ConfigurationDocument &document)
{
    document.text = makeTextPatch({}, document.text);
}

state::Result<void> decompress(control::ConfigurationDocument &document)
{
    BOOST_OUTCOME_TRY(document.text, applyTextPatch({}, document.text, maximumMessageBytes));
    return state::outcome::success();
}

state::Result<void> decompress(std::vector<control::FeedChange> &changes)
{
    for (control::FeedChange &change : changes) {
        if (auto *document = std::get_if<control::ConfigurationDocument>(&change)) {
            BOOST_OUTCOME_TRYV(decompress(*document));
        }
    }
    return state::outcome::success();
}

} // namespace

std::string encodeCommand(const control::Command &command)
{
    const auto *replace = std::get_if<control::ReplaceConfiguration>(&command);
    if (replace == nullptr)
        return encode(command);
    control::ReplaceConfiguration compressed = *replace;
    compress(compressed.document);
    return encode(control::Command(std::move(compressed)));
}

state::Result<control::Command> decodeCommand(std::string_view bytes)
{
    auto command = decodeWithStep<control::Command>(bytes, "command.decode");
    if (!command)
        return command;
    if (auto *replace = std::get_if<control::ReplaceConfiguration>(&command.value())) {
        BOOST_OUTCOME_TRYV(decompress(replace->document));
    }
    return command;
}

std::string encodeAnswer(const control::Answer &answer)
{
    return encode(answer);
}

state::Result<control::Answer> decodeAnswer(std::string_view bytes)
{
    return decodeWithStep<control::Answer>(bytes, "answer.decode");
}

std::string encodeFeedPage(const control::FeedPage &page)
{
    return encode(page);
}

state::Result<control::FeedPage> decodeFeedPage(std::string_view bytes)
{
    return decodeWithStep<control::FeedPage>(bytes, "feed.decode");
}

std::string encodeControlImage(control::ControlImage image)
{
    control::sortClaims(image.claims);
    for (control::FeedChange &change : image.view) {
        if (auto *document = std::get_if<control::ConfigurationDocument>(&change))
            compress(*document);
    }
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
        BOOST_OUTCOME_TRYV(decompress(image.view));
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
