#include "coordination/routing/LongPlacement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

// Returns the number of engines, at the end of the order, that answer long requests: enough to have
// the slots and the memory for the present requests and one more.
std::size_t answeringEngineCount(std::span<const PassCandidate> candidates,
                                 const PassRequest &request, const PassPlacementSettings &settings)
{
    if (candidates.size() < 2)
        return candidates.size();
    std::size_t answers = 1;
    double memory = request.memoryTokens;
    double capacity = 0;
    for (const PassCandidate &candidate : candidates) {
        const double engineCapacity = double(candidate.profile().kvCapacityTokens);
        answers += candidate.longRequests;
        memory += engineCapacity - std::min(engineCapacity, double(candidate.freeTokens));
        capacity += engineCapacity;
    }
    const double engineMemory =
            capacity / double(candidates.size()) * settings.answeringMemoryShare;
    const double byPlaces = double(answers) / settings.longRequestsPerEngine;
    const double byMemory = engineMemory > 0 ? memory / engineMemory : 0;
    const auto wanted = std::size_t(std::ceil(std::max(byPlaces, byMemory)));
    return std::clamp(wanted, std::size_t(1), candidates.size() - 1);
}

// Returns the least loaded engine with a free slot and, unless helpers hold part of the memory,
// enough free memory; null if there is none. Prefers the last `answeringCount` engines.
const PassCandidate *answeringEngine(std::span<const PassCandidate> candidates,
                                     std::size_t answeringCount, bool memoryShared,
                                     const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const PassCandidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PassCandidate &candidate = candidates[index];
        if (candidate.held)
            continue;
        if (memoryShared ? !candidate.hasSlot() : !candidate.hasRoom(request))
            continue;
        double cost = candidate.loadSeconds();
        cost += candidate.briefRequests > 0 ? settings.tightPauseCostSeconds : 0;
        cost += index + answeringCount < candidates.size() ? settings.outsideAnsweringCostSeconds
                                                           : 0;
        const bool isWarmer = best != nullptr && best->cold && !candidate.cold;
        if (cost < bestCost || (cost <= bestCost && isWarmer)) {
            best = &candidate;
            bestCost = cost;
        }
    }
    return best;
}

struct Helper
{
    const PassCandidate *candidate = nullptr;
    double cost = 0; // seconds: its waiting prefill and the cost of long prefill there

    const state::EndpointId &id() const { return this->candidate->view->description().id; }
};

// Returns whether the engine may prefill a part for another engine.
//
// An engine prefills such parts ahead of its own requests, so more of them would starve a request
// of its own that waits: one was seen to wait ten times as long as predicted. Only its first token
// shows that a request no longer waits; the predicted time does not.
//
// The newest part also goes ahead of older ones. A helper therefore gets a second part only when
// the first should be done, and a third only when one of them is known to be done.
bool mayHelp(const PassCandidate &candidate, const PassPlacementSettings &settings)
{
    return !candidate.held && candidate.helperParts < settings.maxPartsPerHelper
           && candidate.pendingRequests == 0
           && candidate.waitingSeconds <= settings.startWaitingSeconds;
}

// Returns the cost of long prefill on this engine in seconds, excluding the prefill time itself.
double longPrefillCost(const PassCandidate &candidate, const PassPlacementSettings &settings)
{
    double cost = 0;
    if (candidate.briefRequests > 0)
        cost += settings.tightPauseCostSeconds;
    if (candidate.answeredRequests > 0)
        cost += settings.decodingDelayPasses * candidate.passSeconds();
    return cost;
}

// Returns the engines that may help, in order of rising cost.
std::vector<Helper> freeHelpers(std::span<const PassCandidate> candidates,
                                const PassCandidate &answering,
                                const PassPlacementSettings &settings)
{
    std::vector<Helper> helpers;
    for (const PassCandidate &candidate : candidates) {
        if (&candidate == &answering || !mayHelp(candidate, settings))
            continue;
        helpers.push_back(
                {&candidate, candidate.waitingSeconds + longPrefillCost(candidate, settings)});
    }
    std::ranges::stable_sort(helpers, {}, &Helper::cost);
    return helpers;
}

// Distributes what exceeds the answering engine's memory over the helpers with the most free
// memory. Returns an empty vector if they can't hold it together either.
std::vector<MemoryShare> shareMemory(std::vector<Helper> helpers, const PassCandidate &answering,
                                     const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    std::ranges::stable_sort(helpers, std::greater<>(),
                             [](const Helper &helper) { return helper.candidate->freeTokens; });
    const double ownMemory = double(answering.freeTokens) * settings.memoryShare;
    double left = double(request.memoryTokens) - ownMemory;
    std::vector<MemoryShare> shares;
    for (const Helper &helper : helpers) {
        if (left <= 0 || shares.size() == settings.maxMemoryHelpers)
            break;
        const double room = double(helper.candidate->freeTokens) * settings.memoryShare;
        const double taken = std::min(left, room);
        if (taken < 1)
            break;
        shares.push_back({helper.id(), std::uint32_t(taken) + 1});
        left -= taken;
    }
    return left <= 0 ? shares : std::vector<MemoryShare>();
}

// Moves the helpers that hold memory to the front, in the order in which their memory is filled.
void moveMemoryHelpersFirst(std::vector<Helper> &helpers, const std::vector<MemoryShare> &memory)
{
    const auto position = [&](const Helper &helper) {
        return std::ranges::find(memory, helper.id(), &MemoryShare::engine) - memory.begin();
    };
    std::ranges::stable_sort(helpers, {}, position); // all others share the last position
}

// Returns whether a part fits the pauses that the callers decoding there tolerate. It is prefilled
// in one pass with what waits there already; a longer pass would delay all their answers for one
// prompt.
bool fitsPauses(const PassCandidate &candidate, double partSeconds)
{
    return candidate.waitingSeconds * candidate.prefillTimeShare + partSeconds
           <= candidate.prefillBudgetSeconds;
}

// Returns the first `count` helpers whose callers tolerate a part of that length, or fewer if there
// are no more. The first `requiredHelpers` can't be replaced: if one of them doesn't fit, the
// result is empty.
std::vector<Helper> fittingHelpers(const std::vector<Helper> &helpers, std::size_t requiredHelpers,
                                   std::size_t count, double partSeconds)
{
    std::vector<Helper> chosen;
    for (std::size_t index = 0; index < helpers.size() && chosen.size() < count; ++index) {
        if (fitsPauses(*helpers[index].candidate, partSeconds))
            chosen.push_back(helpers[index]);
        else if (index < requiredHelpers)
            return {};
    }
    return chosen;
}

// Selects the number of helpers at which the end of the prefill plus the cost of the helpers is
// least. The first `requiredHelpers` are always included. Returns nullopt if no number of helpers
// makes the parts short enough for the requests that decode there.
std::optional<std::vector<Helper>> chooseHelpers(const std::vector<Helper> &helpers,
                                                 std::size_t requiredHelpers,
                                                 const PassCandidate &answering, double seconds,
                                                 const PassPlacementSettings &settings)
{
    const double ownCost = answering.waitingSeconds + longPrefillCost(answering, settings);
    std::optional<std::vector<Helper>> best;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t count = requiredHelpers;
         count <= std::min(helpers.size(), settings.maxHelpers); ++count) {
        const double partSeconds = seconds / double(count + 1);
        if (!fitsPauses(answering, partSeconds))
            continue;
        const std::vector<Helper> chosen =
                fittingHelpers(helpers, requiredHelpers, count, partSeconds);
        if (chosen.size() < count)
            continue;
        double latest = ownCost;
        for (const Helper &helper : chosen)
            latest = std::max(latest, helper.cost);
        const double cost = latest + partSeconds + settings.helperCostSeconds * double(count);
        if (cost >= bestCost)
            continue;
        bestCost = cost;
        best = chosen;
    }
    return best;
}

// Returns whether enough engines are free for the prompt to start. With only a few it would occupy
// them for long, although the others would be free after a moment. But engines that idle until most
// of them are free are lost to all waiting prompts, so it may also start if its parts are short
// compared with its target.
bool enoughFree(std::size_t free, std::size_t engines, double seconds, const PassRequest &request,
                const PassPlacementSettings &settings)
{
    if (seconds / double(free + 1) <= request.firstEventTargetSeconds * settings.startPartShare)
        return true;
    const double wanted = settings.startEngineShare * double(engines);
    return double(free) >= std::min(worthwhileHelpers(seconds, settings), wanted) - 1;
}

// Returns the least loaded engine of the brief group that may also answer the prompt; null if none
// may.
const PassCandidate *answeringBriefEngine(std::span<const PassCandidate> briefGroup,
                                          double partSeconds, const PassRequest &request,
                                          const PassPlacementSettings &settings)
{
    const double longestPass = settings.briefEnginePauseShare * settings.tightestPauseSeconds;
    const PassCandidate *best = nullptr;
    for (const PassCandidate &candidate : briefGroup) {
        const double slots = settings.briefSlotShareCrowded * candidate.profile().slots;
        if (!candidate.hasRoom(request)
            || double(candidate.longRequests) >= settings.longRequestsPerBriefEngine
            || double(candidate.answeredRequests) >= slots)
            continue;
        const double pass = candidate.passSecondsWith(request);
        if (pass + candidate.waitingSeconds + partSeconds > longestPass)
            continue;
        if (best == nullptr || candidate.loadSeconds() < best->loadSeconds())
            best = &candidate;
    }
    return best;
}

// Places the prompt on `candidates`, or with the answering engine in `briefGroup`.
std::optional<PassChoice> placeAmong(std::span<const PassCandidate> candidates,
                                     std::span<const PassCandidate> briefGroup,
                                     const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    const double seconds =
            state::routes::prefillSeconds(candidates.front().profile(), request.promptTokens);
    const std::size_t answeringCount = answeringEngineCount(candidates, request, settings);
    const PassCandidate *answering =
            answeringEngine(candidates, answeringCount, false, request, settings);
    const bool memoryShared = answering == nullptr;
    if (memoryShared)
        answering = answeringEngine(candidates, answeringCount, true, request, settings);
    if (answering == nullptr || answering->ownWaitingSeconds > settings.startOwnWaitingSeconds)
        return std::nullopt;
    std::vector<Helper> helpers = freeHelpers(candidates, *answering, settings);
    if (!enoughFree(helpers.size(), candidates.size(), seconds, request, settings))
        return std::nullopt;
    PassChoice choice;
    if (memoryShared) {
        choice.memory = shareMemory(helpers, *answering, request, settings);
        if (choice.memory.empty())
            return std::nullopt;
        moveMemoryHelpersFirst(helpers, choice.memory);
    }
    const auto chosen = chooseHelpers(helpers, choice.memory.size(), *answering, seconds, settings);
    if (!chosen)
        return std::nullopt;
    choice.partSeconds = seconds / double(chosen->size() + 1);
    const PassCandidate *beside =
            memoryShared ? nullptr
                         : answeringBriefEngine(briefGroup, choice.partSeconds, request, settings);
    if (beside != nullptr && (!beside->cold || answering->cold))
        answering = beside;
    double waiting = answering->waitingSeconds;
    for (const Helper &helper : *chosen) {
        choice.helpers.push_back(helper.id());
        waiting = std::max(waiting, helper.candidate->waitingSeconds);
    }
    return completeChoice(std::move(choice), *answering, waiting, request);
}

} // namespace

double worthwhileHelpers(double seconds, const PassPlacementSettings &settings)
{
    const double helpers = std::sqrt(seconds / settings.helperCostSeconds) - 1;
    return std::clamp(helpers, 0.0, double(settings.maxHelpers));
}

double enginesToStartAtOnce(double seconds, double targetSeconds,
                            const PassPlacementSettings &settings)
{
    if (targetSeconds <= 0)
        return 0;
    return std::min(seconds / (targetSeconds * settings.startPartShare),
                    worthwhileHelpers(seconds, settings) + 1);
}

// After the border has moved, engines of the long group may still answer brief requests. They are
// used only for a prompt whose parts fit into their passes: one long part would delay the answers
// of all their callers.
std::optional<PassChoice> placeLong(std::span<const PassCandidate> candidates,
                                    std::span<const PassCandidate> briefGroup,
                                    const PassRequest &request,
                                    const PassPlacementSettings &settings)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<PassCandidate> withFewBriefs;
    std::ranges::copy_if(candidates, std::back_inserter(withFewBriefs),
                         [&](const PassCandidate &each) {
                             return each.briefRequests <= settings.ignoredBriefRequests;
                         });
    if (!withFewBriefs.empty()) {
        std::optional<PassChoice> choice = placeAmong(withFewBriefs, briefGroup, request, settings);
        if (choice || withFewBriefs.size() == candidates.size())
            return choice;
    }
    std::optional<PassChoice> choice = placeAmong(candidates, briefGroup, request, settings);
    const bool fits = choice && choice->partSeconds <= settings.tightPauseMaxPartSeconds;
    return fits || withFewBriefs.empty() ? choice : std::nullopt;
}

bool holdForLong(std::span<PassCandidate> candidates, const PassRequest &request,
                 const PassPlacementSettings &settings)
{
    std::vector<std::pair<double, PassCandidate *>> free;
    for (PassCandidate &candidate : candidates) {
        if (!candidate.held)
            free.emplace_back(candidate.waitingSeconds + longPrefillCost(candidate, settings),
                              &candidate);
    }
    if (free.empty())
        return false;
    const double seconds =
            state::routes::prefillSeconds(candidates.front().profile(), request.promptTokens);
    const std::size_t wanted = std::size_t(worthwhileHelpers(seconds, settings)) + 1;
    std::ranges::stable_sort(free, {}, &std::pair<double, PassCandidate *>::first);
    for (std::size_t index = 0; index < std::min(wanted, free.size()); ++index)
        free[index].second->held = true;
    return free.size() > wanted;
}

} // namespace lavenderthread::coordination::routing
