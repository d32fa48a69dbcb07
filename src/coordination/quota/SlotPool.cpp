// Assigns running requests to slots.
#include "coordination/quota/SlotPool.h"

#include <algorithm>
#include <functional>

namespace lavenderthread::coordination::quota {

using state::Instant;

bool SlotPool::start(Instant deadline, const PartLedger &ledger, Instant now)
{
    this->insert(deadline);
    const std::uint64_t own = ledger.usableOwn(now);
    if (this->running() <= ledger.ownForNewRequests(now))
        return true;
    const Instant needed = this->latestDeadlineOnBorrowed(own, now);
    if (this->running() > own
        && ledger.borrowedForNewRequests(needed, now) >= this->running() - own)
        return true;
    this->finish(deadline);
    return false;
}

void SlotPool::finish(Instant deadline)
{
    const auto place = std::lower_bound(this->deadlines.begin(), this->deadlines.end(), deadline,
                                        std::greater<>());
    if (place != this->deadlines.end() && *place == deadline)
        this->deadlines.erase(place);
}

Instant SlotPool::latestDeadlineOnBorrowed(std::uint64_t own, Instant now) const
{
    return own < this->deadlines.size() ? std::max(now, this->deadlines[own]) : now;
}

void SlotPool::insert(Instant deadline)
{
    const auto place = std::upper_bound(this->deadlines.begin(), this->deadlines.end(), deadline,
                                        std::greater<>());
    this->deadlines.insert(place, deadline);
}

} // namespace lavenderthread::coordination::quota
