#include "coordination/relay/FinalAnswer.h"

#include <algorithm>
#include <array>

namespace lavenderthread::coordination::relay {

namespace {

// Refusals don't count as runs, but a call must not try every endpoint of an overloaded service.
constexpr std::uint32_t maxRefusals = 3;
// A connection that fails adds no load, but each one may cost the caller a timeout.
constexpr std::uint32_t maxUnsent = 4;
// A connection that is refused at once, or an incarnation that has ended, costs at most a round
// trip. While a failure domain is down, and when it restarts, a request meets several of them. The
// limit of either kind only ends a request that finds no other endpoint.
constexpr std::uint32_t maxCostless = 12;

// Callers take each of these for the promise that the call has not run and never will.
constexpr std::array notRunStatuses = {408U, 421U, 429U, 503U};

} // namespace

bool mayRetry(const CallState &facts, AttemptResult last)
{
    if (facts.callerGone || facts.deadlinePassed || facts.entryEnds)
        return false;
    if (facts.runs >= facts.maxRuns || facts.refusals >= maxRefusals || facts.unsent >= maxUnsent
        || facts.refusedConnections >= maxCostless || facts.replaced >= maxCostless)
        return false;
    // Once the call may have run, it is retried only if it is repeatable, also when a later
    // endpoint refused it.
    if (facts.runs > 0 && !facts.repeatable)
        return false;
    return last != AttemptResult::Complete;
}

bool mayPassOn(const CallState &facts, unsigned status)
{
    return facts.repeatable || std::ranges::find(notRunStatuses, status) == notRunStatuses.end();
}

FinalAnswer finalAnswer(const CallState &facts, bool hasEndpointAnswer)
{
    if (facts.callerGone)
        return FinalAnswer::None;
    if (facts.answerBegun)
        return FinalAnswer::Truncated;
    if (hasEndpointAnswer)
        return FinalAnswer::EndpointAnswer;
    if (facts.runs > 0)
        return facts.deadlinePassed ? FinalAnswer::Timeout : FinalAnswer::Unknown;
    return FinalAnswer::NotRun;
}

} // namespace lavenderthread::coordination::relay
