#include "coordination/routing/EndpointHealth.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

constexpr state::Duration inactivityLimit = std::chrono::seconds(60);

double toSeconds(state::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool EndpointHealth::note(const state::EndpointId &id, std::uint64_t incarnation,
                          AttemptHealth outcome, state::Instant now)
{
    Seen &recent = this->endpoints[id];
    if (incarnation < recent.incarnation)
        return false; // the endpoint has restarted since
    if (incarnation > recent.incarnation)
        recent = Seen{incarnation, 0, 0, now, {}, this->settings.firstSuspicion};
    this->decay(recent, now);
    if (outcome == AttemptHealth::Served) {
        recent.served += 1;
        // Only a success after the suspicion has ended resets its duration, since an attempt may
        // have started before the suspicion.
        if (now >= recent.suspectUntil)
            recent.nextSuspicion = this->settings.firstSuspicion;
        return false;
    }
    recent.failed += 1;
    const bool wasSuspect = now < recent.suspectUntil;
    const double share = recent.failed / (recent.failed + recent.served);
    const bool exceedsThresholds =
            recent.failed >= this->settings.failures && share >= this->settings.failureShare;
    if (wasSuspect || (outcome != AttemptHealth::Unreachable && !exceedsThresholds))
        return false;
    this->suspect(recent, now);
    return true;
}

void EndpointHealth::suspect(Seen &recent, state::Instant now) const
{
    recent.suspectUntil = now + recent.nextSuspicion;
    recent.nextSuspicion = std::min(recent.nextSuspicion * 2, this->settings.longestSuspicion);
    // The next decision counts only the attempts after this suspicion began.
    recent.failed = 0;
    recent.served = 0;
}

void EndpointHealth::decay(Seen &recent, state::Instant now) const
{
    const double kept = std::exp2(-toSeconds(now - recent.at) / toSeconds(this->settings.memory));
    recent.failed *= kept;
    recent.served *= kept;
    recent.at = now;
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
                  [now](const auto &each) { return now - each.second.at >= inactivityLimit; });
}

} // namespace lavenderthread::coordination::routing
