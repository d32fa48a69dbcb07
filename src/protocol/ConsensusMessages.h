// Codec for consensus messages; decoding enforces the bounds that receivers rely on.
#pragma once

#include "coordination/consensus/Messages.h"
#include "state/Address.h"
#include "state/Error.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// A message with the address for replies to its sender: a new member doesn't know any other
// member's address before it has received the leader's first entries.
struct ConsensusFrame
{
    state::Address replyTo;
    coordination::consensus::Message message;

    auto operator<=>(const ConsensusFrame &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->replyTo, this->message);
    }
};

std::string encodeConsensusFrame(const ConsensusFrame &frame);

// Errors: Unsupported for another version; Corrupt for what does not decode completely, for ids
// that are empty or too long, and for entries that are not contiguous.
state::Result<ConsensusFrame> decodeConsensusFrame(std::string_view bytes);

} // namespace lavenderthread::protocol
