// Placing a prompt on engines that work in passes: which engine answers it, and which others help
// to prefill it.
//
// An engine that decodes for someone holds each token back until the pass with all its prefill is
// done. So prefill that is short beside the pauses callers bear is packed onto the first engines of
// an order that all entries share, and long prefill goes to the others, split over as many of them
// as pay. Where the border lies follows from the brief requests that are being answered and from
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
    double longDemand = 0; // seconds of long prefill that all entries send in a second
};

// Memory that is to be reserved at a helper, for a prompt that the answering engine can't hold.
struct MemoryShare
{
    state::EndpointId engine;
    std::uint32_t tokens = 0;

    auto operator<=>(const MemoryShare &) const = default;
};

struct PassChoice
{
    state::EndpointId engine; // answers, and prefills the first part
    std::vector<state::EndpointId> helpers;
    std::vector<MemoryShare> memory; // at the first of the helpers, in their order
    double partSeconds = 0;       // prefill at each of them
    double waitingSeconds = 0;    // of the first event's time, before the prefill begins
    double secondsPerToken = 0;   // engine time for the prompt's prefill, over its tokens
    double firstEventSeconds = 0; // from now, as predicted
    double completionSeconds = 0; // from now, as predicted
};

// Engines, of `count` usable ones, that are for brief requests while `briefs` of them are answered.
std::size_t briefEngines(std::size_t count, std::size_t briefs, double longDemand,
                         const PassPlacementSettings &settings);

// `engines`: those of the request's model in the order that all entries share, advanced to now, each
// with a profile. Nothing if none has a place and the memory now.
std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
