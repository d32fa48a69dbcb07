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

bool EndpointHealth::recordAttempt(const state::EndpointId &id, std::uint64_t incarnation,
                                   AttemptOutcome outcome, state::Instant now)
{
    RecentOutcomes &recent = this->endpoints[id];
    if (incarnation < recent.incarnation)
        return false; // the endpoint has restarted since
    if (incarnation > recent.incarnation)
        recent = RecentOutcomes{incarnation, 0, 0, now, {}, this->settings.initialSuspicion,
                                false,       {}};
    this->decay(recent, now);
    if (outcome == AttemptOutcome::Reachable) {
        if (recent.unreachable && now < recent.suspectUntil) {
            recent.suspectUntil = now;
            recent.nextSuspicion = this->settings.initialSuspicion;
        }
        return false;
    }
    if (outcome == AttemptOutcome::Succeeded) {
        recent.succeeded += 1;
        // Only a success after the suspicion has ended resets its duration, since an attempt may
        // have started before the suspicion.
        if (now >= recent.suspectUntil)
            recent.nextSuspicion = this->settings.initialSuspicion;
        return false;
    }
    if (outcome == AttemptOutcome::Replaced) {
        const state::Instant until = now + this->settings.suspicionIfReplaced;
        const bool known = now < recent.replacedUntil;
        recent.replacedUntil = until;
        recent.unreachable = false;
        recent.suspectUntil = std::max(recent.suspectUntil, until);
        return !known;
    }
    recent.failed += 1;
    const bool wasSuspect = now < recent.suspectUntil;
    const double share = recent.failed / (recent.failed + recent.succeeded);
    const bool exceedsThresholds = recent.failed >= this->settings.minimumFailures
                                   && share >= this->settings.minimumFailureShare;
    if (wasSuspect || (outcome != AttemptOutcome::Unreachable && !exceedsThresholds))
        return false;
    recent.unreachable = outcome == AttemptOutcome::Unreachable;
    this->markSuspect(recent, now);
    return true;
}

void EndpointHealth::markSuspect(RecentOutcomes &recent, state::Instant now) const
{
    recent.suspectUntil = now + recent.nextSuspicion;
    recent.nextSuspicion = std::min(recent.nextSuspicion * 2, this->settings.maximumSuspicion);
    // The next decision counts only the attempts after this suspicion began.
    recent.failed = 0;
    recent.succeeded = 0;
}

void EndpointHealth::decay(RecentOutcomes &recent, state::Instant now) const
{
    const double kept =
            std::exp2(-toSeconds(now - recent.decayedAt) / toSeconds(this->settings.halfLife));
    recent.failed *= kept;
    recent.succeeded *= kept;
    recent.decayedAt = now;
}

bool EndpointHealth::isSuspect(const state::EndpointId &id, std::uint64_t incarnation,
                               state::Instant now) const
{
    const auto found = this->endpoints.find(id);
    return found != this->endpoints.end() && found->second.incarnation == incarnation
           && now < found->second.suspectUntil;
}

bool EndpointHealth::isReplaced(const state::EndpointId &id, std::uint64_t incarnation,
                                state::Instant now) const
{
    const auto found = this->endpoints.find(id);
    return found != this->endpoints.end() && found->second.incarnation == incarnation
           && now < found->second.replacedUntil;
}

void EndpointHealth::removeInactive(state::Instant now)
{
    std::erase_if(this->endpoints, [now](const auto &each) {
        return now - each.second.decayedAt >= inactivityLimit;
    });
}

} // namespace lavenderthread::coordination::routing
