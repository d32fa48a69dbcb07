// What entries tell each other about requests under which endpoints end.
#pragma once

#include "state/Ids.h"
#include "state/RequestPart.h"
#include "state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::quarantine {

// The unplanned end of one start of an endpoint.
struct CrashId
{
    state::EndpointId endpoint;
    std::uint64_t incarnation = 0;

    auto operator<=>(const CrashId &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->endpoint, this->incarnation);
    }
};

// A request that an endpoint's end has cut off before its answer had gone far.
struct CrashReport
{
    static constexpr std::size_t maximumParts = 64; // the first ones, if it has more

    state::ServiceName service;
    CrashId crash;
    std::vector<state::RequestPart> parts; // of the request
    bool hasBegun = false;                 // some of the answer had come
    std::int64_t ageUs = 0;                // since the crash
    std::int64_t sentAgeUs = 0;            // since the request was sent to the endpoint

    auto operator<=>(const CrashReport &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->service, this->crash, this->parts, this->hasBegun, this->ageUs,
                this->sentAgeUs);
    }
};

// An endpoint has survived an answer to a request with that part.
struct PartCleared
{
    state::ServiceName service;
    state::RequestPart part = 0;
    std::int64_t ageUs = 0;

    auto operator<=>(const PartCleared &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->service, this->part, this->ageUs);
    }
};

// A single request with blocked parts is sent, to find out whether the block is still needed.
struct TrialStarted
{
    state::ServiceName service;
    std::vector<state::RequestPart> parts; // of the block
    std::uint32_t count = 0;               // trials since they were blocked
    std::int64_t ageUs = 0;

    auto operator<=>(const TrialStarted &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->service, this->parts, this->count, this->ageUs);
    }
};

} // namespace lavenderthread::coordination::quarantine
