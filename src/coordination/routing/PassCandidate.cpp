#include "coordination/routing/PassCandidate.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::routing {

namespace {

PassCandidate summarise(const EngineView &view, const PassPlacementSettings &settings)
{
    PassCandidate candidate;
    candidate.view = &view;
    candidate.usable = !view.suspected;
    candidate.freeTokens = view.freeTokens();
    candidate.sendsAvailable = view.sendsAvailable();
    candidate.cold = view.isCold();
    candidate.prefillTimeShare = view.prefillTimeShare();
    candidate.waitingSeconds = view.prefillSecondsLeft() / candidate.prefillTimeShare;
    for (const ResidentWork &resident : view.residentWork()) {
        if (resident.isHelperWork) {
            candidate.helperParts += resident.decoding ? 0 : 1;
            continue;
        }
        ++candidate.answeredRequests;
        candidate.pendingRequests += resident.decoding ? 0 : 1;
        candidate.ownWaitingSeconds += view.prefillSeconds(resident.prefillLeft);
        candidate.contextTokens += resident.promptTokens;
        const bool tight = resident.toleratedPauseSeconds > 0
                           && settings.isTight(resident.toleratedPauseSeconds);
        ++(tight ? candidate.briefRequests : candidate.longRequests);
        if (!tight && resident.toleratedPauseSeconds > 0)
            candidate.prefillBudgetSeconds =
                    std::min(candidate.prefillBudgetSeconds, resident.toleratedPauseSeconds);
    }
    if (candidate.longRequests > 0)
        candidate.prefillBudgetSeconds -= candidate.passSeconds();
    return candidate;
}

// An engine that refused a request as full a moment ago would refuse the next one too. It stays a
// member of its group. If no other engine has a free slot, one of them is tried.
void markFull(std::vector<PassCandidate> &candidates)
{
    const auto hasRoom = [](const PassCandidate &each) {
        return !each.view->hasRefusedAsFull() && each.hasSlot();
    };
    if (std::ranges::none_of(candidates, hasRoom))
        return;
    for (PassCandidate &candidate : candidates)
        candidate.full = candidate.view->hasRefusedAsFull();
}

} // namespace

double PassCandidate::passSeconds() const
{
    return state::routes::decodePassSeconds(this->profile(), double(this->answeredRequests),
                                            this->contextTokens);
}

double PassCandidate::passSecondsWith(const PassRequest &request) const
{
    return state::routes::decodePassSeconds(this->profile(), double(this->answeredRequests + 1),
                                            this->contextTokens + request.promptTokens);
}

void PassCandidate::addHelperPart(double partSeconds, std::uint64_t memoryTokens)
{
    ++this->helperParts;
    this->waitingSeconds += partSeconds / this->prefillTimeShare;
    this->freeTokens -= std::min(this->freeTokens, memoryTokens);
}

void PassCandidate::addAnswer(double partSeconds, std::uint64_t memoryTokens,
                              const PassRequest &request)
{
    ++this->answeredRequests;
    this->sendsAvailable -= std::min<std::size_t>(this->sendsAvailable, 1);
    ++this->longRequests;
    ++this->pendingRequests;
    this->ownWaitingSeconds += partSeconds;
    this->waitingSeconds += partSeconds / this->prefillTimeShare;
    this->contextTokens += request.promptTokens;
    this->freeTokens -= std::min(this->freeTokens, memoryTokens);
}

double PassCandidate::loadSeconds() const
{
    constexpr double secondsPerAnswer = 0.02;
    return this->waitingSeconds + secondsPerAnswer * double(this->answeredRequests);
}

std::vector<PassCandidate> passCandidates(const std::vector<const EngineView *> &engines,
                                          const std::vector<state::EndpointId> &avoid,
                                          const PassPlacementSettings &settings)
{
    std::vector<PassCandidate> candidates;
    for (const EngineView *view : engines) {
        const bool failed = std::ranges::find(avoid, view->description().id) != avoid.end();
        if (view->profile() && !failed && !view->draining && !view->ended)
            candidates.push_back(summarise(*view, settings));
    }
    const auto usable = std::size_t(std::ranges::count_if(candidates, &PassCandidate::usable));
    if (usable * 2 >= candidates.size())
        std::erase_if(candidates, [](const PassCandidate &each) { return !each.usable; });
    markFull(candidates);
    return candidates;
}

double firstEventPassSeconds(const PassCandidate &answering, const PassRequest &request)
{
    // The remaining half, on average, of the pass in progress, and a whole pass for the tokens of
    // the first event.
    constexpr double passes = 1.5;
    return passes * answering.passSecondsWith(request);
}

PassChoice completeChoice(PassChoice choice, const PassCandidate &answering, double waiting,
                          const PassRequest &request)
{
    const state::routes::EngineProfile &profile = answering.profile();
    choice.engine = answering.view->description().id;
    choice.waitingSeconds = waiting;
    choice.firstEventSeconds = waiting + choice.partSeconds / answering.prefillTimeShare
                               + firstEventPassSeconds(answering, request);
    const double events = std::ceil(request.outputTokens / profile.stepsPerPass);
    choice.completionSeconds =
            choice.firstEventSeconds + events * answering.passSecondsWith(request);
    return choice;
}

} // namespace lavenderthread::coordination::routing
