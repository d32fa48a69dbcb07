// How many engines short prompts get for themselves, from the demand of both kinds.
//
// A decoding request slows down several times while its engine prefills for another one, and a
// placement that looks at present work only can't see the short requests that will come later. So
// engines are split by a rank that all entries share, and the split follows demand.
#pragma once

#include "coordination/routing/PolicySettings.h"
#include "state/Time.h"

#include <cstddef>

namespace lavenderthread::coordination::routing {

class DemandSplit
{
public:
    explicit DemandSplit(const PolicySettings &settings);

    void note(bool isShort, double prefillSeconds, state::Instant now);

    // Of `count` engines, how many take longer prompts: between 1 and count - 1, and all for a
    // single engine. The least weighted sum of what both kinds are expected to lose.
    std::size_t longEngines(std::size_t count) const;

private:
    double shortWeight;
    double longWeight;
    double slowdownBesidePrefill;
    double shortDemand = 0; // busy engines, exponentially averaged
    double longDemand = 0;
    state::Instant updated{};
    state::Instant started{};
    bool seen = false;
};

} // namespace lavenderthread::coordination::routing
