#include "coordination/relay/FinalAnswer.h"

namespace lavenderthread::coordination::relay {

namespace {

// Endpoints that refuse do not count as runs, but a call must not wander through a full service.
constexpr std::uint32_t allowedRefusals = 3;

} // namespace

bool mayTryAgain(const CallFacts &facts, AttemptEnd last)
{
    if (facts.callerGone || facts.timeIsOver)
        return false;
    if (facts.runs >= facts.allowedRuns || facts.refusals >= allowedRefusals)
        return false;
    // Once it may have run, only what may run again goes on, also when a later endpoint refused.
    if (facts.runs > 0 && !facts.repeatable)
        return false;
    return last != AttemptEnd::Whole;
}

FinalAnswer finalAnswer(const CallFacts &facts, bool hasEndpointAnswer)
{
    if (facts.callerGone)
        return FinalAnswer::None;
    if (facts.answerBegun)
        return FinalAnswer::Cut;
    if (hasEndpointAnswer)
        return FinalAnswer::EndpointAnswer;
    if (facts.runs > 0)
        return facts.timeIsOver ? FinalAnswer::Timeout : FinalAnswer::Unknown;
    return FinalAnswer::NotRun;
}

} // namespace lavenderthread::coordination::relay
