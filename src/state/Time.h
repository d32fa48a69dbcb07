// Time types of the state machines: the driver passes the time in, and no clock is read here.
#pragma once

#include <chrono>
#include <cstdint>

namespace lavenderthread::state {

using Duration = std::chrono::microseconds;

// Monotonic clock type of one process. It has no now(): drivers convert from their own clock, tests
// and benchmarks use simulated time.
struct Timeline
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<Timeline>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name
};

// Monotonic; comparable only within one process.
using Instant = std::chrono::time_point<Timeline, Duration>;

// Milliseconds since 1970 in UTC; for display and records, never for decisions between processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace lavenderthread::state
