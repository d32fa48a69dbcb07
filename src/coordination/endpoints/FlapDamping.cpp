// Restart penalty with exponential decay and two thresholds.
#include "coordination/endpoints/FlapDamping.h"

#include <cmath>

namespace lavenderthread::coordination::endpoints {

void FlapDamping::observe(const state::EndpointId &endpoint, std::uint64_t incarnation,
                          state::Instant now)
{
    const auto [position, isFirst] =
            this->penalties.try_emplace(endpoint, Penalty{incarnation, 0, now, false});
    Penalty &penalty = position->second;
    if (isFirst || incarnation <= penalty.incarnation)
        return;
    penalty.restarts = this->decayed(penalty, now) + 1;
    penalty.updatedAt = now;
    penalty.incarnation = incarnation;
}

bool FlapDamping::isHeld(const state::EndpointId &endpoint, state::Instant now)
{
    const auto found = this->penalties.find(endpoint);
    if (found == this->penalties.end())
        return false;
    const double restarts = this->decayed(found->second, now);
    found->second.held = restarts >= (found->second.held ? this->settings.releaseThreshold
                                                         : this->settings.holdThreshold);
    return found->second.held;
}

void FlapDamping::forgetStable(state::Instant now)
{
    constexpr int stableHalfLives = 10;
    std::erase_if(this->penalties, [&](const auto &item) {
        return now - item.second.updatedAt > this->settings.halfLife * stableHalfLives;
    });
}

double FlapDamping::decayed(const Penalty &penalty, state::Instant now) const
{
    const std::chrono::duration<double> age = now - penalty.updatedAt;
    const std::chrono::duration<double> halfLife = this->settings.halfLife;
    return penalty.restarts * std::exp2(-age.count() / halfLife.count());
}

} // namespace lavenderthread::coordination::endpoints
