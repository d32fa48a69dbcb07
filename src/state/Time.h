// Time as the state machines see it: a number that the driver passes in. No clock is read here.
#pragma once

#include <chrono>
#include <cstdint>

namespace lavenderthread::state {

using Duration = std::chrono::microseconds;

// The monotonic time line of one process. It has no now(): drivers convert from their clock, tests
// and benches make time up.
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

// Milliseconds since 1970 in UTC; for people and records, never for decisions between processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace lavenderthread::state
