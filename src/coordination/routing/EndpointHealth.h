// Which endpoints fail what is sent to them, from the ends of attempts: an endpoint may fail half
// of its requests while it says of itself that it is well.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace lavenderthread::coordination::routing {

enum class AttemptHealth : std::uint8_t {
    Served,
    Failed,      // refused, broken off, silent, or answered by a failure
    Unreachable, // no connection
};

struct EndpointHealthSettings
{
    state::Duration memory = std::chrono::seconds(4); // half-life of what was seen
    double failures = 2.5;                            // seen lately, that make an endpoint suspect,
    double failureShare = 0.4; // if they are this share of what was sent to it
    state::Duration firstSuspicion = std::chrono::seconds(1); // doubles each time
    state::Duration longestSuspicion = std::chrono::seconds(8);
};

class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthSettings chosen = {})
        : settings(chosen)
    {}

    // True if the endpoint became suspect by it.
    bool note(const state::EndpointId &id, std::uint64_t incarnation, AttemptHealth health,
              state::Instant now);
    bool isSuspect(const state::EndpointId &id, std::uint64_t incarnation,
                   state::Instant now) const;
    void forget(state::Instant now); // what was long not heard of

private:
    struct Seen
    {
        std::uint64_t incarnation = 0;
        double failed = 0; // both decayed to `at`
        double served = 0;
        state::Instant at;
        state::Instant suspectUntil;
        state::Duration nextSuspicion{0};
    };

    void decay(Seen &seen, state::Instant now) const;
    void suspect(Seen &seen, state::Instant now) const;

    EndpointHealthSettings settings;
    std::map<state::EndpointId, Seen> endpoints;
};

} // namespace lavenderthread::coordination::routing
