#include "coordination/routing/ReplicaChooser.h"

#include <algorithm>

namespace lavenderthread::coordination::routing {

namespace {

// Calls of plain services take tens of milliseconds, so an older report is obsolete.
constexpr state::Duration reportLifetime = std::chrono::milliseconds(300);
// Weight of reported load. All entries see the same report; at full weight they would all avoid the
// replica at the same time (herding).
constexpr double reportWeight = 0.5;
// Bounds what endpoints that are gone leave behind; far more than name a limit at a time.
constexpr std::size_t maxLimits = 1'000;

} // namespace

std::optional<std::size_t> ReplicaChooser::choose(const std::vector<ReplicaCandidate> &candidates,
                                                  const std::vector<state::EndpointId> &tried,
                                                  state::Instant now)
{
    const auto isStaleOrSuspect = [&](const ReplicaCandidate &candidate) {
        return candidate.stale
               || this->health.isSuspect(candidate.description.id,
                                         candidate.description.incarnation, now);
    };
    const auto staleOrSuspect = std::size_t(std::ranges::count_if(candidates, isStaleOrSuspect));
    const bool trustHealth = staleOrSuspect * 2 <= candidates.size();
    this->updateCold(candidates, now);
    std::optional<std::size_t> best;
    std::tuple<bool, bool, bool, double, bool, std::uint64_t> bestRank;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const ReplicaCandidate &candidate = candidates[index];
        if (this->isReplaced(candidate.description, now)
            || this->acceptsCallAt(candidate.description, now) > now)
            continue;
        const bool alreadyTried = std::ranges::find(tried, candidate.description.id) != tried.end();
        const std::tuple rank(alreadyTried, trustHealth && isStaleOrSuspect(candidate),
                              this->isFull(candidate.description, now),
                              this->estimatedLoad(candidate.description.id, now),
                              this->coldLimitOf(candidate.description) != nullptr,
                              std::uint64_t(this->random()));
        if (best && bestRank <= rank)
            continue;
        best = index;
        bestRank = rank;
    }
    return best;
}

void ReplicaChooser::updateCold(const std::vector<ReplicaCandidate> &candidates, state::Instant now)
{
    std::erase_if(this->cold, [now](const auto &each) { return !each.second.limit.isCold(now); });
    for (const ReplicaCandidate &candidate : candidates) {
        const state::EndpointDescription &replica = candidate.description;
        const auto found = this->cold.find(replica.id);
        const bool known =
                found != this->cold.end() && found->second.incarnation == replica.incarnation;
        if (known && candidate.cold)
            found->second.limit.setShare(*candidate.cold, now);
        else if (candidate.cold && now < candidate.cold->until)
            this->cold.insert_or_assign(
                    replica.id, ColdReplica{replica.incarnation, ColdLimit(*candidate.cold)});
        else if (known)
            this->cold.erase(found);
    }
}

const ColdLimit *ReplicaChooser::coldLimitOf(const state::EndpointDescription &replica) const
{
    const auto found = this->cold.find(replica.id);
    const bool known =
            found != this->cold.end() && found->second.incarnation == replica.incarnation;
    return known ? &found->second.limit : nullptr;
}

double ReplicaChooser::estimatedLoad(const state::EndpointId &replica, state::Instant now) const
{
    const auto found = this->replicas.find(replica);
    if (found == this->replicas.end())
        return 0;
    const ReplicaState &known = found->second;
    const bool fresh =
            known.reportedAt != state::Instant{} && now - known.reportedAt <= reportLifetime;
    return known.ownCalls + (fresh ? reportWeight * known.otherCalls : 0);
}

std::optional<state::Instant>
ReplicaChooser::limitedUntil(const std::vector<ReplicaCandidate> &candidates,
                             state::Instant now) const
{
    std::optional<state::Instant> next;
    for (const ReplicaCandidate &candidate : candidates) {
        const state::EndpointDescription &replica = candidate.description;
        if (this->isReplaced(replica, now))
            continue;
        const state::Instant at = this->acceptsCallAt(replica, now);
        if (at <= now)
            return std::nullopt;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

const ReplicaChooser::NamedLimit *ReplicaChooser::limitOf(const state::EndpointId &replica,
                                                          std::uint64_t incarnation) const
{
    const auto found = this->limits.find(replica);
    const bool known = found != this->limits.end() && found->second.incarnation == incarnation;
    return known ? &found->second : nullptr;
}

bool ReplicaChooser::isLimited(const state::EndpointId &replica, std::uint64_t incarnation) const
{
    return this->limitOf(replica, incarnation) != nullptr;
}

state::Instant ReplicaChooser::acceptsCallAt(const state::EndpointDescription &replica,
                                             state::Instant now) const
{
    state::Instant at = now;
    if (this->isResting(replica.id, replica.incarnation, now))
        at = this->rests.at(replica.id).until;
    const NamedLimit *limit = this->limitOf(replica.id, replica.incarnation);
    if (limit != nullptr && limit->sends.available(now) == 0)
        at = std::max(at, limit->sends.nextSend(now));
    if (const ColdLimit *limited = this->coldLimitOf(replica))
        at = std::max(at, limited->nextSend(now));
    return at;
}

void ReplicaChooser::restNamed(const state::EndpointId &endpoint, std::uint64_t incarnation,
                               state::Instant until, state::Instant now)
{
    std::erase_if(this->rests, [now](const auto &each) { return each.second.until <= now; });
    Unavailability &rest = this->rests[endpoint];
    if (incarnation < rest.incarnation)
        return; // of an earlier start
    if (incarnation > rest.incarnation)
        rest = {incarnation, until};
    rest.until = std::max(rest.until, until);
}

void ReplicaChooser::fullNamed(const state::EndpointId &replica, std::uint64_t incarnation,
                               state::Instant until, state::Instant now)
{
    std::erase_if(this->full, [now](const auto &each) { return each.second.until <= now; });
    const auto known = this->full.find(replica);
    if (known == this->full.end() || known->second.incarnation <= incarnation)
        this->full.insert_or_assign(replica, Unavailability{incarnation, until});
}

bool ReplicaChooser::isFull(const state::EndpointDescription &replica, state::Instant now) const
{
    const auto found = this->full.find(replica.id);
    return found != this->full.end() && found->second.incarnation == replica.incarnation
           && now < found->second.until;
}

bool ReplicaChooser::isResting(const state::EndpointId &endpoint, std::uint64_t incarnation,
                               state::Instant now) const
{
    const auto found = this->rests.find(endpoint);
    return found != this->rests.end() && found->second.incarnation == incarnation
           && now < found->second.until;
}

bool ReplicaChooser::limitNamed(const state::EndpointId &replica, std::uint64_t incarnation,
                                std::optional<double> perSecond, state::Instant now)
{
    const auto found = this->limits.find(replica);
    const bool known = found != this->limits.end() && found->second.incarnation == incarnation;
    if (found != this->limits.end() && found->second.incarnation > incarnation)
        return false; // of an earlier start
    if (!perSecond) {
        if (known)
            this->limits.erase(found);
        return known;
    }
    if (!known) {
        if (this->limits.size() >= maxLimits)
            this->limits.erase(std::ranges::min_element(
                    this->limits, {}, [](const auto &each) { return each.second.namedAt; }));
        const SendLimit sends(*perSecond, now, this->random());
        this->limits.insert_or_assign(replica, NamedLimit{incarnation, *perSecond, sends, now});
        return true;
    }
    found->second.namedAt = now;
    if (found->second.perSecond == *perSecond)
        return false;
    found->second.perSecond = *perSecond;
    found->second.sends.setRate(*perSecond, now);
    return true;
}

void ReplicaChooser::callStarted(const state::EndpointDescription &replica, state::Instant now)
{
    ++this->replicas[replica.id].ownCalls;
    this->peerCallStarted(replica.id, replica.incarnation, now);
    const auto found = this->cold.find(replica.id);
    if (found != this->cold.end() && found->second.incarnation == replica.incarnation)
        found->second.limit.recordSend(now);
}

void ReplicaChooser::peerCallStarted(const state::EndpointId &replica, std::uint64_t incarnation,
                                     state::Instant now)
{
    const auto found = this->limits.find(replica);
    if (found != this->limits.end() && found->second.incarnation == incarnation)
        found->second.sends.recordSend(now);
}

bool ReplicaChooser::callEnded(const state::EndpointDescription &replica, AttemptOutcome outcome,
                               state::Instant now)
{
    ReplicaState &known = this->replicas[replica.id];
    if (known.ownCalls > 0)
        --known.ownCalls;
    const bool suspected =
            this->health.recordAttempt(replica.id, replica.incarnation, outcome, now);
    this->health.removeInactive(now);
    std::erase_if(this->replicas, [&](const auto &each) {
        return each.second.ownCalls == 0 && each.second.reportedAt + reportLifetime < now;
    });
    return suspected;
}

bool ReplicaChooser::replacedAtPeer(const state::EndpointId &replica, std::uint64_t incarnation,
                                    state::Instant now)
{
    this->health.removeInactive(now);
    return this->health.recordAttempt(replica, incarnation, AttemptOutcome::Replaced, now);
}

bool ReplicaChooser::isReplaced(const state::EndpointDescription &replica, state::Instant now) const
{
    return this->health.isReplaced(replica.id, replica.incarnation, now);
}

void ReplicaChooser::reached(const state::EndpointDescription &replica, state::Instant now)
{
    this->health.recordAttempt(replica.id, replica.incarnation, AttemptOutcome::Reachable, now);
}

void ReplicaChooser::loadReported(const state::EndpointId &replica, const ReplicaLoad &load,
                                  state::Instant now)
{
    ReplicaState &known = this->replicas[replica];
    const std::uint32_t all = load.running + load.waiting;
    known.otherCalls = all > known.ownCalls ? all - known.ownCalls : 0;
    known.reportedAt = now;
    if (all < load.slots)
        this->full.erase(replica);
}

} // namespace lavenderthread::coordination::routing
