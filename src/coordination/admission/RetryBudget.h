// Bounds retries to a share of recent successes.
#pragma once

#include <algorithm>

namespace lavenderthread::coordination::admission {

// A dead engine makes every entry retry at once; without a bound the retries add load to a fleet
// that has just lost capacity, more work misses its deadline, and more is retried. A budget that
// only successes refill dies out by itself.
class RetryBudget
{
public:
    RetryBudget(double perSuccess, double most)
        : share(perSuccess)
        , burst(most)
        , left(most)
    {}

    void succeeded() { this->left = std::min(this->burst, this->left + this->share); }

    bool take()
    {
        if (this->left < 1)
            return false;
        this->left -= 1;
        return true;
    }

private:
    double share;
    double burst;
    double left; // between 0 and burst
};

} // namespace lavenderthread::coordination::admission
