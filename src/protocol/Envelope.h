// Encodes messages between the system's processes as a version byte followed by the body in
// cereal's portable binary format. Decoding never reads beyond the given bytes and never throws.
#pragma once

#include "protocol/BoundedInputArchive.h"
#include "state/Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// Incremented with every change to a message between processes. Messages of nodes with another
// version are rejected.
constexpr std::uint8_t peerProtocolVersion = 6;
// Size limit of a message between processes; larger transfers are split.
constexpr std::size_t maximumMessageBytes = 4U << 20U;

template <typename Message>
std::string encode(const Message &message)
{
    std::ostringstream stream;
    stream.put(static_cast<char>(peerProtocolVersion));
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

// Errors: Unsupported for another version, Corrupt for anything that does not decode completely.
// A malicious length can't cause a large allocation: BoundedInputArchive rejects lengths beyond
// the bytes given.
template <typename Message>
state::Result<Message> decode(std::string_view bytes)
{
    if (bytes.size() < 2 || bytes.size() > maximumMessageBytes)
        return state::makeError(state::ErrorCode::Corrupt, "message.decode", "bad size");
    if (static_cast<std::uint8_t>(bytes.front()) != peerProtocolVersion)
        return state::makeError(state::ErrorCode::Unsupported, "message.decode",
                                "unknown protocol version");
    try {
        BoundedInputArchive archive(bytes.substr(1));
        Message message{};
        archive(message);
        if (archive.bytesLeft() > 0)
            return state::makeError(state::ErrorCode::Corrupt, "message.decode",
                                    "bytes after the message");
        return message;
    } catch (const std::exception &problem) {
        return state::makeError(state::ErrorCode::Corrupt, "message.decode", problem.what());
    }
}

} // namespace lavenderthread::protocol
