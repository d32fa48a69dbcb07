// The endpoints that this entry may route to.
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
    bool draining = false; // gets no new work; running work continues
    bool stale = false;    // its announcements have stopped; gets new work only as a last resort

    auto operator<=>(const RegisteredEndpoint &) const = default;
};

struct EndpointTable
{
    std::map<state::EndpointId, RegisteredEndpoint> endpoints;

    bool operator==(const EndpointTable &) const = default;

    // The endpoint if it is listed with that incarnation, or null.
    const RegisteredEndpoint *find(const state::EndpointId &id, std::uint64_t incarnation) const;
};

// Holds the current table and publishes immutable copies, which the request path reads without a
// lock.
class EndpointRegistry
{
public:
    explicit EndpointRegistry(state::Duration expiry);

    state::SnapshotView<EndpointTable> table() const { return this->published.read(); }

    // Adds, renews or restarts an endpoint. Error: Conflict if a higher incarnation is known.
    state::Result<void> announce(const state::EndpointDescription &endpoint, state::Instant now);
    // False if the endpoint is not known under that incarnation.
    bool leave(const state::EndpointId &id, std::uint64_t incarnation);
    // False if the endpoint is not known.
    bool setDraining(const state::EndpointId &id, bool draining);
    // Publishes the table from membership, if it differs from the last one, and returns whether it
    // does. Not to be mixed with the calls above, which are for a single node.
    bool assign(EndpointTable table);
    // Removes endpoints that have not renewed in time and returns their ids.
    std::vector<state::EndpointId> expire(state::Instant now);

private:
    void publish(); // the caller must hold the mutex

    state::Duration expiry;
    std::mutex writeMutex; // never held during I/O; readers don't take it
    EndpointTable current; // on a single node; empty otherwise
    // The same keys as `current`.
    std::map<state::EndpointId, state::Instant> lastRenewal;
    state::Snapshot<EndpointTable> published;
};

} // namespace lavenderthread::program
