// The weights of placing on engines that work in passes.
#pragma once

#include <compare>
#include <cstddef>

namespace lavenderthread::coordination::routing {

struct PassPlacementSettings
{
    // Prefill up to this long counts as brief and is packed; it is the time that 20,000 tokens
    // take, and lets a pass with two such prompts stay under a pause of 200 ms.
    double briefSeconds = 0.13;
    // Brief requests that one engine is meant to answer at once: at that many the prefill of
    // newcomers takes a tenth of each pass. Where long work needs the engines, up to the second
    // number, at which passes grow by a fifth.
    double briefPerEngine = 8;
    double briefPerEngineCrowded = 13;
    // Long work that one engine of its part is meant to do in a second, and engines beside.
    double longSecondsPerEngine = 0.6;
    double longEnginesBeside = 2;
    // How fast the demand of long work is forgotten: load swings within seconds.
    double demandMemorySeconds = 1.5;
    // Cost of one more helper, as time to the first token: each one stalls whoever decodes there,
    // and one more engine must stay alive.
    double helperSeconds = 0.015;
    double ownWaitingOfHelper = 0.02; // seconds of prefill for its own requests that a helper may have
    std::size_t mostHelpers = 16; // bound of the engines' interface
    // Costs of prefilling long where others decode, as time to the first token: whose pauses are
    // tight (brief requests from before the border moved), and who decodes long work itself.
    double besideTightSeconds = 0.5;
    double besideDecodingSeconds = 0.12;
    double tightPauseSeconds = 0.3; // pauses below it are tight
    // Long requests that one engine answers at most before others are preferred for it.
    double longPerEngine = 6;

    auto operator<=>(const PassPlacementSettings &) const = default;
};

} // namespace lavenderthread::coordination::routing
