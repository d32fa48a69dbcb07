// Passive health checks: marks endpoints as suspect from the outcomes of the attempts on them. An
// endpoint may fail half of its requests while it reports itself as healthy.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace lavenderthread::coordination::routing {

enum class AttemptOutcome : std::uint8_t {
    Succeeded,
    Failed,      // refused, cut off, timed out, or answered with a failure
    Unreachable, // no connection
    Replaced,    // another endpoint answers at its address: this incarnation has ended
    Reachable,   // takes connections again: ends a suspicion that failed connections began
};

struct EndpointHealthSettings
{
    state::Duration halfLife = std::chrono::seconds(4); // half-life of the counted outcomes
    double minimumFailures = 2.5;     // decayed count that makes an endpoint suspect,
    double minimumFailureShare = 0.4; // if at least this share of the attempts failed
    state::Duration initialSuspicion = std::chrono::seconds(1); // duration; doubles each time
    state::Duration maximumSuspicion = std::chrono::seconds(8);
    // Longer than a fleet needs to expire an endpoint whose announcements have stopped. Such an
    // endpoint refuses faster than others answer, so it looks idle and attracts the requests.
    state::Duration suspicionIfReplaced = std::chrono::seconds(30);
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
    bool recordAttempt(const state::EndpointId &id, std::uint64_t incarnation,
                       AttemptOutcome outcome, state::Instant now);
    bool isSuspect(const state::EndpointId &id, std::uint64_t incarnation,
                   state::Instant now) const;
    // Whether another endpoint was found at the address of that incarnation.
    bool isReplaced(const state::EndpointId &id, std::uint64_t incarnation,
                    state::Instant now) const;
    void removeInactive(state::Instant now); // drops endpoints without recent attempts

private:
    // Recent outcomes of one endpoint.
    struct RecentOutcomes
    {
        std::uint64_t incarnation = 0;
        double failed = 0; // both counts are decayed to `decayedAt`
        double succeeded = 0;
        state::Instant decayedAt;
        state::Instant suspectUntil;
        state::Duration nextSuspicion{0};
        bool unreachable = false;       // the suspicion began with a failed connection
        state::Instant replacedUntil{}; // another endpoint has its address
    };

    void decay(RecentOutcomes &recent, state::Instant now) const;
    void markSuspect(RecentOutcomes &recent, state::Instant now) const;

    EndpointHealthSettings settings;
    std::map<state::EndpointId, RecentOutcomes> endpoints;
};

} // namespace lavenderthread::coordination::routing
