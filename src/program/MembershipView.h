// What the request path reads of the cluster: immutable, replaced whole on every change.
#pragma once

#include "coordination/endpoints/EndpointTable.h"
#include "coordination/membership/MemberTable.h"
#include "coordination/ownership/OwnerRing.h"

#include <map>
#include <memory>
#include <vector>

namespace lavenderthread::program {

struct EndpointState
{
    coordination::endpoints::EndpointRecord record; // isUsable() tells whether it takes new work
    state::VmId owner; // audits its memory and grants reservations of it; empty if nobody serves

    bool operator==(const EndpointState &) const = default;
};

// All endpoints that were ever described here and are not forgotten.
struct EndpointsView
{
    std::vector<EndpointState> endpoints; // by id
    // Positions in `endpoints` of those that take new work.
    std::map<state::ModelName, std::vector<std::size_t>> enginesOfModel;
    std::map<state::ServiceName, std::vector<std::size_t>> replicasOfService;

    static EndpointsView of(const coordination::endpoints::EndpointTable &table,
                            const coordination::ownership::OwnerRing &ring);
    const EndpointState *find(const state::EndpointId &id) const;
};

struct MembershipView
{
    // The parts are never null and are shared between views that don't differ in them.
    std::shared_ptr<const coordination::membership::MemberTable> members;
    std::shared_ptr<const coordination::ownership::OwnerRing> ring;
    std::shared_ptr<const EndpointsView> endpoints;
    bool synced = false;     // knows what the others know; before, don't serve
    bool isolated = false;   // hears no other member: free nothing, judge nobody
    bool superseded = false; // a newer process runs under this id: stop
    // For coordination::directory::DirectoryRequest: the table version held here long enough ago
    // that every fresh member has it and its status has arrived.
    std::uint64_t requiredTableVersion = 0;
};

} // namespace lavenderthread::program
