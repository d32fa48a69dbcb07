// Operators' orders to keep new work away from all endpoints of a failure domain.
#pragma once

#include "state/Ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace lavenderthread::state::control {

// The last order for one failure domain. The record stays when the evacuation has ended: its
// version tells a delayed order from the present state.
struct EvacuationMark
{
    FailureDomain failureDomain;
    bool evacuated = false;    // its endpoints get no new work
    std::uint64_t version = 0; // log index of the order
    std::string requestedBy;   // only for records and logs

    auto operator<=>(const EvacuationMark &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->evacuated, this->version, this->requestedBy);
    }
};

struct EvacuationMarkKey
{
    const FailureDomain &operator()(const EvacuationMark &mark) const { return mark.failureDomain; }
};

// Begins or ends the evacuation of a failure domain. A resend of an order that has taken effect is
// accepted again. An order that was held up until another one for the same domain took effect is
// refused: without `expectedVersion`, it would bring an older state back.
struct SetEvacuation
{
    FailureDomain failureDomain;
    bool evacuated = false;
    std::uint64_t expectedVersion = 0; // of the domain's mark when the order came; 0: none
    std::string requestedBy;

    auto operator<=>(const SetEvacuation &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->failureDomain, this->evacuated, this->expectedVersion, this->requestedBy);
    }
};

} // namespace lavenderthread::state::control
