// An immutable view of the cluster for the request path, replaced as a whole on every change.
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
    coordination::endpoints::EndpointRecord record; // isUsable(): it takes new work
    // The entry that audits its memory and grants reservations of it; empty if no entry serves.
    state::VmId owner;
    state::Instant coldUntil{}; // by this process's clock

    bool operator==(const EndpointState &) const = default;
};

// All endpoints that have been described to this member and not removed since.
struct EndpointsView
{
    std::vector<EndpointState> endpoints; // sorted by id
    // Indexes into `endpoints`; only endpoints that take new work.
    std::map<state::ModelName, std::vector<std::size_t>> enginesOfModel;
    std::map<state::ServiceName, std::vector<std::size_t>> replicasOfService;

    // The ring that the owners were determined by.
    std::shared_ptr<const coordination::ownership::OwnerRing> ring;

    // `previous`: the last view, or null; owners that can't have changed are taken from it.
    static EndpointsView
    fromTable(const coordination::endpoints::EndpointTable &table,
              const std::shared_ptr<const coordination::ownership::OwnerRing> &ring,
              const EndpointsView *previous);
    const EndpointState *find(const state::EndpointId &id) const;
};

struct MembershipView
{
    // Never null. Views that don't differ in a part share it.
    std::shared_ptr<const coordination::membership::MemberTable> members;
    std::shared_ptr<const coordination::ownership::OwnerRing> ring;
    std::shared_ptr<const EndpointsView> endpoints;
    bool synced = false;     // has the others' state; must not serve before
    bool isolated = false;   // hears no other member: must not free memory or declare others dead
    bool superseded = false; // a newer process has this VM id: must stop
    // For coordination::directory::DirectoryRequest: a table version that has been held here so
    // long that every up-to-date member has it and its status has arrived.
    std::uint64_t requiredTableVersion = 0;
};

} // namespace lavenderthread::program
