// Limits retries to a fraction of recent successes.
#pragma once

#include <algorithm>

namespace lavenderthread::coordination::admission {

// A token bucket that successful requests refill and retries drain. When an engine fails, every
// entry retries at once. Without a limit the retries add load to a fleet that has just lost
// capacity, more requests miss their deadlines, and more are retried. Since only successes refill
// the budget, such a retry storm ends by itself.
class RetryBudget
{
public:
    RetryBudget(double refillPerSuccess, double maximum)
        : perSuccess(refillPerSuccess)
        , capacity(maximum)
        , available(maximum)
    {}

    // Refills the budget after a successful request.
    void addSuccess()
    {
        this->available = std::min(this->capacity, this->available + this->perSuccess);
    }

    // Pays for one retry; false if the budget is exhausted.
    bool tryTake()
    {
        if (this->available < 1)
            return false;
        this->available -= 1;
        return true;
    }

private:
    double perSuccess;
    double capacity;
    double available; // between 0 and capacity
};

} // namespace lavenderthread::coordination::admission
