// The borders between the parts, and brief requests.
#include "coordination/routing/PassPlacement.h"

#include "coordination/routing/LongPlacement.h"
#include "coordination/routing/PassCandidate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

// One of the least crowded with room; null if none has room.
const PassCandidate *drawLeastCrowded(std::span<const PassCandidate> candidates,
                                      const PassRequest &request, double evenSeconds)
{
    double least = std::numeric_limits<double>::max();
    std::vector<const PassCandidate *> even;
    for (const PassCandidate &candidate : candidates) {
        if (!candidate.hasRoom(request))
            continue;
        least = std::min(least, candidate.crowding());
        even.push_back(&candidate);
    }
    std::erase_if(even, [&](const PassCandidate *each) {
        return each->crowding() > least + evenSeconds;
    });
    return even.empty() ? nullptr : even[request.draw % even.size()];
}

PassChoice briefChoice(const PassCandidate &engine, const PassRequest &request)
{
    PassChoice choice;
    choice.partSeconds = state::routes::prefillSeconds(engine.profile(), request.promptTokens);
    return completeChoice(std::move(choice), engine, engine.waiting, request);
}

// In their part the one with the least to do. Outside it if their part has no place left, or if all
// of it is so busy that the first event would be late: the border follows the answers in progress,
// and many callers at one moment are ahead of it.
std::optional<PassChoice> placeBrief(const std::vector<PassCandidate> &candidates,
                                     std::size_t border, const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const PassCandidate *best =
            drawLeastCrowded(std::span(candidates).first(border), request, settings.evenSeconds);
    if (best != nullptr) {
        const PassChoice choice = briefChoice(*best, request);
        const double bound = request.firstTargetSeconds * settings.briefBusyShare;
        if (bound <= 0 || choice.firstEventSeconds <= bound)
            return choice;
    }
    best = drawLeastCrowded(candidates, request, settings.evenSeconds);
    if (best == nullptr)
        return std::nullopt;
    return briefChoice(*best, request);
}

// A single engine is left for both: without it long prompts would wait for an empty part and be
// refused while it is idle.
std::span<const PassCandidate> longPart(const std::vector<PassCandidate> &candidates,
                                        std::size_t border)
{
    const std::span all(candidates);
    return border < all.size() ? all.subspan(border) : all;
}

// Everything but the prefill ahead.
PassLook lookAt(const std::vector<PassCandidate> &candidates, const PassRequest &request,
                const PassPlacementSettings &settings)
{
    PassLook look;
    look.engines = candidates.size();
    look.longDemand = request.longDemand;
    for (const PassCandidate &candidate : candidates)
        look.briefs += candidate.briefs;
    BriefLoad load;
    load.engines = look.engines;
    load.places = candidates.empty() ? 0 : candidates.front().profile().slots;
    load.briefs = look.briefs;
    load.longDemand = look.longDemand;
    look.briefEngines = briefEngines(load, settings);
    return look;
}

} // namespace

std::size_t briefEngines(const BriefLoad &load, const PassPlacementSettings &settings)
{
    if (load.engines < 2)
        return load.engines;
    const auto enginesFor = [&](double placeShare) {
        const double perEngine = std::max(1.0, placeShare * load.places);
        return std::size_t(std::ceil(double(load.briefs + 1) / perEngine));
    };
    const auto longEngines = std::size_t(std::ceil(load.longDemand / settings.longSecondsPerEngine
                                                   + settings.longEnginesBeside));
    const std::size_t left = load.engines > longEngines ? load.engines - longEngines : 0;
    const std::size_t roomy = enginesFor(settings.briefPlaceShare);
    const std::size_t crowded = enginesFor(settings.briefPlaceShareCrowded);
    const std::size_t chosen = roomy <= left ? roomy : std::max(crowded, left);
    return std::clamp(chosen, std::size_t(1), load.engines - 1);
}

bool isBrief(const state::routes::EngineProfile &profile, std::uint32_t promptTokens,
             const PassPlacementSettings &settings)
{
    return state::routes::prefillSeconds(profile, promptTokens) <= settings.briefSeconds;
}

std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings)
{
    const std::vector<PassCandidate> candidates = passCandidates(engines, request.avoid, settings);
    if (candidates.empty())
        return std::nullopt;
    PassLook look = lookAt(candidates, request, settings);
    const std::size_t border = look.briefEngines;
    const bool brief = isBrief(candidates.front().profile(), request.promptTokens, settings);
    std::optional<PassChoice> choice =
            brief ? placeBrief(candidates, border, request, settings)
                  : placeLong(longPart(candidates, border), std::span(candidates).first(border),
                              request, settings);
    if (choice) {
        look.waitingSeconds = choice->waitingSeconds;
        choice->look = look;
    }
    return choice;
}

LongOutlook longOutlook(const std::vector<const EngineView *> &engines, const PassRequest &request,
                        const PassPlacementSettings &settings)
{
    const std::vector<PassCandidate> candidates = passCandidates(engines, request.avoid, settings);
    if (candidates.empty())
        return {};
    LongOutlook outlook;
    outlook.look = lookAt(candidates, request, settings);
    const std::span part = longPart(candidates, outlook.look.briefEngines);
    outlook.engines = part.size();
    if (part.empty())
        return outlook;
    for (const PassCandidate &candidate : part)
        outlook.backlogSeconds += candidate.waiting / double(part.size());
    outlook.look.waitingSeconds = outlook.backlogSeconds;
    const PassCandidate &last = part.back(); // of those that answer
    const std::size_t parts = std::min(part.size(), settings.mostHelpers + 1);
    outlook.engineSeconds = state::routes::prefillSeconds(last.profile(), request.promptTokens);
    PassChoice alone;
    alone.partSeconds = outlook.engineSeconds / double(parts);
    alone = completeChoice(std::move(alone), last, 0, request);
    outlook.prefillSeconds = alone.firstEventSeconds;
    outlook.completionSeconds = alone.completionSeconds - alone.firstEventSeconds;
    return outlook;
}

} // namespace lavenderthread::coordination::routing
