// Tells a fault of this node's own paths from faults of endpoints, by the outcomes of connections
// to all endpoints of a service.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::routing {

enum class PathOutcome : std::uint8_t {
    Reached,     // the endpoint has answered
    Unreachable, // no connection, or one that ended before an answer
};

struct PathHealthSettings
{
    // Outcomes older than this say nothing about the paths any more.
    state::Duration memory = std::chrono::seconds(5);
    // One endpoint alone may have crashed.
    std::uint32_t minimumUnreachable = 2;
};

// An endpoint that may be probed, with its service.
struct PathCandidate
{
    state::ServiceName service;
    state::EndpointId endpoint;

    auto operator<=>(const PathCandidate &) const = default;
};

// How many endpoints of a service gave which outcome, recently.
struct PathCounts
{
    std::uint32_t reached = 0;
    std::uint32_t unreachable = 0;

    auto operator<=>(const PathCounts &) const = default;
};

// Holds the last outcome of each endpoint since a connection failed. A service is lost while more
// of its endpoints are unreachable than have been reached. When several endpoints have crashed this
// may be wrong for a moment; a few probes of the others correct it.
class PathHealth
{
public:
    explicit PathHealth(PathHealthSettings chosen = {})
        : settings(chosen)
    {}

    void record(const PathCandidate &endpoint, PathOutcome outcome, state::Instant now);
    // Forgets old outcomes, and those of endpoints that are not listed any more. `listed` is
    // sorted.
    void prune(const std::vector<PathCandidate> &listed, state::Instant now);

    // Whether this node has no usable path to the service. A service without any outcome is lost
    // if this node reaches nothing at all.
    bool isLost(const state::ServiceName &service, state::Instant now) const;
    PathCounts counts(const state::ServiceName &service, state::Instant now) const
    {
        return this->countsOf(&service, now);
    }
    // Whether an endpoint was unreachable recently.
    bool hasFailures(state::Instant now) const;
    // Whether each of these services is lost by an outcome of its own.
    bool isCutOff(const std::vector<state::ServiceName> &services, state::Instant now) const;

    // The endpoint whose path is to be probed next: one without an outcome, else the unreachable
    // one whose outcome is the oldest. Nothing if all were reached.
    std::optional<PathCandidate> nextProbe(const std::vector<PathCandidate> &listed,
                                           state::Instant now) const;

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
    bool isLost(const PathCounts &counts) const
    {
        return counts.unreachable >= this->settings.minimumUnreachable
               && counts.unreachable > counts.reached;
    }
    PathCounts countsOf(const state::ServiceName *service, state::Instant now) const; // null: all

    PathHealthSettings settings;
    std::map<PathCandidate, LastOutcome> outcomes; // empty while no endpoint is unreachable
};

} // namespace lavenderthread::coordination::routing
