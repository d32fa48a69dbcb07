// Least-loaded choice among the replicas of a plain service, from this entry's outstanding calls
// and the load that the replicas last reported.
#pragma once

#include "coordination/routing/ColdAccess.h"
#include "coordination/routing/EndpointHealth.h"
#include "coordination/routing/SendLimit.h"
#include "state/Endpoint.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lavenderthread::coordination::routing {

// Load that a replica reports in an answer, in calls.
struct ReplicaLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    auto operator<=>(const ReplicaLoad &) const = default;
};

struct ReplicaCandidate
{
    state::EndpointDescription description;
    bool stale = false;              // its announcements have stopped
    std::optional<ColdShare> cold{}; // while it is cold and its service limits requests then
};

// Tracks the load and the health of replicas and chooses one for each call.
class ReplicaChooser
{
public:
    explicit ReplicaChooser(std::uint64_t seed)
        : random(seed)
    {}

    // Returns an index into `candidates`, or nothing if none accepts a call now: see
    // limitedUntil(). Replicas that another endpoint has replaced are not used. Those in `tried`
    // are used only if no others remain. Healthy replicas are preferred to stale or suspect ones
    // unless these are the majority: then the fault is more likely on the side of this entry or the
    // callers, and avoiding most replicas would only overload the rest.
    std::optional<std::size_t> choose(const std::vector<ReplicaCandidate> &candidates,
                                      const std::vector<state::EndpointId> &tried,
                                      state::Instant now);

    // When a replica accepts a call again, if the limits of all candidates are used up or they
    // rest.
    std::optional<state::Instant> limitedUntil(const std::vector<ReplicaCandidate> &candidates,
                                               state::Instant now) const;

    void callStarted(const state::EndpointDescription &replica, state::Instant now);
    // Another entry has sent a call to the replica.
    void peerCallStarted(const state::EndpointId &replica, std::uint64_t incarnation,
                         state::Instant now);
    // The replica accepts that many requests a second from all entries; nothing: any rate. Returns
    // true if that is new.
    bool limitNamed(const state::EndpointId &replica, std::uint64_t incarnation,
                    std::optional<double> perSecond, state::Instant now);
    bool isLimited(const state::EndpointId &replica, std::uint64_t incarnation) const;
    // The endpoint wants no request from this entry until then. A later time replaces an earlier
    // one.
    void restNamed(const state::EndpointId &endpoint, std::uint64_t incarnation,
                   state::Instant until, state::Instant now);
    bool isResting(const state::EndpointId &endpoint, std::uint64_t incarnation,
                   state::Instant now) const;
    // The replica has refused a call as full. Until then, or until it reports a free slot, it comes
    // after the others.
    void fullNamed(const state::EndpointId &replica, std::uint64_t incarnation,
                   state::Instant until, state::Instant now);
    // Returns true if the outcome made the replica suspect.
    bool callEnded(const state::EndpointDescription &replica, AttemptOutcome outcome,
                   state::Instant now);
    // A peer has found another endpoint at the replica's address. Returns true if that is new.
    bool replacedAtPeer(const state::EndpointId &replica, std::uint64_t incarnation,
                        state::Instant now);
    // A probe has reached the replica.
    void reached(const state::EndpointDescription &replica, state::Instant now);
    void loadReported(const state::EndpointId &replica, const ReplicaLoad &load,
                      state::Instant now);

private:
    struct ReplicaState
    {
        std::uint32_t ownCalls = 0;   // calls of this entry
        std::uint32_t otherCalls = 0; // calls of other entries, as last reported
        state::Instant reportedAt;
    };

    // The limit that this start of a replica has named.
    struct NamedLimit
    {
        std::uint64_t incarnation = 0;
        double perSecond = 0;
        SendLimit sends;
        state::Instant namedAt; // last
    };

    // Until when this start of an endpoint has asked for rest, or counts as full.
    struct Unavailability
    {
        std::uint64_t incarnation = 0;
        state::Instant until;
    };

    struct ColdReplica
    {
        std::uint64_t incarnation = 0;
        ColdLimit limit;
    };

    const NamedLimit *limitOf(const state::EndpointId &replica, std::uint64_t incarnation) const;
    void updateCold(const std::vector<ReplicaCandidate> &candidates, state::Instant now);
    const ColdLimit *coldLimitOf(const state::EndpointDescription &replica) const;
    // When it accepts a call; not after `now` if it does already.
    state::Instant acceptsCallAt(const state::EndpointDescription &replica,
                                 state::Instant now) const;
    bool isReplaced(const state::EndpointDescription &replica, state::Instant now) const;
    bool isFull(const state::EndpointDescription &replica, state::Instant now) const;
    double estimatedLoad(const state::EndpointId &replica, state::Instant now) const;

    std::mt19937_64 random;
    EndpointHealth health;
    std::map<state::EndpointId, ReplicaState> replicas;
    std::map<state::EndpointId, NamedLimit> limits;
    std::map<state::EndpointId, Unavailability> rests;
    std::map<state::EndpointId, Unavailability> full; // until when
    std::map<state::EndpointId, ColdReplica> cold;
};

} // namespace lavenderthread::coordination::routing
