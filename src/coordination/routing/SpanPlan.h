// Plan for a prompt that exceeds one engine's memory: an ordered list of engines and the token
// range that each of them prefills.
#pragma once

#include "coordination/routing/Fleet.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::routing {

// One part of a plan. The token ranges of the parts are contiguous and ordered.
struct SpanPart
{
    state::EndpointId engine;
    std::uint32_t from = 0;        // first token
    std::uint32_t to = 0;          // past the last token
    std::uint32_t prefilledTo = 0; // end of the prefilled tokens
    bool reserved = false;         // a lease on the engine's memory, which expires unless renewed

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads the defaulted comparison
    auto operator<=>(const SpanPart &) const = default;

    bool isPrefilled() const { return this->prefilledTo >= this->to; }
};

struct SpanPlan
{
    std::vector<SpanPart> parts;

    auto operator<=>(const SpanPlan &) const = default;

    // The unreserved part with the smallest engine id. All plans reserve in this order, so that two
    // plans that need the same engines cannot deadlock.
    std::optional<std::size_t> nextToReserve() const;
    // The first part in token order that is not yet prefilled.
    std::optional<std::size_t> nextToPrefill() const;
    bool usesEngine(const state::EndpointId &engine) const;
};

// Splits the prompt over as few engines as possible, those with the most room first. The last
// part's engine also decodes and has room for the output. Empty if the watched engines cannot hold
// the prompt now.
std::optional<SpanPlan> planSpan(Fleet &fleet, const state::ModelName &model,
                                 std::uint32_t promptTokens, std::uint32_t outputTokens,
                                 const PolicySettings &policy, state::Instant now);

// Moves the parts of a lost engine to other engines; the other parts keep their prefilled tokens.
// Returns false if no other engine has room.
bool replaceLostEngine(SpanPlan &plan, const state::EndpointId &lost, Fleet &fleet,
                       const state::ModelName &model, const PolicySettings &policy,
                       state::Instant now);

} // namespace lavenderthread::coordination::routing
