// Compares the owner ring with the endpoints that this entry owned before.
#include "coordination/ownership/OwnedEndpoints.h"

namespace lavenderthread::coordination::ownership {

OwnershipChange OwnedEndpoints::update(const state::VmId &self, const OwnerRing &ring,
                                       const endpoints::EndpointTable &table, state::Instant now)
{
    OwnershipChange change;
    std::map<state::EndpointId, state::Instant> next;
    for (const auto &[id, entry] : table.entries()) {
        if (!entry.record.description || entry.record.phase == endpoints::EndpointPhase::Left)
            continue;
        if (ring.endpointOwner(id, entry.record.description->failureDomain) != self)
            continue;
        const auto before = this->ownedSince.find(id);
        if (before == this->ownedSince.end())
            change.gained.push_back(id);
        next.emplace(id, before == this->ownedSince.end() ? now : before->second);
    }
    for (const auto &[id, start] : this->ownedSince) {
        if (!next.contains(id))
            change.lost.push_back(id);
    }
    this->ownedSince = std::move(next);
    return change;
}

bool OwnedEndpoints::isSettled(const state::EndpointId &endpoint, state::Instant now) const
{
    const auto found = this->ownedSince.find(endpoint);
    return found != this->ownedSince.end() && now - found->second >= this->settleTime;
}

} // namespace lavenderthread::coordination::ownership
