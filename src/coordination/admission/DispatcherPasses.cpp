// Requests on engines that work in declared passes: they go to an engine at once or are refused at
// once, since the engines' own queues cost nothing that waiting here would save.
#include "coordination/admission/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace lavenderthread::coordination::admission {

namespace {

constexpr state::Duration shortestRetryAfter = std::chrono::milliseconds(200);
constexpr state::Duration longestRetryAfter = std::chrono::seconds(5);
// A place at an engine frees up as the answers there end, a second or two each.
constexpr state::Duration retryWhenFull = std::chrono::milliseconds(700);
constexpr state::Duration retryWithoutEngines = std::chrono::seconds(1);

state::Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

// Without reserved memory only the prefill needs the helpers; what they prefilled is kept by the
// engine that decodes.
bool Dispatcher::Flight::needs(const state::EndpointId &engine) const
{
    if (this->plan.uses(engine))
        return true;
    return this->phase == Phase::Prefilling
           && std::ranges::find(this->helpers, engine) != this->helpers.end();
}

routing::PassRequest Dispatcher::passRequestOf(const CompletionRequest &request) const
{
    routing::PassRequest wanted;
    wanted.promptTokens = request.promptTokens;
    wanted.outputTokens = request.maximumOutputTokens * this->policy.expectedOutputShare;
    wanted.memoryTokens = request.promptTokens + request.maximumOutputTokens;
    return wanted;
}

std::optional<Refuse> Dispatcher::refusalByPasses(const CompletionRequest &request)
{
    const auto choice = this->engines.chooseByPasses(request.model, this->passRequestOf(request),
                                                     this->now);
    if (!choice)
        return std::nullopt; // waits for a place; placing it refuses it when it gets too late
    return this->lateRefusal(request, *choice);
}

std::optional<Refuse> Dispatcher::lateRefusal(const CompletionRequest &request,
                                              const routing::PassChoice &choice) const
{
    const state::Duration first = toDuration(choice.firstEventSeconds);
    const state::Duration whole = toDuration(choice.completionSeconds);
    const state::Duration waited = this->now - request.arrival;
    state::Duration over = whole - (request.deadline - this->now);
    if (request.firstTarget > state::Duration(0)) {
        const state::Duration bound = std::chrono::duration_cast<state::Duration>(
                request.firstTarget * this->policy.lateTolerance);
        over = std::max({over, waited + first - bound,
                         toDuration(choice.waitingSeconds) - this->patienceOf(request, choice)});
    }
    if (over <= state::Duration(0))
        return std::nullopt;
    return Refuse{request.id, RefusalReason::Deadline,
                  std::clamp(over, shortestRetryAfter, longestRetryAfter), Ran::No};
}

state::Duration Dispatcher::patienceOf(const CompletionRequest &request,
                                       const routing::PassChoice &choice) const
{
    const routing::PassPlacementSettings &terms = this->policy.passes;
    const double ratio = std::max(1.0, choice.secondsPerToken / terms.usualSecondsPerToken);
    const double share = terms.waitingShare / std::pow(ratio, terms.costPower);
    return std::chrono::duration_cast<state::Duration>(request.firstTarget * share);
}

bool Dispatcher::placeByPasses(Flight &flight)
{
    const CompletionRequest &request = flight.request;
    routing::PassRequest wanted = this->passRequestOf(request);
    wanted.avoid = flight.failed;
    const auto choice = this->engines.chooseByPasses(request.model, wanted, this->now);
    if (!choice) {
        // No engine has room. It may wait for as long as it could still be in time then.
        const state::Duration patience =
                request.firstTarget > state::Duration(0) ? request.firstTarget / 2 : retryWhenFull;
        if (this->now - request.arrival < patience)
            return false;
        const bool none = this->engines.watched(request.model).empty();
        this->refuse(request.id, none ? RefusalReason::UnknownModel : RefusalReason::Overload,
                     none ? retryWithoutEngines : retryWhenFull);
        return true;
    }
    this->queue.remove(this->queuedOf(flight));
    flight.plan.parts = {{choice->engine, 0, request.promptTokens, 0, false}};
    flight.helpers = choice->helpers;
    flight.partSeconds = choice->partSeconds;
    flight.predictedFirst = toDuration(choice->firstEventSeconds);
    ++flight.attempt;
    if (choice->memory.empty())
        this->dispatchNext(flight);
    else
        this->reserveTickets(flight, choice->memory);
    return true;
}

// The time of a part, in the tokens that the engine prefills in that time when there are no pairs
// to count: the views let work proceed at that rate.
std::uint32_t Dispatcher::partTokens(const Flight &flight) const
{
    const routing::EngineView *view = this->engines.find(flight.plan.parts.front().engine);
    if (view == nullptr)
        return 0;
    return std::uint32_t(flight.partSeconds / view->prefillSeconds(1));
}

void Dispatcher::applyNote(const routing::WorkNote &note)
{
    if (routing::EngineView *view = this->engines.find(note.engine)) {
        view->apply(note, this->now);
        if (view->profile() && note.stage == routing::WorkStage::Dispatched) {
            const double part = view->prefillSeconds(note.prefillTokens);
            this->engines.noteLongPrefill(note.engine, part * double(note.helpers.size() + 1),
                                          this->now);
        }
    }
    for (std::size_t index = 0; index < note.helpers.size(); ++index) {
        const std::uint32_t memory =
                index < note.helperMemory.size() ? note.helperMemory[index] : 0;
        if (routing::EngineView *view = this->engines.find(note.helpers[index]))
            view->applyHelp(note, memory, this->now);
    }
}

} // namespace lavenderthread::coordination::admission
