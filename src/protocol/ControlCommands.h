// Codec for control commands (the payload of log entries), their answers, feed pages and control
// state snapshots.
#pragma once

#include "state/Error.h"
#include "state/control/ControlState.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// Exceeds the size of any snapshot within ControlLimits.
constexpr std::size_t maximumSnapshotBytes = 512U << 20U;

std::string encodeCommand(const state::control::Command &command);
state::Result<state::control::Command> decodeCommand(std::string_view bytes);

std::string encodeAnswer(const state::control::Answer &answer);
state::Result<state::control::Answer> decodeAnswer(std::string_view bytes);

std::string encodeFeedPage(const state::control::FeedPage &page);
state::Result<state::control::FeedPage> decodeFeedPage(std::string_view bytes);

// Equal states give equal bytes, regardless of the order of the image's claims.
std::string encodeControlImage(state::control::ControlImage image);
std::string encodeControlState(const state::control::ControlState &state);
state::Result<state::control::ControlState>
decodeControlState(std::string_view bytes, const state::control::ControlLimits &limits = {});

// Stamps an operator's action with the request's identity and the digest that a resend has to
// match.
state::control::OperatorCommand makeOperatorCommand(state::OperatorId operatorId,
                                                    std::string requestId, state::WallTime at,
                                                    state::control::OperatorAction action);

} // namespace lavenderthread::protocol
