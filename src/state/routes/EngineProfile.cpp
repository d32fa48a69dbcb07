// Computes prefill time and decode time by the batch model.
#include "state/routes/EngineProfile.h"

namespace lavenderthread::state::routes {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double million = 1'000'000;
constexpr double thousand = 1'000;

} // namespace

double prefillSeconds(const EngineProfile &profile, double promptTokens)
{
    const double tokenSeconds =
            profile.prefillTokensPerSecond > 0 ? promptTokens / profile.prefillTokensPerSecond : 0;
    const double millionPairs = promptTokens * promptTokens / 2 / million;
    return tokenSeconds + millionPairs * profile.msPerMillionPairs / msPerSecond;
}

double decodePassSeconds(const EngineProfile &profile, double sequences, double contextTokens)
{
    const double step = profile.stepMs + sequences * profile.stepMsPerSequence
                        + contextTokens / thousand * profile.stepMsPerThousandContextTokens;
    return step * profile.stepsPerPass / msPerSecond;
}

} // namespace lavenderthread::state::routes
