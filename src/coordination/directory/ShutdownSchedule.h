// When a node that was told to stop starts to refuse calls and when it exits, within the
// termination time after which it is killed.
#pragma once

#include "state/Time.h"

#include <compare>

namespace lavenderthread::coordination::directory {

// Immutable. Both times count from the termination signal.
struct ShutdownSchedule
{
    // Calls are accepted for this long, since callers keep a directory answer for some seconds and
    // continue to call meanwhile.
    state::Duration acceptCallsFor{0};
    state::Duration exitAfter{0}; // calls still in flight then are aborted

    auto operator<=>(const ShutdownSchedule &) const = default;

    // `termination`: from the signal until the process is killed.
    static ShutdownSchedule within(state::Duration termination);
};

} // namespace lavenderthread::coordination::directory
