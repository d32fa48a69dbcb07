// Split of the engines between short and longer prompts, according to the demand of both kinds.
//
// A decoding request becomes several times slower while its engine prefills for another one, and a
// placement that considers only present work can't foresee the short requests that arrive later.
// Engines are therefore split by a rank that all entries share, and the split follows demand.
#pragma once

#include "coordination/routing/PolicySettings.h"
#include "state/Time.h"

#include <cstddef>

namespace lavenderthread::coordination::routing {

// Averages the prefill demand of short and longer prompts and computes the split from it.
class DemandSplit
{
public:
    explicit DemandSplit(const PolicySettings &settings);

    // Adds the prefill of one placed prompt to the average of its kind.
    void note(bool isShort, double prefillSeconds, state::Instant now);

    // Returns how many of `count` engines take longer prompts: between 1 and count - 1, or `count`
    // itself below 2. Minimizes the weighted sum of the expected losses of both kinds.
    std::size_t longEngineCount(std::size_t count) const;

private:
    double shortWeight;
    double longWeight;
    double decodeSlowdownDuringPrefill;
    double shortDemand = 0; // as busy engines, exponentially averaged
    double longDemand = 0;  // the same
    state::Instant updated{};
    state::Instant started{};
    bool hasDemand = false;
};

} // namespace lavenderthread::coordination::routing
