// When a node that was told to stop refuses calls and when it ends, within the time after which it
// is killed.
#pragma once

#include "state/Time.h"

#include <compare>

namespace lavenderthread::coordination::directory {

// Immutable. Both times count from the signal.
struct LeavingPlan
{
    // Callers keep a directory answer for some seconds and go on coming for as long.
    state::Duration takesCalls{0};
    state::Duration ends{0}; // what is still in flight then is cut

    auto operator<=>(const LeavingPlan &) const = default;

    static LeavingPlan within(state::Duration termination);
};

} // namespace lavenderthread::coordination::directory
