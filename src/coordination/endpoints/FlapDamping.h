// Counts how often an endpoint restarted of late, so that one that crashes again and again gets no
// work and fills no datagrams meanwhile.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>

namespace lavenderthread::coordination::endpoints {

struct FlapDampingSettings
{
    double holdAt = 4;    // restarts, weighed by age
    double releaseAt = 2; // below holdAt, so that the decision itself doesn't flap
    state::Duration halfLife = std::chrono::seconds(60);
};

class FlapDamping
{
public:
    explicit FlapDamping(const FlapDampingSettings &chosen)
        : settings(chosen)
    {}

    // Call for every record seen; a higher incarnation than before counts as a restart.
    void observe(const state::EndpointId &endpoint, std::uint64_t incarnation, state::Instant now);
    bool isHeld(const state::EndpointId &endpoint, state::Instant now);
    void forgetCalm(state::Instant now);

private:
    struct Penalty
    {
        std::uint64_t incarnation = 0;
        double restarts = 0; // as of `updatedAt`
        state::Instant updatedAt;
        bool held = false;
    };

    double decayed(const Penalty &penalty, state::Instant now) const;

    FlapDampingSettings settings;
    std::map<state::EndpointId, Penalty> penalties;
};

} // namespace lavenderthread::coordination::endpoints
