// What sending a prompt to an engine would cost: its own time to first token and to the end, and
// the delay that it inflicts on the work already there.
#pragma once

#include "coordination/routing/EngineView.h"
#include "coordination/routing/PolicySettings.h"

#include <cstdint>
#include <span>

namespace lavenderthread::coordination::routing {

// What prediction needs to know of a prompt.
struct Prompt
{
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillTokens = 0; // of this dispatch, before the engine's cache is counted
    double outputTokens = 0;         // expected
    std::uint8_t priority = 0;
    std::span<const std::uint64_t> prefixBlocks;
};

struct Prediction
{
    double cachedTokens = 0;
    double aheadSeconds = 0;      // prefill that goes before it
    double queueSeconds = 0;      // the same, but alike for all medium prompts
    double firstTokenSeconds = 0; // from now
    double completionSeconds = 0; // from now
    double cost = 0;              // weighted sum of normalised delays, own and inflicted
};

// Seconds to the first token of a prompt alone on an idle engine with an empty cache.
double idealFirstTokenSeconds(const EngineView &engine, double promptTokens);

// The view must have been advanced to now. transferSeconds: one way from the entry to the engine.
Prediction predict(const EngineView &engine, const Prompt &prompt, const PolicySettings &policy,
                   double transferSeconds);

} // namespace lavenderthread::coordination::routing
