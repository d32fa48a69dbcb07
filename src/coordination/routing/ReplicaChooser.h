// Which replica of a plain service takes the next call: the one with the least to do, by this
// entry's own calls and by what replicas last said of their load.
#pragma once

#include "coordination/routing/EndpointHealth.h"
#include "state/Endpoint.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lavenderthread::coordination::routing {

// As a replica says in an answer.
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
    bool stale = false; // its announcements have stopped
};

class ReplicaChooser
{
public:
    explicit ReplicaChooser(std::uint64_t seed)
        : random(seed)
    {}

    // A position in `candidates`; `tried` are passed over unless all others are gone. Healthy ones
    // go before suspect ones, unless those are the most: then the fault is more likely this
    // entry's or the callers', and leaving most out would only crowd the rest.
    std::optional<std::size_t> choose(const std::vector<ReplicaCandidate> &candidates,
                                      const std::vector<state::EndpointId> &tried,
                                      state::Instant now);

    void began(const state::EndpointId &replica);
    void ended(const state::EndpointDescription &replica, AttemptHealth health, state::Instant now);
    void reported(const state::EndpointId &replica, const ReplicaLoad &load, state::Instant now);

private:
    struct Known
    {
        std::uint32_t outstanding = 0; // calls of this entry
        std::uint32_t others = 0;      // calls beside them, as last reported
        state::Instant reportedAt;
    };

    double loadOf(const state::EndpointId &replica, state::Instant now) const;

    std::mt19937_64 random;
    EndpointHealth health;
    std::map<state::EndpointId, Known> replicas;
};

} // namespace lavenderthread::coordination::routing
