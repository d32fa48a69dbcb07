#include "coordination/routing/SpanPlan.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

struct AvailableEngine
{
    double busySeconds;
    std::uint64_t tokens;
    state::EndpointId engine;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy misreads the defaulted comparison
    auto operator<=>(const AvailableEngine &) const = default;
};

// Tokens that a part may claim on an engine. Parts are prefilled one after the other, and their
// engines serve other requests meanwhile, so memory for these stays free.
std::uint64_t availablePartTokens(const EngineView &view, std::uint64_t freeTokens,
                                  const PolicySettings &policy)
{
    const auto capacity = double(view.description().kvCapacityTokens);
    const auto most = std::uint64_t(capacity * policy.spanPartShare);
    const auto spare = std::uint64_t(capacity * policy.spanSpareShare);
    return std::min(most, freeTokens > spare ? freeTokens - spare : 0);
}

// The engines for longer prompts, or all watched ones if those could not hold the prompt even when
// empty.
std::vector<state::EndpointId> eligibleEngines(const Fleet &fleet, const state::ModelName &model,
                                               std::uint64_t tokens, const PolicySettings &policy)
{
    std::vector<state::EndpointId> longEngines = fleet.spanEngines(model);
    std::uint64_t capacity = 0;
    for (const state::EndpointId &id : longEngines) {
        const EngineView &view = *fleet.find(id);
        if (!view.draining)
            capacity += availablePartTokens(view, view.description().kvCapacityTokens, policy);
    }
    return capacity >= tokens ? longEngines : fleet.watched(model);
}

// Engines that the plan does not use, the least busy first.
std::vector<AvailableEngine> availableEngines(Fleet &fleet,
                                              const std::vector<state::EndpointId> &eligible,
                                              const SpanPlan &plan, const PolicySettings &policy,
                                              state::Instant now)
{
    std::vector<AvailableEngine> candidates;
    for (const state::EndpointId &id : eligible) {
        EngineView *view = fleet.find(id);
        if (view->draining || plan.usesEngine(id))
            continue;
        view->advance(now);
        candidates.push_back({view->prefillSecondsLeft(),
                              availablePartTokens(*view, view->freeTokens(), policy), id});
    }
    std::ranges::sort(candidates);
    return candidates;
}

} // namespace

std::optional<std::size_t> SpanPlan::nextToReserve() const
{
    std::optional<std::size_t> next;
    for (std::size_t index = 0; index < this->parts.size(); ++index) {
        if (this->parts[index].reserved)
            continue;
        if (!next || this->parts[index].engine < this->parts[*next].engine)
            next = index;
    }
    return next;
}

std::optional<std::size_t> SpanPlan::nextToPrefill() const
{
    const auto found = std::ranges::find_if(
            this->parts, [](const SpanPart &part) { return !part.isPrefilled(); });
    if (found == this->parts.end())
        return std::nullopt;
    return std::size_t(found - this->parts.begin());
}

bool SpanPlan::usesEngine(const state::EndpointId &engine) const
{
    return std::ranges::find(this->parts, engine, &SpanPart::engine) != this->parts.end();
}

std::optional<SpanPlan> planSpan(Fleet &fleet, const state::ModelName &model,
                                 std::uint32_t promptTokens, std::uint32_t outputTokens,
                                 const PolicySettings &policy, state::Instant now)
{
    const std::uint64_t total = std::uint64_t(promptTokens) + outputTokens;
    std::vector<AvailableEngine> candidates =
            availableEngines(fleet, eligibleEngines(fleet, model, total, policy), {}, policy, now);
    std::erase_if(candidates, [&](const AvailableEngine &candidate) {
        return candidate.tokens < policy.spanPartTokens;
    });
    // Prefers few large parts: each part imports the tokens of all parts before it.
    std::ranges::stable_sort(candidates, std::greater<>(), &AvailableEngine::tokens);
    SpanPlan plan;
    std::uint64_t from = 0;
    for (const AvailableEngine &candidate : candidates) {
        const std::uint64_t left = promptTokens - from;
        const bool last = candidate.tokens >= left + outputTokens;
        // The last part keeps room for the output. It also keeps at least one prompt token, since a
        // part that holds only output would have nothing to prefill.
        const std::uint64_t taken =
                last ? left : std::min<std::uint64_t>(candidate.tokens, left - 1);
        plan.parts.push_back({candidate.engine, std::uint32_t(from), std::uint32_t(from + taken),
                              std::uint32_t(from), false});
        from += taken;
        if (last)
            return plan;
    }
    return std::nullopt;
}

bool replaceLostEngine(SpanPlan &plan, const state::EndpointId &lost, Fleet &fleet,
                       const state::ModelName &model, const PolicySettings &policy,
                       state::Instant now)
{
    for (SpanPart &part : plan.parts) {
        if (part.engine != lost)
            continue;
        const std::uint64_t needed = part.to - part.from;
        const std::vector<AvailableEngine> candidates =
                availableEngines(fleet, fleet.watched(model), plan, policy, now);
        const auto candidate =
                std::ranges::find_if(candidates, [needed](const AvailableEngine &each) {
                    return each.tokens >= needed;
                });
        if (candidate == candidates.end())
            return false;
        part = SpanPart{candidate->engine, part.from, part.to, part.from, false};
    }
    return true;
}

} // namespace lavenderthread::coordination::routing
