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
                              this->loadOf(candidate.description.id, now),
                              std::uint64_t(this->random()));
        if (best && bestRank <= rank)
            continue;
        best = index;
        bestRank = rank;
    }
    return best;
}

double ReplicaChooser::loadOf(const state::EndpointId &replica, state::Instant now) const
{
    const auto found = this->replicas.find(replica);
    if (found == this->replicas.end())
        return 0;
    const Known &known = found->second;
    const bool fresh =
            known.reportedAt != state::Instant{} && now - known.reportedAt <= reportLifetime;
    return known.outstanding + (fresh ? reportWeight * known.others : 0);
}

void ReplicaChooser::began(const state::EndpointId &replica)
{
    ++this->replicas[replica].outstanding;
}

void ReplicaChooser::ended(const state::EndpointDescription &replica, AttemptHealth outcome,
                           state::Instant now)
{
    Known &known = this->replicas[replica.id];
    if (known.outstanding > 0)
        --known.outstanding;
    this->health.note(replica.id, replica.incarnation, outcome, now);
    this->health.forget(now);
    std::erase_if(this->replicas, [&](const auto &each) {
        return each.second.outstanding == 0 && each.second.reportedAt + reportLifetime < now;
    });
}

void ReplicaChooser::reported(const state::EndpointId &replica, const ReplicaLoad &load,
                              state::Instant now)
{
    Known &known = this->replicas[replica];
    const std::uint32_t all = load.running + load.waiting;
    known.others = all > known.outstanding ? all - known.outstanding : 0;
    known.reportedAt = now;
}

} // namespace lavenderthread::coordination::routing
