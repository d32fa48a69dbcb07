// The weights of placing on engines that work in passes.
#pragma once

#include <compare>
#include <cstddef>

namespace lavenderthread::coordination::routing {

struct PassPlacementSettings
{
    // Prefill up to this share of the tightest pause on an engine may join it whole: the rest of
    // the pause is the pass itself, and a second prompt in the same pass.
    double pauseShare = 0.6;
    // Prefill up to this long counts as brief and is packed; it is the time that 20,000 tokens
    // take, and lets a pass with two such prompts stay under a pause of 200 ms.
    double briefSeconds = 0.13;
    // Brief requests that one engine of the packed part is given before the next one is opened: at
    // that many the prefill of newcomers takes a tenth of each pass.
    double briefPerEngine = 8;
    // Prefill already waiting at an engine above which a brief request looks elsewhere.
    double briefWaitSeconds = 0.12;
    // Cost of one more helper, as time to the first token: each one stalls whoever decodes there,
    // and one more engine must stay alive.
    double helperSeconds = 0.015;
    std::size_t mostHelpers = 16; // bound of the engines' interface
    // Costs of prefilling long where others decode, as time to the first token: whose pauses are
    // tight, and who decodes long work itself.
    double besideTightSeconds = 0.5;
    double besideDecodingSeconds = 0.12;
    double tightPauseSeconds = 0.3; // pauses below it are tight
    // Long requests that one engine answers at most before others are preferred for it.
    double longPerEngine = 6;

    auto operator<=>(const PassPlacementSettings &) const = default;
};

} // namespace lavenderthread::coordination::routing
