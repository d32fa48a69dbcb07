// Flap damping: counts recent restarts per endpoint, so that an endpoint in a crash loop gets no
// work and its updates do not fill the gossip datagrams.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace lavenderthread::coordination::endpoints {

struct FlapDampingSettings
{
    double holdThreshold = 4; // restarts, each weighted by its age
    // Below holdThreshold: hysteresis, so that the decision does not flap.
    double releaseThreshold = 2;
    state::Duration halfLife = std::chrono::seconds(60);
};

// Holds an endpoint once its decayed restart count reaches holdThreshold, and releases it when the
// count falls below releaseThreshold.
class FlapDamping
{
public:
    explicit FlapDamping(const FlapDampingSettings &chosen)
        : settings(chosen)
    {}

    // Call for every record seen. An incarnation above the last one seen counts as a restart.
    void observe(const state::EndpointId &endpoint, std::uint64_t incarnation, state::Instant now);
    bool isHeld(const state::EndpointId &endpoint, state::Instant now);
    // Drops endpoints whose last restart is many half-lives ago.
    void forgetStable(state::Instant now);

private:
    struct Penalty
    {
        std::uint64_t incarnation = 0;
        double restarts = 0; // decayed count as of `updatedAt`
        state::Instant updatedAt;
        bool held = false;
    };

    double decayed(const Penalty &penalty, state::Instant now) const;

    FlapDampingSettings settings;
    std::map<state::EndpointId, Penalty> penalties;
};

} // namespace lavenderthread::coordination::endpoints
