// Tokens that this entry may spend for one account: a bucket filled at the rate that the entry owns
// and borrowed.
#pragma once

#include "coordination/quota/PartLedger.h"
#include "state/Time.h"

#include <cstdint>

namespace lavenderthread::coordination::quota {

// Over all entries the fill rates add up to the limit and the sizes to `burst` times the limit, so
// what is spent in any time W is at most limit * (W + burst), plus what requests larger than a
// bucket overdraw: one such request an entry, which then waits until it is paid back.
class TokenBucket
{
public:
    explicit TokenBucket(state::Duration burst)
        : burst(burst)
    {}

    // Fills up to `now`. Call it before and after each change of the ledger.
    void settle(const PartLedger &ledger, state::Instant now);
    // A request larger than the bucket may start when the bucket is full, and overdraws it.
    bool trySpend(std::uint64_t tokens, const PartLedger &ledger, state::Instant now);
    // Tokens already used; may overdraw.
    void spend(std::uint64_t tokens);
    double level() const;

private:
    std::int64_t size(const PartLedger &ledger, state::Instant now) const;
    void fillTo(const PartLedger &ledger, state::Instant now);

    state::Duration burst;
    std::int64_t microTokens = 0; // below 0 while overdrawn
    state::Instant filledTo{};
    bool started = false;
};

} // namespace lavenderthread::coordination::quota
