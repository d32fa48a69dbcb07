#include "coordination/routing/PassPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lavenderthread::coordination::routing {

namespace {

using state::routes::EngineProfile;

// One engine as placing sees it, summed up once for a request.
struct Candidate
{
    const EngineView *view = nullptr;
    double speed = 1;    // of prefill, beside what it decodes
    double waiting = 0;  // seconds until the prefill that is there is done
    double context = 0;  // tokens of the requests that it answers
    std::size_t answers = 0;     // requests that it answers
    std::size_t briefs = 0;      // of them with a tight pause
    std::size_t longs = 0;       // the others
    std::size_t helped = 0;      // parts that it prefills for others
    double ownWaiting = 0;       // seconds of prefill for requests that it answers itself
    bool usable = false;
};

Candidate summarise(const EngineView &view, const PassPlacementSettings &settings)
{
    Candidate sum;
    sum.view = &view;
    sum.speed = view.prefillSpeed();
    sum.waiting = view.prefillSecondsLeft() / sum.speed;
    for (const Resident &resident : view.residents()) {
        if (resident.helping) {
            sum.helped += resident.prefillLeft > 0 ? 1 : 0;
            continue;
        }
        ++sum.answers;
        sum.ownWaiting += view.prefillSeconds(resident.prefillLeft);
        sum.context += resident.promptTokens;
        const bool tight = resident.pauseSeconds > 0
                           && resident.pauseSeconds < settings.tightPauseSeconds;
        ++(tight ? sum.briefs : sum.longs);
    }
    sum.usable = !view.suspected;
    return sum;
}

const EngineProfile &profileOf(const Candidate &candidate)
{
    return *candidate.view->profile();
}

bool hasRoom(const Candidate &candidate, const PassRequest &request)
{
    return candidate.answers < profileOf(candidate).slots
           && candidate.view->freeTokens() >= request.memoryTokens;
}

// From the start of the pass that ends the prefill to the first event: the pass in progress ends,
// on average half over, and the first event's own tokens take a whole one.
double passSeconds(const Candidate &candidate, const PassRequest &request)
{
    constexpr double passes = 1.5;
    return passes
           * state::routes::decodePassSeconds(profileOf(candidate), double(candidate.answers + 1),
                                              candidate.context + request.promptTokens);
}

PassChoice complete(PassChoice choice, const Candidate &answering, double waiting,
                    const PassRequest &request)
{
    const EngineProfile &profile = profileOf(answering);
    choice.waitingSeconds = waiting;
    choice.secondsPerToken = state::routes::prefillSeconds(profile, request.promptTokens)
                             / std::max(1.0, double(request.promptTokens));
    choice.engine = answering.view->description().id;
    choice.firstEventSeconds = waiting + choice.partSeconds / answering.speed
                               + passSeconds(answering, request);
    const double events = std::ceil(request.outputTokens / profile.stridePerPass);
    choice.completionSeconds =
            choice.firstEventSeconds
            + events
                      * state::routes::decodePassSeconds(
                              profile, double(answering.answers + 1),
                              answering.context + request.promptTokens);
    return choice;
}

// Prefill that is there delays a newcomer as it is; each request that decodes there makes the pass
// longer and may be joined by more prefill.
double briefCost(const Candidate &candidate)
{
    constexpr double secondsPerAnswer = 0.02;
    return candidate.waiting + secondsPerAnswer * double(candidate.answers);
}

const Candidate *leastCost(const std::vector<Candidate> &candidates, const PassRequest &request)
{
    const Candidate *best = nullptr;
    for (const Candidate &candidate : candidates) {
        if (hasRoom(candidate, request)
            && (best == nullptr || briefCost(candidate) < briefCost(*best)))
            best = &candidate;
    }
    return best;
}

// In their part the one with the least to do; outside it only if their part has no place left.
std::optional<PassChoice> placeBrief(const std::vector<Candidate> &candidates, std::size_t border,
                                     double seconds, const PassRequest &request)
{
    const std::vector<Candidate> part(candidates.begin(),
                                      candidates.begin() + std::ptrdiff_t(border));
    const Candidate *best = leastCost(part, request);
    if (best == nullptr)
        best = leastCost(candidates, request);
    if (best == nullptr)
        return std::nullopt;
    PassChoice choice;
    choice.partSeconds = seconds;
    return complete(std::move(choice), *best, best->waiting, request);
}

// What it costs to prefill long at this engine, beside the time it takes.
double besideCost(const Candidate &candidate, const PassPlacementSettings &settings)
{
    double cost = 0;
    if (candidate.briefs > 0)
        cost += settings.besideTightSeconds;
    if (candidate.longs > 0)
        cost += settings.besideDecodingSeconds;
    return cost;
}

// Engines at the end of the order, of `candidates`, that answer long requests: as many as have the
// places and the memory for those that are there and one more.
std::size_t answeringEngines(const std::vector<Candidate> &candidates, const PassRequest &request,
                             const PassPlacementSettings &settings)
{
    if (candidates.size() < 2)
        return candidates.size();
    std::size_t answers = 1;
    double memory = request.memoryTokens;
    double capacity = 0;
    for (const Candidate &candidate : candidates) {
        const double all = double(profileOf(candidate).kvCapacityTokens);
        answers += candidate.longs;
        memory += all - std::min(all, double(candidate.view->freeTokens()));
        capacity += all;
    }
    const double engineMemory = capacity / double(candidates.size()) * settings.answeringMemoryShare;
    const double byPlaces = double(answers) / settings.longPerEngine;
    const double byMemory = engineMemory > 0 ? memory / engineMemory : 0;
    const auto wanted = std::size_t(std::ceil(std::max(byPlaces, byMemory)));
    return std::clamp(wanted, std::size_t(1), candidates.size() - 1);
}

// The one with the least to do among those with a place and, unless the memory is shared, room. In
// the answering part first: an engine that decodes takes in what it prefills only at the start of a
// pass, so those that only help are kept free of answers.
const Candidate *answeringEngine(const std::vector<Candidate> &candidates, std::size_t part,
                                 bool shared, const PassRequest &request,
                                 const PassPlacementSettings &settings)
{
    const Candidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const bool slot = candidate.answers < profileOf(candidate).slots;
        if (shared ? !slot : !hasRoom(candidate, request))
            continue;
        double cost = briefCost(candidate);
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
    const Candidate *candidate = nullptr;
    double cost = 0; // its waiting prefill, and what long prefill costs there
};

// An engine prefills parts for others ahead of its own requests. Were it given more of them while
// one of its own waits, that one would starve: it was seen to wait ten times as long as predicted.
bool mayHelp(const Candidate &candidate, const PassPlacementSettings &settings)
{
    return candidate.helped < profileOf(candidate).slots
           && candidate.ownWaiting <= settings.ownWaitingOfHelper;
}

// Where what the answering engine can't hold is kept: at the engines with the most free memory.
// Empty if they can't hold it together either.
std::vector<MemoryShare> shareMemory(const std::vector<Candidate> &candidates,
                                     const Candidate &answering, const PassRequest &request,
                                     const PassPlacementSettings &settings)
{
    std::vector<const Candidate *> roomy;
    for (const Candidate &candidate : candidates) {
        if (&candidate != &answering && mayHelp(candidate, settings))
            roomy.push_back(&candidate);
    }
    std::ranges::stable_sort(roomy, std::greater<>(), [](const Candidate *candidate) {
        return candidate->view->freeTokens();
    });
    const double own = double(answering.view->freeTokens()) * settings.memoryShare;
    double left = double(request.memoryTokens) - own;
    std::vector<MemoryShare> shares;
    for (const Candidate *candidate : roomy) {
        if (left <= 0 || shares.size() == settings.mostMemoryHelpers)
            break;
        const double room = double(candidate->view->freeTokens()) * settings.memoryShare;
        const double taken = std::min(left, room);
        if (taken < 1)
            break;
        shares.push_back({candidate->view->description().id, std::uint32_t(taken) + 1});
        left -= taken;
    }
    return left <= 0 ? shares : std::vector<MemoryShare>();
}

// The helpers that hold memory come first, in the order in which it is filled.
void putFirst(std::vector<Helper> &helpers, const std::vector<MemoryShare> &memory)
{
    const auto holds = [&](const Helper &helper) {
        return std::ranges::find(memory, helper.candidate->view->description().id,
                                 &MemoryShare::engine)
               != memory.end();
    };
    std::ranges::stable_partition(helpers, holds);
    const auto place = [&](const Helper &helper) {
        return std::ranges::find(memory, helper.candidate->view->description().id,
                                 &MemoryShare::engine)
               - memory.begin();
    };
    std::ranges::stable_sort(helpers.begin(),
                             helpers.begin() + std::ptrdiff_t(memory.size()), {}, place);
}

std::vector<Helper> helpersByCost(const std::vector<Candidate> &candidates,
                                  std::size_t answeringPart, const Candidate &answering,
                                  const PassPlacementSettings &settings)
{
    std::vector<Helper> helpers;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (&candidate == &answering || !mayHelp(candidate, settings))
            continue;
        double cost = candidate.waiting + besideCost(candidate, settings);
        cost += index + answeringPart >= candidates.size() ? settings.helpingAnswersSeconds : 0;
        helpers.push_back({&candidate, cost});
    }
    std::ranges::stable_sort(helpers, {}, &Helper::cost);
    return helpers;
}

// As many helpers as bring the end of the prefill forward by more than each one costs.
std::optional<PassChoice> placeLong(const std::vector<Candidate> &candidates, double seconds,
                                    const PassRequest &request,
                                    const PassPlacementSettings &settings)
{
    PassChoice choice;
    const std::size_t part = answeringEngines(candidates, request, settings);
    const Candidate *answering = answeringEngine(candidates, part, false, request, settings);
    if (answering == nullptr) {
        answering = answeringEngine(candidates, part, true, request, settings);
        if (answering == nullptr)
            return std::nullopt;
        choice.memory = shareMemory(candidates, *answering, request, settings);
        if (choice.memory.empty())
            return std::nullopt;
    }
    std::vector<Helper> helpers = helpersByCost(candidates, part, *answering, settings);
    putFirst(helpers, choice.memory);
    helpers.resize(std::min(helpers.size(), settings.mostHelpers));
    const double ownCost = answering->waiting + besideCost(*answering, settings);
    const std::size_t least = choice.memory.size(); // the holders of memory all help
    std::size_t bestCount = least;
    double bestCost = least == 0 ? ownCost + seconds : std::numeric_limits<double>::max();
    double last = ownCost;
    for (std::size_t count = 1; count <= helpers.size(); ++count) {
        last = std::max(last, helpers[count - 1].cost);
        if (count < least)
            continue;
        const double cost = last + seconds / double(count + 1)
                            + settings.helperSeconds * double(count);
        if (cost < bestCost) {
            bestCost = cost;
            bestCount = count;
        }
    }
    choice.partSeconds = seconds / double(bestCount + 1);
    double waiting = answering->waiting;
    for (std::size_t index = 0; index < bestCount; ++index) {
        choice.helpers.push_back(helpers[index].candidate->view->description().id);
        waiting = std::max(waiting, helpers[index].candidate->waiting);
    }
    return complete(std::move(choice), *answering, waiting, request);
}

} // namespace

std::size_t briefEngines(std::size_t count, std::size_t briefs, double longDemand,
                         const PassPlacementSettings &settings)
{
    if (count < 2)
        return count;
    const auto roomy = std::size_t(std::ceil(double(briefs + 1) / settings.briefPerEngine));
    const auto crowded = std::size_t(std::ceil(double(briefs + 1) / settings.briefPerEngineCrowded));
    const auto wanted = std::size_t(std::ceil(longDemand / settings.longSecondsPerEngine
                                              + settings.longEnginesBeside));
    const std::size_t left = count > wanted ? count - wanted : 0;
    const std::size_t chosen = roomy <= left ? roomy : std::max(crowded, left);
    return std::clamp(chosen, std::size_t(1), count - 1);
}

std::optional<PassChoice> placeByPasses(const std::vector<const EngineView *> &engines,
                                        const PassRequest &request,
                                        const PassPlacementSettings &settings)
{
    std::vector<Candidate> candidates;
    for (const EngineView *view : engines) {
        const bool failed = std::ranges::find(request.avoid, view->description().id)
                            != request.avoid.end();
        if (view->profile() && !failed && !view->draining)
            candidates.push_back(summarise(*view, settings));
    }
    if (candidates.empty())
        return std::nullopt;
    // A suspicion that covers most engines says more of this entry than of them.
    const auto usable = std::size_t(std::ranges::count_if(candidates, &Candidate::usable));
    if (usable * 2 < candidates.size()) {
        for (Candidate &candidate : candidates)
            candidate.usable = true;
    }
    const double seconds =
            state::routes::prefillSeconds(profileOf(candidates.front()), request.promptTokens);
    std::erase_if(candidates, [](const Candidate &each) { return !each.usable; });
    std::size_t briefs = 0;
    for (const Candidate &candidate : candidates)
        briefs += candidate.briefs;
    const std::size_t border =
            briefEngines(candidates.size(), briefs, request.longDemand, settings);
    if (seconds <= settings.briefSeconds)
        return placeBrief(candidates, border, seconds, request);
    candidates.erase(candidates.begin(), candidates.begin() + std::ptrdiff_t(border));
    return placeLong(candidates, seconds, request, settings);
}

} // namespace lavenderthread::coordination::routing
