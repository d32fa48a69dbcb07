#include "coordination/routing/LongPlacement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

// Engines at the end of the order that answer long requests: as many as have the places and the
// memory for those that are there and one more.
std::size_t answeringEngines(std::span<const PassCandidate> candidates, const PassRequest &request,
                             const PassPlacementSettings &settings)
{
    if (candidates.size() < 2)
        return candidates.size();
    std::size_t answers = 1;
    double memory = request.memoryTokens;
    double capacity = 0;
    for (const PassCandidate &candidate : candidates) {
        const double all = double(candidate.profile().kvCapacityTokens);
        answers += candidate.longs;
        memory += all - std::min(all, double(candidate.view->freeTokens()));
        capacity += all;
    }
    const double engineMemory =
            capacity / double(candidates.size()) * settings.answeringMemoryShare;
    const double byPlaces = double(answers) / settings.longPerEngine;
    const double byMemory = engineMemory > 0 ? memory / engineMemory : 0;
    const auto wanted = std::size_t(std::ceil(std::max(byPlaces, byMemory)));
    return std::clamp(wanted, std::size_t(1), candidates.size() - 1);
}

// The least crowded with a place and, unless the memory is shared, room; in the answering part if
// it has one.
const PassCandidate *answeringEngine(std::span<const PassCandidate> candidates, std::size_t part,
                                     bool shared, const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const PassCandidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PassCandidate &candidate = candidates[index];
        if (shared ? !candidate.hasSlot() : !candidate.hasRoom(request))
            continue;
        double cost = candidate.crowding();
        cost += candidate.briefs > 0 ? settings.besideTightSeconds : 0;
        cost += index + part < candidates.size() ? settings.outsideAnsweringSeconds : 0;
        if (cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best;
}

struct Helper
{
    const PassCandidate *candidate = nullptr;
    double cost = 0; // its waiting prefill, and what long prefill costs there

    const state::EndpointId &id() const { return this->candidate->view->description().id; }
};

// An engine prefills parts for others ahead of its own requests. Were it given more of them while
// one of its own waits, that one would starve: it was seen to wait ten times as long as predicted.
// The first token alone tells that it waits no longer; the time that it should have taken does not.
//
// The newest part goes ahead of older ones too. So a helper is given a second part only when the
// first should be done, and a third only when one of them is known to be.
bool mayHelp(const PassCandidate &candidate, const PassPlacementSettings &settings)
{
    return candidate.helped < settings.partsPerHelper && candidate.pending == 0
           && candidate.waiting <= settings.startWaitingSeconds;
}

// What it costs to prefill long at this engine, beside the time it takes.
double besideCost(const PassCandidate &candidate, const PassPlacementSettings &settings)
{
    double cost = 0;
    if (candidate.briefs > 0)
        cost += settings.besideTightSeconds;
    if (candidate.answers > 0)
        cost += settings.besideDecodingPasses * candidate.passSeconds();
    return cost;
}

std::vector<Helper> freeHelpers(std::span<const PassCandidate> candidates,
                                const PassCandidate &answering,
                                const PassPlacementSettings &settings)
{
    std::vector<Helper> helpers;
    for (const PassCandidate &candidate : candidates) {
        if (&candidate == &answering || !mayHelp(candidate, settings))
            continue;
        helpers.push_back({&candidate, candidate.waiting + besideCost(candidate, settings)});
    }
    std::ranges::stable_sort(helpers, {}, &Helper::cost);
    return helpers;
}

// Where what the answering engine can't hold is kept: at the helpers with the most free memory.
// Empty if they can't hold it together either.
std::vector<MemoryShare> shareMemory(std::vector<Helper> helpers, const PassCandidate &answering,
                                     const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    std::ranges::stable_sort(helpers, std::greater<>(), [](const Helper &helper) {
        return helper.candidate->view->freeTokens();
    });
    const double own = double(answering.view->freeTokens()) * settings.memoryShare;
    double left = double(request.memoryTokens) - own;
    std::vector<MemoryShare> shares;
    for (const Helper &helper : helpers) {
        if (left <= 0 || shares.size() == settings.mostMemoryHelpers)
            break;
        const double room = double(helper.candidate->view->freeTokens()) * settings.memoryShare;
        const double taken = std::min(left, room);
        if (taken < 1)
            break;
        shares.push_back({helper.id(), std::uint32_t(taken) + 1});
        left -= taken;
    }
    return left <= 0 ? shares : std::vector<MemoryShare>();
}

// The helpers that hold memory come first, in the order in which it is filled.
void putFirst(std::vector<Helper> &helpers, const std::vector<MemoryShare> &memory)
{
    const auto place = [&](const Helper &helper) {
        return std::ranges::find(memory, helper.id(), &MemoryShare::engine) - memory.begin();
    };
    std::ranges::stable_sort(helpers, {}, place); // all others share the place behind the last
}

// One part is prefilled in one pass, with what waits there already. Longer than those who decode
// there bear, it would make all their answers late for the sake of one.
bool bears(const PassCandidate &candidate, double partSeconds)
{
    return candidate.waiting * candidate.speed + partSeconds <= candidate.bearable;
}

// The first `count` that bear a part of that length, `least` of which nobody can stand in for;
// fewer if there are no more.
std::vector<Helper> bearing(const std::vector<Helper> &helpers, std::size_t least,
                            std::size_t count, double partSeconds)
{
    std::vector<Helper> chosen;
    for (std::size_t index = 0; index < helpers.size() && chosen.size() < count; ++index) {
        if (bears(*helpers[index].candidate, partSeconds))
            chosen.push_back(helpers[index]);
        else if (index < least)
            return {};
    }
    return chosen;
}

// As many helpers as bring the end of the prefill forward by more than each one costs; `least` of
// them, the first ones, are needed in any case. Nothing if no number of them makes parts that are
// short enough for those who decode there.
std::optional<std::vector<Helper>> chooseHelpers(const std::vector<Helper> &helpers,
                                                 std::size_t least, const PassCandidate &answering,
                                                 double seconds,
                                                 const PassPlacementSettings &settings)
{
    const double ownCost = answering.waiting + besideCost(answering, settings);
    std::optional<std::vector<Helper>> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t count = least; count <= std::min(helpers.size(), settings.mostHelpers);
         ++count) {
        const double part = seconds / double(count + 1);
        if (!bears(answering, part))
            continue;
        const std::vector<Helper> chosen = bearing(helpers, least, count, part);
        if (chosen.size() < count)
            continue;
        double last = ownCost;
        for (const Helper &helper : chosen)
            last = std::max(last, helper.cost);
        const double cost = last + part + settings.helperSeconds * double(count);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = chosen;
    }
    return best;
}

// Whether enough engines are free for the prompt to start. With a few it would hold them for long
// while it waits a moment for the others; but engines that idle until most of them are free are
// lost to all who wait, so parts that are short beside its target are enough.
bool enoughFree(std::size_t free, std::size_t engines, double seconds, const PassRequest &request,
                const PassPlacementSettings &settings)
{
    if (seconds / double(free + 1) <= request.firstTargetSeconds * settings.startPartShare)
        return true;
    const double worth = std::sqrt(seconds / settings.helperSeconds) - 1; // where one more pays not
    const double part = settings.startShare * double(engines);
    return double(free) >= std::min(std::max(worth, 0.0), part) - 1;
}

// The least crowded engine for brief requests that may answer the prompt too; null if none may.
const PassCandidate *answeringBesideBriefs(std::span<const PassCandidate> briefPart,
                                           double partSeconds, const PassRequest &request,
                                           const PassPlacementSettings &settings)
{
    const double bearable = settings.besideBriefPauseShare * settings.tightestPauseSeconds;
    const PassCandidate *best = nullptr;
    for (const PassCandidate &candidate : briefPart) {
        const double places = settings.briefPlaceShareCrowded * candidate.profile().slots;
        if (!candidate.hasRoom(request) || double(candidate.longs) >= settings.longsBesideBriefs
            || double(candidate.answers) >= places)
            continue;
        const double pass = candidate.passSecondsWith(request);
        if (pass + candidate.waiting + partSeconds > bearable)
            continue;
        if (best == nullptr || candidate.crowding() < best->crowding())
            best = &candidate;
    }
    return best;
}

std::optional<PassChoice> placeAmong(std::span<const PassCandidate> candidates,
                                     std::span<const PassCandidate> briefPart,
                                     const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const double seconds =
            state::routes::prefillSeconds(candidates.front().profile(), request.promptTokens);
    const std::size_t part = answeringEngines(candidates, request, settings);
    const PassCandidate *answering = answeringEngine(candidates, part, false, request, settings);
    const bool shared = answering == nullptr;
    if (shared)
        answering = answeringEngine(candidates, part, true, request, settings);
    if (answering == nullptr || answering->ownWaiting > settings.startOwnWaitingSeconds)
        return std::nullopt;
    std::vector<Helper> helpers = freeHelpers(candidates, *answering, settings);
    if (!enoughFree(helpers.size(), candidates.size(), seconds, request, settings))
        return std::nullopt;
    PassChoice choice;
    if (shared) {
        choice.memory = shareMemory(helpers, *answering, request, settings);
        if (choice.memory.empty())
            return std::nullopt;
        putFirst(helpers, choice.memory);
    }
    const auto chosen = chooseHelpers(helpers, choice.memory.size(), *answering, seconds, settings);
    if (!chosen)
        return std::nullopt;
    choice.partSeconds = seconds / double(chosen->size() + 1);
    const PassCandidate *beside =
            shared ? nullptr
                   : answeringBesideBriefs(briefPart, choice.partSeconds, request, settings);
    if (beside != nullptr)
        answering = beside;
    double waiting = answering->waiting;
    for (const Helper &helper : *chosen) {
        choice.helpers.push_back(helper.id());
        waiting = std::max(waiting, helper.candidate->waiting);
    }
    return completeChoice(std::move(choice), *answering, waiting, request);
}

} // namespace

// Where the border has just moved, engines of the long part still answer brief requests. They are
// used as well only for a prompt whose parts fit into their passes: one long part makes all of
// their callers' answers late.
std::optional<PassChoice> placeLong(std::span<const PassCandidate> candidates,
                                    std::span<const PassCandidate> briefPart,
                                    const PassRequest &request,
                                    const PassPlacementSettings &settings)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<PassCandidate> calm;
    std::ranges::copy_if(candidates, std::back_inserter(calm), [&](const PassCandidate &each) {
        return each.briefs <= settings.fewBriefs;
    });
    if (!calm.empty()) {
        std::optional<PassChoice> choice = placeAmong(calm, briefPart, request, settings);
        if (choice || calm.size() == candidates.size())
            return choice;
    }
    std::optional<PassChoice> choice = placeAmong(candidates, briefPart, request, settings);
    const bool fits = choice && choice->partSeconds <= settings.besideTightPart;
    return fits || calm.empty() ? choice : std::nullopt;
}

} // namespace lavenderthread::coordination::routing
