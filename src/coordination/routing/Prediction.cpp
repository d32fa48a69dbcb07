#include "coordination/routing/Prediction.h"

#include <algorithm>

namespace lavenderthread::coordination::routing {

namespace {

// Mean time left of the running engine step, which a new request waits for: half a step.
double remainingStepSeconds(const EngineView &engine, const PolicySettings &policy)
{
    bool decodes = false;
    for (const ResidentWork &resident : engine.residentWork()) {
        if (resident.prefillLeft > 0)
            return engine.prefillSeconds(policy.engineStepTokens) / 2;
        decodes = decodes || resident.decoding;
    }
    return decodes ? engine.decodeStepSeconds() / 2 : 0;
}

// Delay of decoding outputLeft tokens while the engine also runs prefillSeconds of prefill.
double decodeDelay(const EngineView &engine, double outputLeft, double prefillSeconds,
                   const PolicySettings &policy)
{
    const double decodeSeconds = outputLeft * engine.decodeStepSeconds();
    const double lostShare = 1 - 1 / policy.prefillSlowsDecode;
    return std::min(prefillSeconds * lostShare, decodeSeconds * (policy.prefillSlowsDecode - 1));
}

double idealCompletionSeconds(const EngineView &engine, double promptTokens, double outputTokens)
{
    return idealFirstTokenSeconds(engine, promptTokens) + outputTokens * engine.decodeStepSeconds();
}

double costToOtherRequests(const EngineView &engine, const Prompt &prompt, double ownPrefillSeconds,
                           const PolicySettings &policy)
{
    double cost = 0;
    for (const ResidentWork &resident : engine.residentWork()) {
        if (resident.promptTokens < policy.shortPromptTokens && resident.outputLeft > 0) {
            const double delay =
                    decodeDelay(engine, resident.outputLeft, ownPrefillSeconds, policy);
            cost += policy.shortSlowdownWeight * delay
                    / idealCompletionSeconds(engine, resident.promptTokens, resident.outputTokens);
        }
        if (!resident.decoding && resident.prefillLeft > 0 && resident.priority > prompt.priority) {
            cost += policy.firstTokenWeight * ownPrefillSeconds
                    / idealFirstTokenSeconds(engine, resident.promptTokens);
        }
    }
    return cost;
}

} // namespace

double idealFirstTokenSeconds(const EngineView &engine, double promptTokens)
{
    return engine.prefillSeconds(std::max(promptTokens, 1.0));
}

Prediction predict(const EngineView &engine, const Prompt &prompt, const PolicySettings &policy,
                   double transferSeconds)
{
    Prediction result;
    result.cachedTokens =
            std::min(engine.prefixes().match(prompt.prefixBlocks, policy.doubtfulTrust)
                             * policy.prefixBlockTokens,
                     std::max(0.0, prompt.prefillTokens - 1.0));
    const double ownPrefill = engine.prefillSeconds(prompt.prefillTokens - result.cachedTokens);
    result.prefillSecondsAhead = engine.prefillSecondsAhead(prompt.priority);
    // If the limit on engine queues applied at each prompt's own priority, the longer medium
    // prompts would find every queue full, and the table rows that send them would lose their fair
    // share.
    const bool isShort = prompt.promptTokens < policy.shortPromptTokens;
    result.queueSeconds =
            isShort ? result.prefillSecondsAhead
                    : engine.prefillSecondsAhead(std::max(prompt.priority, policy.queuePriority));
    result.firstTokenSeconds = 2 * transferSeconds + remainingStepSeconds(engine, policy)
                               + result.prefillSecondsAhead + ownPrefill;

    const double laterPrefill = engine.prefillSecondsLeft() - result.prefillSecondsAhead;
    const double ownDecodeDelay = decodeDelay(engine, prompt.outputTokens, laterPrefill, policy);
    result.completionSeconds = result.firstTokenSeconds
                               + prompt.outputTokens * engine.decodeStepSeconds() + ownDecodeDelay;

    result.cost = policy.firstTokenWeight * result.firstTokenSeconds
                          / idealFirstTokenSeconds(engine, prompt.promptTokens)
                  + costToOtherRequests(engine, prompt, ownPrefill, policy);
    if (isShort) {
        const double ideal =
                idealCompletionSeconds(engine, prompt.promptTokens, prompt.outputTokens);
        result.cost += policy.shortSlowdownWeight * (result.completionSeconds - ideal) / ideal;
    }
    // Best fit keeps large free memory for large prompts: memory runs out before engine time does.
    const double spare = double(engine.freeTokens()) - prompt.promptTokens;
    const double capacity = std::max(1.0, double(engine.description().kvCapacityTokens));
    result.cost += policy.tightFitWeight * std::max(0.0, spare) / capacity;
    return result;
}

} // namespace lavenderthread::coordination::routing
