// Decides whether a process that has just started knows enough endpoints to place requests.
#pragma once

#include "state/Time.h"

#include <compare>
#include <cstddef>

namespace lavenderthread::coordination::routing {

// Load: after a loss of all power every entry starts at once, with the requests that have waited
// for it, and learns of the endpoints one after the other with their heartbeats. Placed at once,
// the requests of all entries go to the same few endpoints that are known first.
class EndpointArrivals
{
public:
    // The number of endpoints that the process knows, whenever it changes.
    void update(std::size_t count, state::Instant now);
    // Whether further endpoints are likely to become known within milliseconds. False before the
    // first one.
    bool isGrowing(state::Instant now) const;

    auto operator<=>(const EndpointArrivals &) const = default;

private:
    std::size_t known = 0;
    state::Instant firstAt; // Instant{}: none has been known yet
    state::Instant lastAt;  // of the last increase
};

} // namespace lavenderthread::coordination::routing
