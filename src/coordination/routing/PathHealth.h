// Tells a fault of this node's own paths from faults of endpoints, by the outcomes of connections
// to all endpoints of a service.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace lavenderthread::coordination::routing {

enum class PathOutcome : std::uint8_t {
    Reached,     // the endpoint has answered
    Unreachable, // no connection, or one that ended before an answer
};

// What the outcomes at a service's endpoints say about this node's own paths to it.
enum class PathState : std::uint8_t {
    Usable,
    Doubtful, // an endpoint is unreachable, and none has been reached since
    Lost,
};

struct PathHealthSettings
{
    // Outcomes older than this say nothing about the paths any more.
    state::Duration memory = std::chrono::seconds(5);
    // One endpoint alone may have crashed.
    std::uint32_t minimumUnreachable = 2;
    // With fewer outcomes, a service with an unreachable endpoint is probed further: if two fifths
    // of its endpoints are dark, five of six rarely are.
    std::uint32_t conclusiveOutcomes = 6;
};

// An endpoint that may be probed, with its service.
struct PathCandidate
{
    state::ServiceName service;
    state::EndpointId endpoint;
    state::FailureDomain failureDomain{}; // empty: not known

    auto operator<=>(const PathCandidate &) const = default;
};

// How many endpoints of a service gave which outcome, recently.
struct PathCounts
{
    std::uint32_t reached = 0;
    std::uint32_t unreachable = 0;

    std::uint32_t &of(PathOutcome outcome)
    {
        return outcome == PathOutcome::Reached ? this->reached : this->unreachable;
    }

    auto operator<=>(const PathCounts &) const = default;
};

// Holds the last outcome of each endpoint since a connection failed. A service is lost if more than
// twice as many of its endpoints are unreachable as have been reached, and if that is no fault of a
// single failure domain: see isFaultOfOneDomain(). When many endpoints are dark this may be wrong
// for a moment; probes of the others correct it.
class PathHealth
{
public:
    explicit PathHealth(std::uint64_t seed = 0, PathHealthSettings chosen = {})
        : settings(chosen)
        , random(static_cast<std::minstd_rand::result_type>(seed))
    {}

    void record(const PathCandidate &endpoint, PathOutcome outcome, state::Instant now);
    // Forgets old outcomes, and those of endpoints that are not listed any more. `listed` is
    // sorted. Its failure domains are those in which endpoints may be known; without any call, the
    // domains are not considered.
    void prune(const std::vector<PathCandidate> &listed, state::Instant now);

    // A service without any outcome is lost if this node reaches nothing at all.
    PathState state(const state::ServiceName &service, state::Instant now) const;
    bool isLost(const state::ServiceName &service, state::Instant now) const
    {
        return this->state(service, now) == PathState::Lost;
    }
    PathCounts counts(const state::ServiceName &service, state::Instant now) const
    {
        return this->countsOf(&service, now);
    }
    // Whether an endpoint was unreachable recently.
    bool hasFailures(state::Instant now) const;
    // Whether each of these services is lost by an outcome of its own.
    bool isCutOff(const std::vector<state::ServiceName> &services, state::Instant now) const;

    // Whether more probes, beside those that are running, are needed to judge a service that has an
    // unreachable endpoint: it has few outcomes, or none in one of its failure domains.
    bool isInconclusive(const std::vector<PathCandidate> &listed,
                        const std::set<PathCandidate> &running, state::Instant now) const;
    // The endpoint to probe next: any without an outcome, of the service with the fewest outcomes
    // and there of the failure domain with the fewest, else the unreachable one whose outcome is
    // the oldest. Nothing if there is none that isn't being probed.
    std::optional<PathCandidate> nextProbe(const std::vector<PathCandidate> &listed,
                                           const std::set<PathCandidate> &running,
                                           state::Instant now);

private:
    struct LastOutcome
    {
        PathOutcome outcome = PathOutcome::Reached;
        state::Instant at;
    };

    bool isRecent(const LastOutcome &last, state::Instant now) const
    {
        return now - last.at < this->settings.memory;
    }
    // By the outcomes of the service; null: of all services.
    bool isLostByOutcomes(const state::ServiceName *service, state::Instant now) const;
    // Whether the end of one failure domain may explain the unreachable endpoints. It may until an
    // endpoint of each other domain has an outcome, or there are conclusiveOutcomes; then it does
    // unless most endpoints outside of the domain with the most unreachable ones are unreachable
    // too.
    bool isFaultOfOneDomain(const state::ServiceName *service, state::Instant now) const;
    bool hasOutcome(const PathCandidate &candidate, state::Instant now) const;
    PathCounts countsOf(const state::ServiceName *service, state::Instant now) const; // null: all
    std::optional<PathCandidate> nextUnknown(const std::vector<PathCandidate> &listed,
                                             const std::set<PathCandidate> &running,
                                             state::Instant now);
    std::optional<PathCandidate> oldestUnreachable(const std::vector<PathCandidate> &listed,
                                                   const std::set<PathCandidate> &running,
                                                   state::Instant now) const;

    PathHealthSettings settings;
    std::minstd_rand random;
    std::map<PathCandidate, LastOutcome> outcomes; // empty while no endpoint is unreachable
    std::map<state::ServiceName, std::set<state::FailureDomain>> domains; // those that are known
};

} // namespace lavenderthread::coordination::routing
