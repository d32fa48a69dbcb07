// Passive health checks: marks endpoints as suspect from the outcomes of the attempts on them. An
// endpoint may fail half of its requests while it reports itself as healthy.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace lavenderthread::coordination::routing {

enum class AttemptHealth : std::uint8_t {
    Served,
    Failed,      // refused, cut off, timed out, or answered with a failure
    Unreachable, // no connection
};

struct EndpointHealthSettings
{
    state::Duration memory = std::chrono::seconds(4); // half-life of the counted outcomes
    double failures = 2.5;     // decayed count that makes an endpoint suspect,
    double failureShare = 0.4; // if at least this share of the attempts failed
    state::Duration firstSuspicion = std::chrono::seconds(1); // duration; doubles each time
    state::Duration longestSuspicion = std::chrono::seconds(8);
};

// Counts the outcomes per endpoint with exponential decay. An endpoint becomes suspect for a
// limited time, which doubles with each further suspicion up to a maximum. A restart clears it.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthSettings chosen = {})
        : settings(chosen)
    {}

    // Records the outcome of an attempt. Returns true if it made the endpoint suspect. Outcomes of
    // former incarnations are ignored.
    bool note(const state::EndpointId &id, std::uint64_t incarnation, AttemptHealth outcome,
              state::Instant now);
    bool isSuspect(const state::EndpointId &id, std::uint64_t incarnation,
                   state::Instant now) const;
    void forget(state::Instant now); // drops endpoints without recent attempts

private:
    // Recent outcomes of one endpoint.
    struct Seen
    {
        std::uint64_t incarnation = 0;
        double failed = 0; // both counts are decayed to `decayedAt`
        double served = 0;
        state::Instant at;
        state::Instant suspectUntil;
        state::Duration nextSuspicion{0};
    };

    void decay(Seen &recent, state::Instant now) const;
    void suspect(Seen &recent, state::Instant now) const;

    EndpointHealthSettings settings;
    std::map<state::EndpointId, Seen> endpoints;
};

} // namespace lavenderthread::coordination::routing
