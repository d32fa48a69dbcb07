// Monotonic and wall clock time of this process.
#pragma once

#include "state/Time.h"
#include "transport/MonotonicClock.h"

#include <chrono>
#include <cstdint>

namespace lavenderthread::program {

using transport::monotonicNow;

inline std::int64_t toMilliseconds(state::Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

inline state::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

// Time left until `deadline`, never negative; rounded up, so that 1 µs left does not become 0.
inline std::chrono::milliseconds remaining(state::Instant deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - monotonicNow());
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace lavenderthread::program
