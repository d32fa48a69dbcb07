// Placing a prompt on engines that work in passes: which engine answers it, and which others help
// to prefill it.
//
// An engine that decodes for someone holds each token back until the pass with all its prefill is
// done, and takes new prefill in only when the next pass begins. So the engines of a model are kept
// in an order that all entries share and used in three parts. The first ones answer brief requests,
// whose prefill is short beside the pauses that callers bear. The last ones answer long requests.
// Those between decode for nobody and prefill parts of long prompts, as one machine, one prompt
// after the other. Where the borders lie follows from the requests that are being answered and from
// the long work of the last second or two; nobody decides it, since all entries see the same notes.
#pragma once

#include "coordination/routing/EngineView.h"
#include "coordination/routing/PassPlacementSettings.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::routing {

// What placing needs to know of a request.
struct PassRequest
{
    std::uint32_t promptTokens = 0;
    double outputTokens = 0; // expected
    std::uint32_t memoryTokens = 0;
    std::vector<state::EndpointId> avoid; // engines that have failed it before
    double firstTargetSeconds = 0;        // from now to the first event, as asked; 0: not asked
    double longDemand = 0;  // seconds of long prefill that all entries send in a second
    std::uint64_t draw = 0; // chooses between engines that are as good
};

// Memory that is to be reserved at a helper, for a prompt that the answering engine can't hold.
struct MemoryShare
{
    state::EndpointId engine;
    std::uint32_t tokens = 0;

    auto operator<=>(const MemoryShare &) const = default;
};

// What a decision saw of the fleet, for the log: on its own believed state a wrong one can be
// traced.
struct PassLook
{
    std::size_t engines = 0;      // usable ones
    std::size_t briefEngines = 0; // the border between brief and long requests
    std::size_t briefs = 0;       // brief requests that are being answered
    double longDemand = 0;        // seconds of long prefill that are sent in a second
    double waitingSeconds = 0;    // prefill ahead, at the engine chosen or on average
};

struct PassChoice
{
    state::EndpointId engine; // answers, and prefills the first part
    std::vector<state::EndpointId> helpers;
    std::vector<MemoryShare> memory; // at the first of the helpers, in their order
    double partSeconds = 0;          // prefill at each of them
    double waitingSeconds = 0;       // prefill that is there already, where it takes longest
    double firstEventSeconds = 0;    // from now, as predicted
    double completionSeconds = 0;    // from now, as predicted
    PassLook look;
};

// What a long prompt that arrives now has to expect, before any that waits at the entries.
struct LongOutlook
{
    std::size_t engines = 0;      // for long requests; 0: none is usable
    double backlogSeconds = 0;    // of each of them, on average
    double prefillSeconds = 0;    // of the prompt, alone on all of them that may take part
    double completionSeconds = 0; // from the first event to the last
    double engineSeconds = 0;     // for the whole prefill, on one engine
    PassLook look;
};

// What the border between brief and long requests follows.
struct BriefLoad
{
    std::size_t engines = 0; // usable ones
    std::size_t places = 0;  // requests that one engine answers at once
    std::size_t briefs = 0;  // that are being answered
    double longDemand = 0;   // see PassRequest
};

// Engines that are for brief requests.
std::size_t briefEngines(const BriefLoad &load, const PassPlacementSettings &settings);

// Whether the prompt goes whole to one engine, beside others that decode there.
bool isBrief(const state::routes::EngineProfile &profile, std::uint32_t promptTokens,
             const PassPlacementSettings &settings);

// `engines`: those of the request's model in the order that all entries share, advanced to now,
// each with a profile. Nothing if it has to wait: no engine has a place and the memory, or, for a
// long prompt, too few are free for it to start.
std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings);

LongOutlook longOutlook(const std::vector<const EngineView *> &engines, const PassRequest &request,
                        const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
