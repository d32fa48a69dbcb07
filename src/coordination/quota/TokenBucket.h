// Token bucket of one account at this entry, filled at the sum of own and borrowed rate.
#pragma once

#include "coordination/quota/PartLedger.h"
#include "state/Time.h"

#include <cstdint>

namespace lavenderthread::coordination::quota {

// Over all entries the fill rates add up to the limit and the sizes to `burst` times the limit. The
// tokens spent in any time W are therefore at most limit * (W + burst), plus the overdraft of
// requests larger than a bucket: one such request per entry, which then waits until the bucket has
// made up for it.
class TokenBucket
{
public:
    explicit TokenBucket(state::Duration burst)
        : burst(burst)
    {}

    // Adds the tokens earned until `now`. Call it before and after each change of the ledger.
    void fill(const PartLedger &ledger, state::Instant now);
    // A request larger than the bucket may start when the bucket is full, and overdraws it.
    bool trySpend(std::uint64_t tokens, const PartLedger &ledger, state::Instant now);
    // Takes tokens that were used already; may overdraw the bucket.
    void spend(std::uint64_t tokens);
    double level() const;

private:
    std::int64_t size(const PartLedger &ledger, state::Instant now) const;
    void fillAtRate(const PartLedger &ledger, state::Instant now);

    state::Duration burst;
    std::int64_t microTokens = 0; // below 0 while overdrawn
    state::Instant filledUntil{};
    bool initialized = false;
};

} // namespace lavenderthread::coordination::quota
