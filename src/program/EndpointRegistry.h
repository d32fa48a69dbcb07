// The endpoints that this entry may route to, as an immutable table that the request path reads
// without a lock.
#pragma once

#include "state/Endpoint.h"
#include "state/Snapshot.h"
#include "state/Time.h"

#include <map>
#include <mutex>
#include <optional>

namespace lavenderthread::program {

struct RegisteredEndpoint
{
    state::EndpointDescription description;
    bool draining = false; // gets no new work; what it runs goes on
    bool stale = false;    // its announcements have stopped; the last resort for new work

    auto operator<=>(const RegisteredEndpoint &) const = default;
};

struct EndpointTable
{
    std::map<state::EndpointId, RegisteredEndpoint> endpoints;

    bool operator==(const EndpointTable &) const = default;

    // The endpoint if it is alive under that incarnation.
    const RegisteredEndpoint *find(const state::EndpointId &id, std::uint64_t incarnation) const;
};

class EndpointRegistry
{
public:
    explicit EndpointRegistry(state::Duration expiry);

    state::SnapshotView<EndpointTable> table() const { return this->published.read(); }

    // New, renewed or restarted. Error: Conflict if a higher incarnation is known.
    state::Result<void> announce(const state::EndpointDescription &endpoint, state::Instant now);
    // False if the endpoint is not known under that incarnation.
    bool leave(const state::EndpointId &id, std::uint64_t incarnation);
    bool setDraining(const state::EndpointId &id, bool draining);
    // Takes over the whole table as membership knows it; true if it differs from the one before.
    bool assign(EndpointTable table);
    // Drops endpoints that have not renewed in time; gives those dropped.
    std::vector<state::EndpointId> expire(state::Instant now);

private:
    void publish(); // caller holds the mutex

    state::Duration expiry;
    std::mutex writers; // never held across I/O; readers don't take it
    EndpointTable current;
    std::map<state::EndpointId, state::Instant> lastHeard; // same keys as current
    state::Snapshot<EndpointTable> published;
};

} // namespace lavenderthread::program
