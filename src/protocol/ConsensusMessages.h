// Codec of the consensus messages, with the bounds that a receiver relies on.
#pragma once

#include "coordination/consensus/Messages.h"
#include "state/Address.h"
#include "state/Error.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

// A message and where its sender takes answers: a newcomer knows no member's address before the
// leader's first entries have reached it.
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

// Errors: Unsupported for another version; Corrupt for what does not decode whole, for ids that are
// empty or too long, and for entries that are not contiguous.
state::Result<ConsensusFrame> decodeConsensusFrame(std::string_view bytes);

} // namespace lavenderthread::protocol
