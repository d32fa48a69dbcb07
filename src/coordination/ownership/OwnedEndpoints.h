// Hand-over of endpoints between owners, seen from one entry.
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

// Rules of a hand-over. The old owner stops at once when it sees that it lost an endpoint; it hands
// nothing over, since it may be dead. The new owner starts without leases and learns them from
// their holders' renewals, so it may not judge anything orphaned before `settleTime` has passed.
class OwnedEndpoints
{
public:
    explicit OwnedEndpoints(state::Duration settle)
        : settleTime(settle)
    {}

    OwnershipChange update(const state::VmId &self, const OwnerRing &ring,
                           const endpoints::EndpointTable &table, state::Instant now);
    bool owns(const state::EndpointId &endpoint) const { return this->since.contains(endpoint); }
    // Owned for long enough that every live holder has renewed here.
    bool isSettled(const state::EndpointId &endpoint, state::Instant now) const;

private:
    state::Duration settleTime; // above two renewal intervals of the holders
    std::map<state::EndpointId, state::Instant> since;
};

} // namespace lavenderthread::coordination::ownership
