// Speed of the engines of one service as operators declare it: the constants of the batch model
// that routing uses for predictions.
#pragma once

#include <compare>
#include <cstdint>

namespace lavenderthread::state::routes {

// An engine works in passes. A pass with at least one decoding request has `stepsPerPass` steps,
// each of which produces one token for every decoding request; prompts are prefilled between the
// steps.
struct EngineProfile
{
    std::uint32_t slots = 0;            // requests that run concurrently
    std::uint64_t kvCapacityTokens = 0; // capacity of the KV cache
    std::uint32_t stepsPerPass = 1;     // steps in a pass with decoding requests; tokens per event
    double stepMs = 0;                  // base time of one step, without the terms below
    double stepMsPerSequence = 0;       // added for each decoding request
    // Added for each 1,000 context tokens of decoding requests.
    double stepMsPerThousandContextTokens = 0;
    double prefillTokensPerSecond = 0;
    double msPerMillionPairs = 0; // added for each million pairs of a token and an earlier one
    std::uint32_t stepTokens = 0; // maximum number of tokens prefilled in one step
    double reportLagMs = 0;       // age of the engine's load reports

    auto operator<=>(const EngineProfile &) const = default;
};

// Engine time to prefill a whole prompt without cached tokens. The number of pairs grows with the
// square of the length: a prompt of 200,000 tokens costs more for its pairs than for its tokens.
double prefillSeconds(const EngineProfile &profile, double promptTokens);

// Time of one pass in which `sequences` requests with `contextTokens` of context in total decode,
// without the prefill that the pass also does.
double decodePassSeconds(const EngineProfile &profile, double sequences, double contextTokens);

} // namespace lavenderthread::state::routes
