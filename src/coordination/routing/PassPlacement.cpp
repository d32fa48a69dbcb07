// The borders between the parts, and brief requests.
#include "coordination/routing/PassPlacement.h"

#include "coordination/routing/LongPlacement.h"
#include "coordination/routing/PassCandidate.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

const PassCandidate *leastCrowded(std::span<const PassCandidate> candidates,
                                  const PassRequest &request)
{
    const PassCandidate *best = nullptr;
    for (const PassCandidate &candidate : candidates) {
        if (candidate.hasRoom(request)
            && (best == nullptr || candidate.crowding() < best->crowding()))
            best = &candidate;
    }
    return best;
}

// In their part the one with the least to do; outside it only if their part has no place left.
std::optional<PassChoice> placeBrief(const std::vector<PassCandidate> &candidates,
                                     std::size_t border, const PassRequest &request)
{
    const PassCandidate *best = leastCrowded(std::span(candidates).first(border), request);
    if (best == nullptr)
        best = leastCrowded(candidates, request);
    if (best == nullptr)
        return std::nullopt;
    PassChoice choice;
    choice.partSeconds = state::routes::prefillSeconds(best->profile(), request.promptTokens);
    return completeChoice(std::move(choice), *best, best->waiting, request);
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
    look.briefEngines = briefEngines(look.engines, look.briefs, look.longDemand, settings);
    return look;
}

} // namespace

std::size_t briefEngines(std::size_t count, std::size_t briefs, double longDemand,
                         const PassPlacementSettings &settings)
{
    if (count < 2)
        return count;
    const auto enginesFor = [&](double perEngine) {
        return std::size_t(std::ceil(double(briefs + 1) / perEngine));
    };
    const auto longEngines = std::size_t(
            std::ceil(longDemand / settings.longSecondsPerEngine + settings.longEnginesBeside));
    const std::size_t left = count > longEngines ? count - longEngines : 0;
    const std::size_t roomy = enginesFor(settings.briefPerEngine);
    const std::size_t crowded = enginesFor(settings.briefPerEngineCrowded);
    const std::size_t chosen = roomy <= left ? roomy : std::max(crowded, left);
    return std::clamp(chosen, std::size_t(1), count - 1);
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
            brief ? placeBrief(candidates, border, request)
                  : placeLong(std::span(candidates).subspan(border), request, settings);
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
    const std::span part = std::span(candidates).subspan(outlook.look.briefEngines);
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
