#include "coordination/routing/SpanPlan.h"

#include <algorithm>
#include <functional>
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
    for (const state::EndpointId &id : fleet.spanEngines(model)) {
        EngineView *view = fleet.find(id);
        if (view->draining || plan.uses(id))
            continue;
        view->advance(now);
        // Ranges wait for their turn, and their engines work for others meanwhile: what they need
        // stays free.
        const auto capacity = double(view->description().kvCapacityTokens);
        const auto most = std::uint64_t(capacity * policy.spanPartShare);
        const auto spare = std::uint64_t(capacity * policy.spanSpareShare);
        const std::uint64_t free = view->freeTokens();
        rooms.push_back(
                {view->prefillSecondsLeft(), std::min(most, free > spare ? free - spare : 0), id});
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
    std::vector<Room> rooms = roomyEngines(fleet, model, {}, policy, now);
    std::erase_if(rooms, [&](const Room &room) { return room.tokens < policy.spanPartTokens; });
    // Few and large ranges: each range imports all that stands before it.
    std::ranges::stable_sort(rooms, std::greater<>(), &Room::tokens);
    SpanPlan plan;
    std::uint64_t from = 0;
    for (const Room &room : rooms) {
        const std::uint64_t left = promptTokens - from;
        const bool last = room.tokens >= left + outputTokens;
        // The last range keeps room for the output; a range of nothing but output is no range.
        const std::uint64_t taken = last ? left : std::min<std::uint64_t>(room.tokens, left - 1);
        plan.parts.push_back({room.engine, std::uint32_t(from), std::uint32_t(from + taken),
                              std::uint32_t(from), false});
        from += taken;
        if (last)
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
