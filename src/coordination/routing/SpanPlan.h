// A prompt over one engine's memory: an ordered list of engines and the token range each prefills.
#pragma once

#include "coordination/routing/Fleet.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::routing {

// One range of a plan. Ranges of a plan are contiguous and ordered; `reserved` is a lease on the
// engine's memory that its holder renews and that ends by itself.
struct SpanPart
{
    state::EndpointId engine;
    std::uint32_t from = 0; // first token
    std::uint32_t to = 0;   // past the last token
    std::uint32_t done = 0; // prefilled up to here
    bool reserved = false;

    auto operator<=>(const SpanPart &) const = default;

    bool complete() const { return this->done >= this->to; }
};

struct SpanPlan
{
    std::vector<SpanPart> parts;

    auto operator<=>(const SpanPlan &) const = default;

    // The unreserved part whose engine id is smallest. Every plan reserves in this order: two plans
    // that want the same engines in different orders can't wait for each other.
    std::optional<std::size_t> nextToReserve() const;
    // The first part in token order that is not prefilled.
    std::optional<std::size_t> nextToPrefill() const;
    bool uses(const state::EndpointId &engine) const;
};

// Splits the prompt over as few engines as hold it, the roomiest first. The last part's engine also
// decodes and has room for the output. Nothing if the watched engines can't hold it now.
std::optional<SpanPlan> planSpan(Fleet &fleet, const state::ModelName &model,
                                 std::uint32_t promptTokens, std::uint32_t outputTokens,
                                 const PolicySettings &policy, state::Instant now);

// Gives the parts of a lost engine to others; the rest of the plan keeps what it has prefilled.
// False if no other engine has room.
bool replaceLost(SpanPlan &plan, const state::EndpointId &lost, Fleet &fleet,
                 const state::ModelName &model, const PolicySettings &policy, state::Instant now);

} // namespace lavenderthread::coordination::routing
