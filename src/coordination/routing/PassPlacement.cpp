// Sizes of the engine groups, and placement of brief requests.
#include "coordination/routing/PassPlacement.h"

#include "coordination/routing/LongPlacement.h"
#include "coordination/routing/PassSchedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

// Returns one of the least loaded engines with a free slot and memory, a warm one if there is any
// among them; null if there is none.
const PassCandidate *drawLeastLoaded(std::span<const PassCandidate> candidates,
                                     const PassRequest &request, double equalLoadSeconds)
{
    double least = std::numeric_limits<double>::max();
    std::vector<const PassCandidate *> leastLoaded;
    for (const PassCandidate &candidate : candidates) {
        if (!candidate.hasRoom(request))
            continue;
        least = std::min(least, candidate.loadSeconds());
        leastLoaded.push_back(&candidate);
    }
    std::erase_if(leastLoaded, [&](const PassCandidate *each) {
        return each->loadSeconds() > least + equalLoadSeconds;
    });
    // A cold engine is slow at first.
    const auto isCold = [](const PassCandidate *each) { return each->cold; };
    if (!std::all_of(leastLoaded.begin(), leastLoaded.end(), isCold))
        std::erase_if(leastLoaded, isCold);
    return leastLoaded.empty() ? nullptr : leastLoaded[request.tieBreaker % leastLoaded.size()];
}

PassChoice briefChoice(const PassCandidate &engine, const PassRequest &request)
{
    PassChoice choice;
    choice.partSeconds = state::routes::prefillSeconds(engine.profile(), request.promptTokens);
    return completeChoice(std::move(choice), engine, engine.waitingSeconds, request);
}

// Selects the least loaded engine of the brief group. Falls back to all engines if the group has no
// free slot, or if it is so busy that the first event would be late: the group's size follows the
// requests in progress and lags behind a burst of arrivals. While an entry does not know yet what
// the others place, the group can't be sized at all.
std::optional<PassChoice> placeBrief(const std::vector<PassCandidate> &candidates,
                                     std::size_t border, const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const std::span all(candidates);
    const PassCandidate *best = drawLeastLoaded(request.usesAllEngines ? all : all.first(border),
                                                request, settings.equalLoadSeconds);
    if (best != nullptr) {
        const PassChoice choice = briefChoice(*best, request);
        const double latestFirstEvent = request.firstEventTargetSeconds * settings.briefTargetShare;
        if (latestFirstEvent <= 0 || choice.firstEventSeconds <= latestFirstEvent)
            return choice;
    }
    best = drawLeastLoaded(candidates, request, settings.equalLoadSeconds);
    if (best == nullptr)
        return std::nullopt;
    return briefChoice(*best, request);
}

// A single engine serves brief and long requests. Otherwise long prompts would wait for an empty
// group and be refused while the engine is idle.
std::span<const PassCandidate> longGroup(const std::vector<PassCandidate> &candidates,
                                         std::size_t border)
{
    const std::span all(candidates);
    return border < all.size() ? all.subspan(border) : all;
}

// Fills in everything except waitingSeconds.
PlacementSnapshot takeSnapshot(const std::vector<PassCandidate> &candidates,
                               const PassRequest &request, const PassPlacementSettings &settings)
{
    PlacementSnapshot snapshot;
    snapshot.engines = candidates.size();
    snapshot.longDemand = request.longDemand;
    for (const PassCandidate &candidate : candidates)
        snapshot.briefRequests += candidate.briefRequests;
    BriefLoad load;
    load.engines = snapshot.engines;
    load.slotsPerEngine = candidates.empty() ? 0 : candidates.front().profile().slots;
    load.briefRequests = snapshot.briefRequests;
    load.longDemand = snapshot.longDemand;
    snapshot.briefEngines = briefEngineCount(load, settings);
    return snapshot;
}

} // namespace

std::size_t briefEngineCount(const BriefLoad &load, const PassPlacementSettings &settings)
{
    if (load.engines < 2)
        return load.engines;
    const auto enginesFor = [&](double placeShare) {
        const double perEngine = std::max(1.0, placeShare * load.slotsPerEngine);
        return std::size_t(std::ceil(double(load.briefRequests + 1) / perEngine));
    };
    const auto longEngines = std::size_t(
            std::ceil(load.longDemand / settings.longSecondsPerEngine + settings.extraLongEngines));
    const std::size_t left = load.engines > longEngines ? load.engines - longEngines : 0;
    const std::size_t preferred = enginesFor(settings.briefSlotShare);
    const std::size_t minimum = enginesFor(settings.briefSlotShareCrowded);
    const std::size_t chosen = preferred <= left ? preferred : std::max(minimum, left);
    return std::clamp(chosen, std::size_t(1), load.engines - 1);
}

bool isBrief(const state::routes::EngineProfile &profile, std::uint32_t promptTokens,
             const PassPlacementSettings &settings)
{
    return state::routes::prefillSeconds(profile, promptTokens) <= settings.maxBriefPrefillSeconds;
}

bool holdByPasses(std::vector<PassCandidate> &candidates, const PassRequest &request,
                  const PassPlacementSettings &settings)
{
    if (candidates.empty())
        return false;
    const std::size_t border = takeSnapshot(candidates, request, settings).briefEngines;
    const std::span all(candidates);
    return holdForLong(border < all.size() ? all.subspan(border) : all, request, settings);
}

std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings)
{
    if (!request.avoidedDomain.empty()) {
        std::vector<const EngineView *> others;
        std::ranges::copy_if(engines, std::back_inserter(others), [&](const EngineView *view) {
            return view->description().failureDomain != request.avoidedDomain;
        });
        std::optional<PassChoice> choice = placeByPasses(
                passCandidates(others, request.failedEngines, settings), request, settings);
        if (choice)
            return choice;
    }
    return placeByPasses(passCandidates(engines, request.failedEngines, settings), request,
                         settings);
}

std::optional<PassChoice> placeByPasses(const std::vector<PassCandidate> &candidates,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings)
{
    if (candidates.empty())
        return std::nullopt;
    PlacementSnapshot snapshot = takeSnapshot(candidates, request, settings);
    const std::size_t border = snapshot.briefEngines;
    const bool brief = isBrief(candidates.front().profile(), request.promptTokens, settings);
    std::optional<PassChoice> choice =
            brief ? placeBrief(candidates, border, request, settings)
                  : placeLong(longGroup(candidates, border), std::span(candidates).first(border),
                              request, settings);
    if (choice) {
        snapshot.waitingSeconds = choice->waitingSeconds;
        choice->placementSnapshot = snapshot;
    }
    return choice;
}

LongPromptEstimate estimateLongPrompt(const std::vector<const EngineView *> &engines,
                                      const PassRequest &request,
                                      const PassPlacementSettings &settings)
{
    const std::vector<PassCandidate> candidates =
            passCandidates(engines, request.failedEngines, settings);
    if (candidates.empty())
        return {};
    LongPromptEstimate estimate;
    estimate.placementSnapshot = takeSnapshot(candidates, request, settings);
    const std::span group = longGroup(candidates, estimate.placementSnapshot.briefEngines);
    estimate.engines = group.size();
    if (group.empty())
        return estimate;
    for (const PassCandidate &candidate : group)
        estimate.backlogSeconds += candidate.waitingSeconds / double(group.size());
    estimate.placementSnapshot.waitingSeconds = estimate.backlogSeconds;
    const PassCandidate &last = group.back(); // long requests are answered at the group's end
    const std::size_t parts = std::min(group.size(), settings.maxHelpers + 1);
    PassChoice alone;
    alone.partSeconds =
            state::routes::prefillSeconds(last.profile(), request.promptTokens) / double(parts);
    alone = completeChoice(std::move(alone), last, 0, request);
    estimate.prefillSeconds = alone.firstEventSeconds;
    estimate.completionSeconds = alone.completionSeconds - alone.firstEventSeconds;
    return estimate;
}

} // namespace lavenderthread::coordination::routing
