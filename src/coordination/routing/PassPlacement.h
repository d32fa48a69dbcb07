// Placement of prompts on engines that work in forward passes: selects the engine that answers a
// prompt and the helpers that prefill parts of it.
//
// A decoding engine returns its next tokens only after the whole pass, with all prefill in it, is
// done, and admits new prefill only when the next pass begins. The engines of a model are therefore
// kept in an order that all entries share, and are divided into three groups. The first group
// answers brief requests, whose prefill is short compared with the pauses that callers tolerate.
// The last group answers long requests. The engines in between decode nothing and prefill parts of
// long prompts together, one prompt after the other. The group borders follow from the requests in
// progress and the long prefill of the last second or two. No coordinator sets them: all entries
// receive the same work notes.
#pragma once

#include "coordination/routing/EngineView.h"
#include "coordination/routing/PassPlacementSettings.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::routing {

// Properties of a request that placement depends on.
struct PassRequest
{
    std::uint32_t promptTokens = 0;
    double outputTokens = 0; // expected
    std::uint32_t memoryTokens = 0;
    std::vector<state::EndpointId> failedEngines; // engines that have failed this request
    // Of the engine that failed last without an answer: the others there may have ended with it.
    // Used only if no engine of another domain has room.
    state::FailureDomain avoidedDomain;
    double firstEventTargetSeconds = 0; // requested time from now to the first event; 0: none
    double longDemand = 0;        // long prefill from all entries, in engine seconds per second
    std::uint64_t tieBreaker = 0; // random value that selects among equally loaded engines
    bool usesAllEngines = false;  // a brief request is not confined to the group for such requests
};

// Memory to reserve at a helper for a prompt that exceeds the answering engine's free memory.
struct MemoryShare
{
    state::EndpointId engine;
    std::uint32_t tokens = 0;

    auto operator<=>(const MemoryShare &) const = default;
};

// State of the fleet as a placement decision saw it. It is logged so that a wrong decision can be
// traced to the state that it was based on.
struct PlacementSnapshot
{
    std::size_t engines = 0;       // usable engines
    std::size_t briefEngines = 0;  // size of the group for brief requests
    std::size_t briefRequests = 0; // brief requests in progress
    double longDemand = 0;         // see PassRequest
    double waitingSeconds = 0;     // prefill ahead: of the choice, or the long group's average
};

// The engines selected for a request, and the predicted times.
struct PassChoice
{
    state::EndpointId engine; // answers and prefills the first part
    std::vector<state::EndpointId> helpers;
    std::vector<MemoryShare> memory; // at the first helpers, in the order of `helpers`
    double partSeconds = 0;          // prefill of the prompt at each engine
    double waitingSeconds = 0;       // longest wait for earlier prefill at any of the engines
    double firstEventSeconds = 0;    // from now, as predicted
    double completionSeconds = 0;    // from now, as predicted
    PlacementSnapshot placementSnapshot;
};

// Estimate for a long prompt that arrives now, ahead of the prompts that wait at the entries.
struct LongPromptEstimate
{
    std::size_t engines = 0;      // in the group for long requests; 0: none is usable
    double backlogSeconds = 0;    // waiting prefill per engine, on average
    double prefillSeconds = 0;    // until the first event, with all permitted helpers idle
    double completionSeconds = 0; // from the first event to the last
    PlacementSnapshot placementSnapshot;
};

// Load that determines how many engines are reserved for brief requests.
struct BriefLoad
{
    std::size_t engines = 0;        // usable engines
    std::size_t slotsPerEngine = 0; // requests that one engine answers at once
    std::size_t briefRequests = 0;  // brief requests in progress
    double longDemand = 0;          // see PassRequest
};

// Returns the number of engines reserved for brief requests.
std::size_t briefEngineCount(const BriefLoad &load, const PassPlacementSettings &settings);

// Returns whether the prompt is prefilled whole on one engine, next to requests that decode there.
bool isBrief(const state::routes::EngineProfile &profile, std::uint32_t promptTokens,
             const PassPlacementSettings &settings);

// Returns the number of helpers from which on one more costs a prompt more than it saves.
// `seconds`: engine time of its prefill.
double worthwhileHelpers(double seconds, const PassPlacementSettings &settings);

// Returns the number of engines on which the parts of a prompt are short beside its target, so that
// it may start without waiting for more; 0 if it has no target.
double enginesToStartAtOnce(double seconds, double targetSeconds,
                            const PassPlacementSettings &settings);

// Selects engines for the request. `engines` are those of its model in the order that all entries
// share, advanced to now, each with a profile. Returns nullopt if the request has to wait: no
// engine has a free slot and enough memory, or too few engines are free for a long prompt to start.
std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings);

// Estimates the times of a long prompt; `engines` as for placeByPasses().
LongPromptEstimate estimateLongPrompt(const std::vector<const EngineView *> &engines,
                                      const PassRequest &request,
                                      const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
