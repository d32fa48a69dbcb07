// Token bucket that limits the bytes which one process sends for one purpose.
#pragma once

#include "state/Time.h"

#include <algorithm>
#include <cstddef>

namespace lavenderthread::state {

class ByteBudget
{
public:
    ByteBudget(double bytesPerSecond, double burstBytes, double minimumBytes, Instant start)
        : rate(bytesPerSecond)
        , burst(burstBytes)
        , minimumAvailable(minimumBytes)
        , available(burstBytes)
        , refilledAt(start)
    {}

    // Bytes that may be sent now. Negative when traffic that is sent regardless of the budget has
    // exceeded it.
    double left(Instant now)
    {
        const std::chrono::duration<double> elapsed = now - this->refilledAt;
        this->refilledAt = now;
        this->available = std::min(this->burst, this->available + elapsed.count() * this->rate);
        return this->available;
    }
    void spend(std::size_t bytes)
    {
        this->available =
                std::max(this->minimumAvailable, this->available - static_cast<double>(bytes));
    }

private:
    double rate;  // bytes per second
    double burst; // bytes
    // Lower bound of `available`, in bytes. Where traffic that is sent regardless of the budget
    // uses up the whole rate, such as probes on a bad network, an unlimited debt would leave no
    // bytes for other traffic ever again.
    double minimumAvailable;
    double available;
    Instant refilledAt;
};

} // namespace lavenderthread::state
