// Placing a prompt on engines that work in passes: which engine answers it, and which others help
// to prefill it.
//
// An engine that decodes for someone holds each token back until the pass with all its prefill is
// done. So prefill that is short beside the pauses callers bear is packed onto few engines, in an
// order that all entries share, and long prefill goes to the engines where nobody waits for a next
// token, split over as many of them as pay. The border between the two follows the work that is
// there now: it is recomputed for each request and needs no memory of past demand.
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
};

struct PassChoice
{
    state::EndpointId engine; // answers, and prefills the first part
    std::vector<state::EndpointId> helpers;
    double partSeconds = 0;       // prefill at each of them
    double firstEventSeconds = 0; // from now, as predicted
    double completionSeconds = 0; // from now, as predicted
};

// `engines`: those of the request's model in the order that all entries share, advanced to now, each
// with a profile. Nothing if none has a place and the memory now.
std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings);

} // namespace lavenderthread::coordination::routing
