#include "coordination/routing/ReplicaChooser.h"

#include <algorithm>

namespace lavenderthread::coordination::routing {

namespace {

// Calls of plain services take tens of milliseconds, so an older report is obsolete.
constexpr state::Duration reportLifetime = std::chrono::milliseconds(300);
// Weight of reported load. All entries see the same report; at full weight they would all avoid the
// replica at the same time (herding).
constexpr double reportWeight = 0.5;

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
    std::optional<std::size_t> best;
    std::tuple<bool, bool, double, std::uint64_t> bestRank;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const ReplicaCandidate &candidate = candidates[index];
        const bool alreadyTried = std::ranges::find(tried, candidate.description.id) != tried.end();
        const std::tuple rank(alreadyTried, trustHealth && isStaleOrSuspect(candidate),
                              this->estimatedLoad(candidate.description.id, now),
                              std::uint64_t(this->random()));
        if (best && bestRank <= rank)
            continue;
        best = index;
        bestRank = rank;
    }
    return best;
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

void ReplicaChooser::callStarted(const state::EndpointId &replica)
{
    ++this->replicas[replica].ownCalls;
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
}

} // namespace lavenderthread::coordination::routing
