// Encodes consensus messages with cereal and validates what the types don't guarantee.
#include "protocol/ConsensusMessages.h"

#include "protocol/Envelope.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace lavenderthread::protocol {

using coordination::consensus::AppendRequest;
using coordination::consensus::Message;
using coordination::consensus::SnapshotChunk;

namespace {

constexpr std::size_t maximumIdBytes = 128;

bool isId(const state::VmId &id)
{
    return !id.empty() && id.value().size() <= maximumIdBytes;
}

template <typename Body>
bool isValid(const Body & /*body*/)
{
    return true;
}

bool isValid(const AppendRequest &request)
{
    std::uint64_t index = request.previous.index;
    for (const state::log::LogEntry &entry : request.entries) {
        const bool known = entry.kind <= state::log::LogEntryKind::Configuration;
        if (entry.position.index != ++index || entry.position.term > request.term || !known)
            return false;
    }
    return true;
}

bool isValid(const SnapshotChunk &piece)
{
    return piece.offset <= piece.totalBytes
           && piece.bytes.size() <= piece.totalBytes - piece.offset;
}

} // namespace

std::string encodeConsensusFrame(const ConsensusFrame &frame)
{
    return encode(frame);
}

state::Result<ConsensusFrame> decodeConsensusFrame(std::string_view bytes)
{
    state::Result<ConsensusFrame> frame = decode<ConsensusFrame>(bytes);
    if (frame.has_error())
        return frame.error().withStep("consensus.decode");
    const Message &found = frame.value().message;
    const bool valid = std::visit([](const auto &body) { return isValid(body); }, found.body);
    if (!isId(found.from) || !isId(found.to) || !valid)
        return state::makeError(state::ErrorCode::Corrupt, "consensus.decode", "breaks a bound",
                                found.from.value().substr(0, maximumIdBytes));
    return frame;
}

} // namespace lavenderthread::protocol
