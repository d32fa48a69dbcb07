#include "coordination/routing/SpanPlan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lavenderthread::coordination::routing {

namespace {

struct Room
{
    double busySeconds;
    std::uint64_t tokens;
    state::EndpointId engine;

    auto operator<=>(const Room &) const = default;
};

// Engines outside the plan, the least busy first.
std::vector<Room> roomyEngines(Fleet &fleet, const state::ModelName &model, const SpanPlan &plan,
                               const PolicySettings &policy, state::Instant now)
{
    std::vector<Room> rooms;
    for (const state::EndpointId &id : fleet.longPart(model)) {
        EngineView *view = fleet.find(id);
        if (view->draining || plan.uses(id))
            continue;
        view->advance(now);
        const auto share = std::uint64_t(double(view->description().kvCapacityTokens)
                                         * policy.spanMemoryShare);
        rooms.push_back({view->prefillSecondsLeft(), std::min(share, view->freeTokens()), id});
    }
    std::ranges::sort(rooms);
    return rooms;
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
    const auto found = std::ranges::find_if(this->parts,
                                            [](const SpanPart &part) { return !part.complete(); });
    if (found == this->parts.end())
        return std::nullopt;
    return std::size_t(found - this->parts.begin());
}

bool SpanPlan::uses(const state::EndpointId &engine) const
{
    return std::ranges::find(this->parts, engine, &SpanPart::engine) != this->parts.end();
}

std::optional<SpanPlan> planSpan(Fleet &fleet, const state::ModelName &model,
                                 std::uint32_t promptTokens, std::uint32_t outputTokens,
                                 const PolicySettings &policy, state::Instant now)
{
    const std::vector<Room> rooms = roomyEngines(fleet, model, {}, policy, now);
    std::uint64_t largest = 0;
    for (const Room &room : rooms)
        largest = std::max(largest, room.tokens);
    if (largest == 0)
        return std::nullopt;
    const std::uint64_t total = std::uint64_t(promptTokens) + outputTokens;
    // Equal ranges on as few engines as hold them; a range more for each round that fails.
    for (std::uint64_t count = (total + largest - 1) / largest; count <= rooms.size(); ++count) {
        const std::uint64_t each = (total + count - 1) / count;
        SpanPlan plan;
        std::uint64_t from = 0;
        for (const Room &room : rooms) {
            if (from >= promptTokens || room.tokens < each)
                continue;
            const std::uint64_t to = std::min<std::uint64_t>(from + each, promptTokens);
            plan.parts.push_back({room.engine, std::uint32_t(from), std::uint32_t(to),
                                  std::uint32_t(from), false});
            from = to;
        }
        if (from >= promptTokens)
            return plan;
    }
    return std::nullopt;
}

bool replaceLost(SpanPlan &plan, const state::EndpointId &lost, Fleet &fleet,
                 const state::ModelName &model, const PolicySettings &policy, state::Instant now)
{
    for (SpanPart &part : plan.parts) {
        if (part.engine != lost)
            continue;
        const std::uint64_t needed = part.to - part.from;
        const std::vector<Room> rooms = roomyEngines(fleet, model, plan, policy, now);
        const auto room = std::ranges::find_if(
                rooms, [needed](const Room &each) { return each.tokens >= needed; });
        if (room == rooms.end())
            return false;
        part = SpanPart{room->engine, part.from, part.to, part.from, false};
    }
    return true;
}

} // namespace lavenderthread::coordination::routing
