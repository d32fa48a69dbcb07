// Predicts the cost of dispatching a prompt to an engine: its own time to first token and to
// completion, and the delay that it causes for the work already there.
#pragma once

#include "coordination/routing/EngineView.h"
#include "coordination/routing/PolicySettings.h"

#include <cstdint>
#include <span>

namespace lavenderthread::coordination::routing {

// Properties of a prompt that the prediction uses.
struct Prompt
{
    std::uint32_t promptTokens = 0;
    std::uint32_t prefillTokens = 0; // of this dispatch, without regard to the engine's cache
    double outputTokens = 0;         // expected
    std::uint8_t priority = 0;
    std::span<const std::uint64_t> prefixBlocks;
};

struct Prediction
{
    double cachedTokens = 0;
    double prefillSecondsAhead = 0; // prefill that runs before the prompt
    double queueSeconds = 0;        // the same, at one common priority for all medium prompts
    double firstTokenSeconds = 0;   // from now
    double completionSeconds = 0;   // from now
    double cost = 0;                // weighted sum of normalised delays, own and of others
};

// Time to first token on an idle engine with an empty cache.
double idealFirstTokenSeconds(const EngineView &engine, double promptTokens);

// Call engine.advance(now) first. transferSeconds: one way from the entry to the engine.
Prediction predict(const EngineView &engine, const Prompt &prompt, const PolicySettings &policy,
                   double transferSeconds);

} // namespace lavenderthread::coordination::routing
