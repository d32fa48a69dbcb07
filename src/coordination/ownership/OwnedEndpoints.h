// Tracks which endpoints this entry owns as ownership moves between entries.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/ownership/OwnerRing.h"

#include <map>
#include <vector>

namespace lavenderthread::coordination::ownership {

struct OwnershipChange
{
    std::vector<state::EndpointId> gained;
    std::vector<state::EndpointId> lost;
};

// When ownership moves, the old owner stops as soon as it sees that it lost the endpoint. It
// transfers no state, since it may be dead. The new owner starts without leases and learns them
// from their holders' renewals, so it must not treat memory as orphaned before `settleTime` has
// passed.
class OwnedEndpoints
{
public:
    explicit OwnedEndpoints(state::Duration settleDuration)
        : settleTime(settleDuration)
    {}

    // Recomputes the owned endpoints and returns the difference to the last call.
    OwnershipChange update(const state::VmId &self, const OwnerRing &ring,
                           const endpoints::EndpointTable &table, state::Instant now);
    bool owns(const state::EndpointId &endpoint) const
    {
        return this->ownedSince.contains(endpoint);
    }
    // Whether the endpoint has been owned for long enough that every live holder has renewed here.
    bool isSettled(const state::EndpointId &endpoint, state::Instant now) const;

private:
    state::Duration settleTime; // longer than two renewal intervals of the holders
    std::map<state::EndpointId, state::Instant> ownedSince;
};

} // namespace lavenderthread::coordination::ownership
