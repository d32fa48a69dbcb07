// Event ids of streamed answers. An id tells any entry where the stream runs and how far the caller
// has read, so that a caller whose entry died resumes elsewhere. Sealed: a caller can't make one up
// and read another account's stream.
#pragma once

#include "protocol/Seal.h"
#include "state/Address.h"
#include "state/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lavenderthread::protocol {

struct EventId
{
    state::ClientAccountId account;
    state::EndpointId endpoint;
    state::Address engine;
    std::string stream;       // the engine's stream id
    std::uint64_t offset = 0; // of the last token the caller has

    auto operator<=>(const EventId &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->account, this->endpoint, this->engine, this->stream, this->offset);
    }
};

// Hex text without blanks, fit for the `id:` line of a server-sent event.
std::string sealEventId(const SealKeys &keys, const EventId &id);
// Errors: InvalidArgument (not hex), Unauthorized (seal), Corrupt.
state::Result<EventId> openEventId(const SealKeys &keys, std::string_view text);

} // namespace lavenderthread::protocol
