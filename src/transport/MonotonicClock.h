// The one place where the process reads its monotonic clock.
#pragma once

#include "state/Time.h"

#include <chrono>

namespace lavenderthread::transport {

inline state::Instant monotonicNow()
{
    return state::Instant(std::chrono::duration_cast<state::Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace lavenderthread::transport
