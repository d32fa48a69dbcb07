// Decides whether a request leaves its entry's own paths to the endpoints and goes on through a
// peer.
#pragma once

#include "coordination/routing/PathHealth.h"

#include <compare>
#include <cstdint>

namespace lavenderthread::coordination::relay {

// Connections of one request to endpoints that have failed.
struct ConnectionFailures
{
    std::uint32_t ended = 0; // refused, or closed without an answer
    std::uint32_t timedOut = 0;

    auto operator<=>(const ConnectionFailures &) const = default;
};

// Load: a failure domain is down, and its endpoints look idle. The first connection that is refused
// leaves the entry's paths in doubt, but another domain is likely to answer; a peer would meet the
// same endpoints. A connection that has timed out has cost too much time to try another one.
// `severalDomains`: the service has endpoints in more than one failure domain.
bool shouldLeaveOwnPaths(routing::PathState paths, const ConnectionFailures &failures,
                         bool severalDomains);

} // namespace lavenderthread::coordination::relay
