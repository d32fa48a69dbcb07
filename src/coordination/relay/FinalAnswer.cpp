#include "coordination/relay/FinalAnswer.h"

namespace lavenderthread::coordination::relay {

namespace {

// Refusals don't count as runs, but a call must not try every endpoint of an overloaded service.
constexpr std::uint32_t maxRefusals = 3;

} // namespace

bool mayTryAgain(const CallFacts &facts, AttemptEnd last)
{
    if (facts.callerGone || facts.timeIsOver)
        return false;
    if (facts.runs >= facts.allowedRuns || facts.refusals >= maxRefusals)
        return false;
    // Once the call may have run, it is retried only if it is repeatable, also when a later
    // endpoint refused it.
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
