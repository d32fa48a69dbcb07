#include "coordination/routing/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

constexpr state::Duration forgottenAfter = std::chrono::seconds(60);

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool EndpointHealth::note(const state::EndpointId &id, std::uint64_t incarnation,
                          AttemptHealth health, state::Instant now)
{
    Seen &seen = this->endpoints[id];
    if (incarnation < seen.incarnation)
        return false; // of its former life
    if (incarnation > seen.incarnation)
        seen = Seen{incarnation, 0, 0, now, {}, this->settings.firstSuspicion};
    this->decay(seen, now);
    if (health == AttemptHealth::Served) {
        seen.served += 1;
        // A success after a suspicion is over ends the doubling, not one that was under way before.
        if (now >= seen.suspectUntil)
            seen.nextSuspicion = this->settings.firstSuspicion;
        return false;
    }
    seen.failed += 1;
    const bool wasSuspect = now < seen.suspectUntil;
    const double share = seen.failed / (seen.failed + seen.served);
    const bool often =
            seen.failed >= this->settings.failures && share >= this->settings.failureShare;
    if (wasSuspect || (health != AttemptHealth::Unreachable && !often))
        return false;
    this->suspect(seen, now);
    return true;
}

void EndpointHealth::suspect(Seen &seen, state::Instant now) const
{
    seen.suspectUntil = now + seen.nextSuspicion;
    seen.nextSuspicion = std::min(seen.nextSuspicion * 2, this->settings.longestSuspicion);
    // The next judgement rests on what is tried after the suspicion.
    seen.failed = 0;
    seen.served = 0;
}

void EndpointHealth::decay(Seen &seen, state::Instant now) const
{
    const double kept = std::exp2(-toSeconds(now - seen.at) / toSeconds(this->settings.memory));
    seen.failed *= kept;
    seen.served *= kept;
    seen.at = now;
}

bool EndpointHealth::isSuspect(const state::EndpointId &id, std::uint64_t incarnation,
                               state::Instant now) const
{
    const auto found = this->endpoints.find(id);
    return found != this->endpoints.end() && found->second.incarnation == incarnation
           && now < found->second.suspectUntil;
}

void EndpointHealth::forget(state::Instant now)
{
    std::erase_if(this->endpoints,
                  [now](const auto &each) { return now - each.second.at >= forgottenAfter; });
}

} // namespace lavenderthread::coordination::routing
