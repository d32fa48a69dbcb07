// Codec of the consensus messages, with the bounds that a receiver relies on.
#pragma once

#include "coordination/consensus/Messages.h"
#include "state/Error.h"

#include <string>
#include <string_view>

namespace lavenderthread::protocol {

std::string encodeConsensusMessage(const coordination::consensus::Message &message);

// Errors: Unsupported for another version; Corrupt for what does not decode whole, for ids that are
// empty or too long, and for entries that are not contiguous.
state::Result<coordination::consensus::Message> decodeConsensusMessage(std::string_view bytes);

} // namespace lavenderthread::protocol
