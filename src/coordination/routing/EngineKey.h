// Short name of an engine in the news that entries send each other.
#pragma once

#include "state/Ids.h"

#include <xxhash.h>

#include <compare>
#include <cstdint>

namespace lavenderthread::coordination::routing {

// Hash of its id: a note that names 17 engines goes to each peer of a large fleet, and ids would
// make up three quarters of it. Two engines share a key in one of some 8,000 fleets of 1,000; what
// goes to either of them then counts at one, which costs speed only.
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
