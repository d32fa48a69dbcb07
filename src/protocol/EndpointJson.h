// Parses the JSON bodies of endpoints' calls to an entry: announcements, load reports, cache events
// and leaves.
#pragma once

#include "state/Endpoint.h"
#include "state/Error.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace lavenderthread::protocol {

struct CacheEvent
{
    enum class Kind : std::uint8_t { Stored, Evicted, Cleared };
    Kind kind = Kind::Cleared;
    std::uint64_t block = 0;

    auto operator<=>(const CacheEvent &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->block);
    }
};

// Events of one incarnation, numbered firstSequence, firstSequence + 1, …; there may be gaps
// between batches.
struct CacheEventBatch
{
    std::uint64_t incarnation = 0;
    std::uint64_t firstSequence = 0;
    std::vector<CacheEvent> events;

    auto operator<=>(const CacheEventBatch &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->incarnation, this->firstSequence, this->events);
    }
};

// All errors are InvalidArgument; the step names the call and the cause names the JSON member.
state::Result<state::EndpointDescription> parseAnnouncement(std::string_view json);
state::Result<state::LoadReport> parseLoadReport(const state::EndpointId &endpoint,
                                                 std::string_view json);
state::Result<CacheEventBatch> parseCacheEvents(std::string_view json);
// Returns the leaving incarnation in a batch without events.
state::Result<CacheEventBatch> parseLeave(std::string_view json);

} // namespace lavenderthread::protocol
