// The endpoints that this entry may route to.
#pragma once

#include "coordination/routing/EndpointArrivals.h"
#include "state/Endpoint.h"
#include "state/Snapshot.h"
#include "state/Time.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace lavenderthread::program {

struct RegisteredEndpoint
{
    state::EndpointDescription description;
    bool draining = false;  // gets no new work; running work continues
    bool stale = false;     // its announcements have stopped; gets new work only as a last resort
    bool evacuated = false; // its failure domain is; then it is draining too
    // By this process's clock; warm from then on. Instant{}: it has not been cold.
    state::Instant coldUntil{};

    auto operator<=>(const RegisteredEndpoint &) const = default;
};

struct EndpointTable
{
    std::map<state::EndpointId, RegisteredEndpoint> endpoints;
    std::set<state::FailureDomain> evacuated; // also holds for endpoints that are not listed

    bool operator==(const EndpointTable &) const = default;

    // The endpoint if it is listed with that incarnation, or null.
    const RegisteredEndpoint *find(const state::EndpointId &id, std::uint64_t incarnation) const;
};

// Whether the endpoint gets no new work because its failure domain is evacuated.
bool isEvacuated(const EndpointTable &table, const state::EndpointDescription &endpoint);
// Whether the service has endpoints and only evacuations keep all of them from new work.
bool isServiceEvacuated(const EndpointTable &table, const state::ServiceName &service);

// Whether endpoints of several failure domains take new work of the service.
bool hasSeveralFailureDomains(const EndpointTable &table, const state::ServiceName &service);

// Holds the current table and publishes immutable copies, which the request path reads without a
// lock.
class EndpointRegistry
{
public:
    explicit EndpointRegistry(state::Duration expiry);

    state::SnapshotView<EndpointTable> table() const { return this->published.read(); }

    // Adds, renews or restarts an endpoint. Error: Conflict if a higher incarnation is known.
    // `coldLeft`: how long the endpoint stays cold, if it is.
    state::Result<void> announce(const state::EndpointDescription &endpoint, state::Instant now,
                                 std::optional<state::Duration> coldLeft = {});
    // False if the endpoint is not known under that incarnation.
    bool leave(const state::EndpointId &id, std::uint64_t incarnation);
    // False if the endpoint is not known.
    bool setDraining(const state::EndpointId &id, bool draining);
    // The failure domains whose endpoints get no new work, whatever they announce. Returns whether
    // that changes the table. The endpoints of a domain that is not evacuated any more count as
    // cold from `now` on, for the time set for their service.
    bool setEvacuated(std::set<state::FailureDomain> failureDomains, state::Instant now);
    // The endpoint has told this process that it stays cold for so long. False if that is known, or
    // the endpoint is not known under that incarnation.
    bool setCold(const state::EndpointId &id, std::uint64_t incarnation, state::Duration left,
                 state::Instant now);
    // How long endpoints of the services stay cold; services that are not listed need no such time.
    void setColdTimes(std::map<state::ServiceName, state::Duration> times);
    // Publishes the table from membership, if it differs from the last one, and returns whether it
    // does. Not to be mixed with the calls above, which are for a single node.
    bool assign(EndpointTable table, state::Instant now);
    // Whether this process has just started and is likely to learn of more endpoints within
    // milliseconds; see coordination::routing::EndpointArrivals. False on a single node.
    bool isGrowing(state::Instant now) const;
    // Removes endpoints that have not renewed in time and returns their ids.
    std::vector<state::EndpointId> expire(state::Instant now);

private:
    // An endpoint that counts as cold because its failure domain gets traffic again, or because
    // it has told this process so.
    struct LocallyCold
    {
        std::uint64_t incarnation = 0;
        state::Instant until;
    };

    // The callers must hold the mutex.
    void publish();
    bool publishIfChanged();
    EndpointTable withEvacuations(EndpointTable table) const;
    void removeWarm(state::Instant now); // from locallyCold
    void recordRejoined(const std::set<state::FailureDomain> &next, state::Instant now);

    state::Duration expiry;
    mutable std::mutex writeMutex; // never held during I/O; readers of the table don't take it
    EndpointTable current;         // without the effect of `evacuated`
    std::set<state::FailureDomain> evacuated;
    std::map<state::EndpointId, LocallyCold> locallyCold;
    std::map<state::ServiceName, state::Duration> coldTimes;
    coordination::routing::EndpointArrivals arrivals;
    // The same keys as `current` on a single node; empty otherwise.
    std::map<state::EndpointId, state::Instant> lastRenewal;
    state::Snapshot<EndpointTable> published;
};

} // namespace lavenderthread::program
