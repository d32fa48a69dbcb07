// Fills and spends in integer millionths of a token, so that no rounding errors add up.
#include "coordination/quota/TokenBucket.h"

#include <algorithm>
#include <vector>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;

namespace {

constexpr std::int64_t microTokensPerToken = 1'000'000;

std::int64_t rateOf(const PartLedger &ledger, Instant now)
{
    return static_cast<std::int64_t>(ledger.usableOwn(now) + ledger.borrowed(now));
}

} // namespace

void TokenBucket::fill(const PartLedger &ledger, Instant now)
{
    if (!this->initialized) {
        this->initialized = true;
        this->filledUntil = now;
    }
    // A loan that ended since the last call changed the fill rate at its end.
    std::vector<Instant> ends;
    const auto addEnd = [&](Instant end) {
        if (end > this->filledUntil && end < now)
            ends.push_back(end);
    };
    for (const auto &[lender, loan] : ledger.loansHeld())
        addEnd(loan.until);
    for (const auto &[borrower, loan] : ledger.loansGiven())
        addEnd(loan.until);
    std::sort(ends.begin(), ends.end());
    for (const Instant end : ends)
        this->fillAtRate(ledger, end);
    this->fillAtRate(ledger, now);
    this->microTokens = std::min(this->microTokens, this->size(ledger, now));
}

void TokenBucket::fillAtRate(const PartLedger &ledger, Instant now)
{
    const Duration elapsed = std::max(now - this->filledUntil, Duration(0));
    const std::int64_t rate = rateOf(ledger, this->filledUntil);
    const std::int64_t missing =
            std::max<std::int64_t>(this->size(ledger, this->filledUntil) - this->microTokens, 0);
    // Compares times first: the rate times a long idle time would overflow the integer.
    const bool becomesFull = rate > 0 && elapsed.count() > missing / rate;
    this->microTokens += becomesFull ? missing : rate * elapsed.count();
    this->filledUntil = std::max(this->filledUntil, now);
}

bool TokenBucket::trySpend(std::uint64_t tokens, const PartLedger &ledger, Instant now)
{
    this->fill(ledger, now);
    const std::int64_t full = this->size(ledger, now);
    const std::int64_t cost = static_cast<std::int64_t>(tokens) * microTokensPerToken;
    if (full == 0 || this->microTokens < std::min(cost, full))
        return false;
    this->microTokens -= cost;
    return true;
}

void TokenBucket::spend(std::uint64_t tokens)
{
    this->microTokens -= static_cast<std::int64_t>(tokens) * microTokensPerToken;
}

double TokenBucket::level() const
{
    return static_cast<double>(this->microTokens) / static_cast<double>(microTokensPerToken);
}

std::int64_t TokenBucket::size(const PartLedger &ledger, Instant now) const
{
    return rateOf(ledger, now) * this->burst.count();
}

} // namespace lavenderthread::coordination::quota
