// Token bucket over the bytes that one member sends for gossip.
#pragma once

#include "state/Time.h"

#include <algorithm>
#include <cstddef>

namespace lavenderthread::coordination::membership {

class ByteBudget
{
public:
    ByteBudget(double bytesPerSecond, double burstBytes, double leastBytes, state::Instant start)
        : rate(bytesPerSecond)
        , burst(burstBytes)
        , least(leastBytes)
        , available(burstBytes)
        , refilledAt(start)
    {}

    // Below zero once probes, which are sent in any case, have used more than there was.
    double left(state::Instant now)
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
    // Debt stops here: on a network so bad that probes alone use up the rate, a debt without end
    // would never again leave a byte for the exchange.
    double least;
    double available;
    state::Instant refilledAt;
};

} // namespace lavenderthread::coordination::membership
