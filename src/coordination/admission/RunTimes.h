// How much longer than predicted recent requests took.
#pragma once

#include "state/Time.h"

#include <array>
#include <cstddef>

namespace lavenderthread::coordination::admission {

class RunTimes
{
public:
    // Both from a request's dispatch to the end of its answer.
    void add(state::Duration predicted, state::Duration measured);
    // Measured over predicted time, which three of four recent requests stayed below; at least
    // `leastRatio`, also if there are too few of them.
    double ratio() const;

    // A prediction can't know what the other entries send meanwhile.
    static constexpr double leastRatio = 1.5;

private:
    static constexpr std::size_t kept = 16;
    static constexpr std::size_t fewest = 4;

    std::array<double, kept> ratios{}; // a ring; the first `count` are set
    std::size_t count = 0;
    std::size_t next = 0;
};

} // namespace lavenderthread::coordination::admission
