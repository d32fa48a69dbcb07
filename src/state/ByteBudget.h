// Token bucket over the bytes that one process sends for a purpose.
#pragma once

#include "state/Time.h"

#include <algorithm>
#include <cstddef>

namespace lavenderthread::state {

class ByteBudget
{
public:
    ByteBudget(double bytesPerSecond, double burstBytes, double leastBytes, Instant start)
        : rate(bytesPerSecond)
        , burst(burstBytes)
        , least(leastBytes)
        , available(burstBytes)
        , refilledAt(start)
    {}

    // Below zero once what is sent in any case has used more than there was.
    double left(Instant now)
    {
        const std::chrono::duration<double> elapsed = now - this->refilledAt;
        this->refilledAt = now;
        this->available = std::min(this->burst, this->available + elapsed.count() * this->rate);
        return this->available;
    }
    void spend(std::size_t bytes)
    {
        this->available = std::max(this->least, this->available - static_cast<double>(bytes));
    }

private:
    double rate;  // bytes a second
    double burst; // bytes
    // Debt stops here: where what is sent in any case alone uses up the rate, as probes on a bad
    // network, a debt without end would never again leave a byte for the rest.
    double least;
    double available;
    Instant refilledAt;
};

} // namespace lavenderthread::state
