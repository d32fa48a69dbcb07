// What an endpoint says of itself: its announcement when it arrives, and its reports after that.
#pragma once

#include "state/Address.h"
#include "state/Ids.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lavenderthread::state {

enum class EndpointKind : std::uint8_t { Engine, PlainService };

// Immutable. Sent by the endpoint, stored by its owner, read by every entry that routes to it.
struct EndpointDescription
{
    EndpointId id;
    Address address;
    EndpointKind kind = EndpointKind::Engine;
    FailureDomain failureDomain;
    ServiceName service;                // what callers ask for; an engine's models are listed below
    std::vector<ModelName> models;      // loaded now; empty for a plain service
    std::uint64_t incarnation = 0;      // grows with each start of the endpoint under the same id
    std::uint64_t kvCapacityTokens = 0; // engine memory for KV cache, in tokens
    double prefillTokensPerSecond = 0;  // of one idle engine
    double decodeTokensPerSecond = 0;   // of one sequence alone
    bool honoursFencing = false;        // refuses orders that carry an old fencing number

    auto operator<=>(const EndpointDescription &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->address, this->kind, this->failureDomain, this->service,
                this->models, this->incarnation, this->kvCapacityTokens,
                this->prefillTokensPerSecond, this->decodeTokensPerSecond, this->honoursFencing);
    }
};

// Load as an endpoint reports it: late by its lag, and missing at times.
struct LoadReport
{
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // grows with each report of one incarnation
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    std::uint64_t waitingPrefillTokens = 0; // not yet prefilled, of all its requests
    std::uint64_t kvUsedTokens = 0;         // pinned by running work, exports and reservations

    auto operator<=>(const LoadReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation, this->sequence, this->runningRequests,
                this->waitingRequests, this->waitingPrefillTokens, this->kvUsedTokens);
    }
};

} // namespace lavenderthread::state
