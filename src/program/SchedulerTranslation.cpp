#include "program/SchedulerTranslation.h"

#include "program/Log.h"

#include <chrono>

namespace lavenderthread::program {

namespace admission = coordination::admission;
using protocol::Problem;
using protocol::Ran;
using std::chrono::milliseconds;

namespace {

constexpr double usPerSecond = 1e6;
constexpr double thousandthsPerUnit = 1e3;

} // namespace

Problem problemOf(const admission::Refuse &refusal)
{
    const milliseconds retryAfter = std::chrono::ceil<milliseconds>(refusal.retryAfter);
    const Ran ran = refusal.ran == admission::Ran::No ? Ran::No : Ran::Unknown;
    switch (refusal.reason) {
    case admission::RefusalReason::UnknownModel:
        return {503, "no-engine", "no engine with this model is ready", ran, retryAfter};
    case admission::RefusalReason::TooLong:
        return {413, "prompt-too-long", "the engines can't hold this prompt", ran, std::nullopt};
    case admission::RefusalReason::Deadline:
        return {503, "deadline-out-of-reach", "the request can't be done in its time", ran,
                retryAfter};
    case admission::RefusalReason::Overload:
        return {503, "overloaded", "too much work is waiting", ran, retryAfter};
    case admission::RefusalReason::Limit:
        return {429, "limit", "the account's limit is used up", ran, retryAfter};
    case admission::RefusalReason::EndpointLimits:
        return {503, "endpoint-limits", "the engines accept no more requests now", ran, retryAfter};
    case admission::RefusalReason::Leaving:
        return {503, std::string(leavingTitle), "this entry ends before it could be answered", ran,
                retryAfter};
    case admission::RefusalReason::AttemptsExhausted:
        return {503, "engines-lost", "the engines that worked on it were lost", ran, retryAfter};
    }
    return {500, "internal", "unknown refusal", Ran::Unknown, std::nullopt};
}

void logPlacement(const admission::Dispatch &action)
{
    logEvent(LogLevel::Info, "request.placed",
             {{"request", action.id.value()},
              {"attempt", action.attempt},
              {"endpoint", action.engine.value()},
              {"helpers", std::uint64_t(action.helpers.size())},
              {"reserved", std::uint64_t(action.helperLeases.size())},
              {"predicted_first_us", std::int64_t(action.predictedFirstEvent.count())},
              {"waiting_us", std::int64_t(action.placementSnapshot.waitingSeconds * usPerSecond)},
              {"engines", std::uint64_t(action.placementSnapshot.engines)},
              {"brief_engines", std::uint64_t(action.placementSnapshot.briefEngines)},
              {"briefs", std::uint64_t(action.placementSnapshot.briefRequests)},
              {"long_demand_milli",
               std::int64_t(action.placementSnapshot.longDemand * thousandthsPerUnit)}});
}

void logRefusal(const admission::Refuse &action, const Problem &problem)
{
    logEvent(LogLevel::Info, "request.refused",
             {{"request", action.id.value()},
              {"cause", problem.title},
              {"ran", protocol::toString(problem.ran)},
              {"rank", std::uint64_t(action.rank)},
              {"waiting_ahead", std::uint64_t(action.waitingAhead)},
              {"slots_taken", std::uint64_t(action.slotsTaken)},
              {"retry_after_us", std::int64_t(action.retryAfter.count())},
              {"failed_attempts", action.failedAttempts},
              {"retry_budget", action.retryBudgetSpent ? "spent" : "left"},
              {"predicted_first_us", std::int64_t(action.predictedFirstEvent.count())},
              {"queued_us", std::int64_t(action.queuedSeconds * usPerSecond)},
              {"waiting_us", std::int64_t(action.placementSnapshot.waitingSeconds * usPerSecond)},
              {"engines", std::uint64_t(action.placementSnapshot.engines)},
              {"brief_engines", std::uint64_t(action.placementSnapshot.briefEngines)},
              {"briefs", std::uint64_t(action.placementSnapshot.briefRequests)},
              {"long_demand_milli",
               std::int64_t(action.placementSnapshot.longDemand * thousandthsPerUnit)}});
}

void logDeferral(const admission::Deferred &action, state::Instant now)
{
    logEvent(LogLevel::Info, "request.deferred",
             {{"request", action.id.value()},
              {"latest_start_us", std::int64_t((action.latestStart - now).count())}});
}

admission::CompletionRequest toAdmission(const ScheduledRequest &request)
{
    admission::CompletionRequest admitted;
    admitted.id = request.id;
    admitted.account = request.account;
    admitted.workClass = request.workClass;
    admitted.model = request.body.model;
    admitted.promptTokens = request.body.promptTokens;
    admitted.maximumOutputTokens = request.body.outputTokens;
    admitted.prefixBlocks = request.body.prefixBlocks;
    admitted.arrival = request.arrival;
    admitted.deadline = request.deadline;
    admitted.idempotent = request.idempotent;
    admitted.firstEventTarget = request.firstEventTarget;
    admitted.toleratedPause = request.toleratedPause;
    admitted.rank = request.rank;
    admitted.attemptLimit = request.attempts;
    return admitted;
}

} // namespace lavenderthread::program
