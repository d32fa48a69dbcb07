// What an endpoint reports about itself: a description when it announces itself, then load reports.
#pragma once

#include "state/Address.h"
#include "state/Ids.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace lavenderthread::state {

enum class EndpointKind : std::uint8_t { Engine, PlainService };

// Immutable. Sent by the endpoint, stored by its owner, and read by every entry that
// routes to it.
struct EndpointDescription
{
    EndpointId id;
    Address address;
    EndpointKind kind = EndpointKind::Engine;
    FailureDomain failureDomain;
    ServiceName service; // the service that callers request; an engine's models are listed below
    std::vector<ModelName> models; // currently loaded; empty for a plain service
    std::uint64_t incarnation = 0; // increases with each start of the endpoint under the same id
    std::uint64_t kvCapacityTokens = 0; // capacity of an engine's KV cache, in tokens
    double prefillTokensPerSecond = 0;  // of an idle engine
    double decodeTokensPerSecond = 0;   // of a sequence that runs alone
    bool honoursFencing = false;        // refuses orders with an outdated fencing number

    auto operator<=>(const EndpointDescription &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->address, this->kind, this->failureDomain, this->service,
                this->models, this->incarnation, this->kvCapacityTokens,
                this->prefillTokensPerSecond, this->decodeTokensPerSecond, this->honoursFencing);
    }
};

// That an endpoint gets no more work: this start of it, and earlier ones, have left.
struct Deregistration
{
    EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Deregistration &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation);
    }
};

// Load as reported by an endpoint: delayed by the endpoint's report lag, and sometimes missing.
struct LoadReport
{
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; // increases with each report of one incarnation
    std::uint32_t runningRequests = 0;
    std::uint32_t waitingRequests = 0;
    std::uint64_t waitingPrefillTokens = 0; // prompt tokens still to prefill, of all its requests
    std::uint64_t kvUsedTokens = 0;         // pinned by running requests, exports and reservations

    auto operator<=>(const LoadReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation, this->sequence, this->runningRequests,
                this->waitingRequests, this->waitingPrefillTokens, this->kvUsedTokens);
    }
};

} // namespace lavenderthread::state
