// How fast the engines of one service work, as operators declare it: the constants of the batch
// model that routing predicts with.
#pragma once

#include <compare>
#include <cstdint>

namespace lavenderthread::state::routes {

// An engine works in passes. A pass in which some request decodes has `stridePerPass` steps, each
// of which gives one token to every decoding request; prompts are prefilled between the steps.
struct EngineProfile
{
    std::uint32_t slots = 0;            // requests that run at once
    std::uint64_t kvCapacityTokens = 0; // memory for KV cache
    std::uint32_t stridePerPass = 1;    // steps of a pass with decoding requests; tokens an event
    double stepMs = 0;                  // of one step, before what follows
    double sequenceStepMs = 0;          // more for each decoding request
    double contextStepMs = 0; // more for each 1,000 tokens of a decoding request's context
    double prefillTokensPerSecond = 0;
    double pairsMs = 0;           // more for a million pairs of a token and one before it
    std::uint32_t stepTokens = 0; // prefilled in one step at most
    double reportLagMs = 0;       // age of what the engine reports of itself

    auto operator<=>(const EngineProfile &) const = default;
};

// Engine time to prefill a whole prompt from nothing. Pairs grow with the square of the length: a
// prompt of 200,000 tokens costs more for its pairs than for its tokens.
double prefillSeconds(const EngineProfile &profile, double promptTokens);

// Time of one pass in which so many requests with that much context together decode, without the
// prefill that it also does.
double decodePassSeconds(const EngineProfile &profile, double sequences, double contextTokens);

} // namespace lavenderthread::state::routes
