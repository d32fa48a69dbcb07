// Compact engine identifier for the messages between entries.
#pragma once

#include "state/Ids.h"

#include <xxhash.h>

#include <compare>
#include <cstdint>

namespace lavenderthread::coordination::routing {

// Hash of the endpoint id. A work note that names 17 engines goes to each peer of a large fleet,
// and full ids would be three quarters of its size. In about one of 8,000 fleets with 1,000 engines
// two of them share a key; the work of both then counts at one, which costs only speed.
struct EngineKey
{
    std::uint32_t value = 0; // 0: none

    auto operator<=>(const EngineKey &) const = default;

    static EngineKey of(const state::EndpointId &engine)
    {
        return {XXH32(engine.value().data(), engine.value().size(), 0)};
    }
};

} // namespace lavenderthread::coordination::routing
