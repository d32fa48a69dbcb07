// Event ids of streamed answers. An id tells any entry which engine runs the stream and how far the
// caller has read, so that the caller can resume at another entry if its own fails. Ids are sealed
// so that a caller can't forge one to read another account's stream.
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
    std::uint64_t offset = 0; // of the last token that the caller has received

    auto operator<=>(const EventId &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->account, this->endpoint, this->engine, this->stream, this->offset);
    }
};

// Returns hex text without whitespace, as required by the `id:` line of a server-sent event.
std::string sealEventId(const SealKeys &keys, const EventId &id);
// Errors: InvalidArgument (not hex), Unauthorized (seal), Corrupt.
state::Result<EventId> unsealEventId(const SealKeys &keys, std::string_view text);

} // namespace lavenderthread::protocol
