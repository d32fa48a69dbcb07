// Lends and borrows the units of one limit.
#include "coordination/quota/PartLedger.h"

#include <algorithm>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::VmId;

namespace {

constexpr std::uint64_t floorDivisor = 8; // an eighth of a part is never lent

std::uint64_t saturatingSubtract(std::uint64_t from, std::uint64_t taken)
{
    return from > taken ? from - taken : 0;
}

std::uint32_t inMilliseconds(Duration length)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

void PartLedger::setOwnPart(std::uint64_t units, Duration increaseDelay, Instant now)
{
    this->part = std::min(this->ownPart(now), units);
    this->pendingPart = units;
    this->pendingPartAt = std::max(this->pendingPartAt, now + increaseDelay);
}

std::uint64_t PartLedger::ownPart(Instant now) const
{
    return now >= this->pendingPartAt ? this->pendingPart : this->part;
}

std::uint64_t PartLedger::floor(Instant now) const
{
    return this->ownPart(now) / floorDivisor;
}

std::uint64_t PartLedger::lent(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[borrower, loan] : this->givenLoans)
        sum += loan.until > now ? loan.units : 0;
    return sum;
}

std::uint64_t PartLedger::usableOwn(Instant now) const
{
    if (this->recovering)
        return this->floor(now);
    return saturatingSubtract(this->ownPart(now), this->lent(now));
}

std::uint64_t PartLedger::ownForNewRequests(Instant now) const
{
    return saturatingSubtract(this->usableOwn(now),
                              now < this->reservedUntil ? this->reservedUnits : 0);
}

void PartLedger::reserveForBorrower(std::uint64_t units, Instant until)
{
    this->reservedUnits = units;
    this->reservedUntil = until;
}

std::uint64_t PartLedger::borrowedUntil(Instant needed, Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[lender, loan] : this->heldLoans)
        sum += loan.until > now && loan.until >= needed ? loan.units : 0;
    return sum;
}

std::uint64_t PartLedger::borrowedForNewRequests(Instant needed, Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[lender, loan] : this->heldLoans) {
        const bool lasts = loan.until > now && loan.until >= needed;
        sum += lasts && !loan.recalled ? loan.units : 0;
    }
    return sum;
}

std::uint64_t PartLedger::spare(std::uint64_t ownDemand, Instant now) const
{
    const std::uint64_t kept = std::max(this->floor(now), ownDemand);
    return saturatingSubtract(this->ownPart(now), this->lent(now) + kept);
}

std::optional<QuotaGrant> PartLedger::grantLoan(const VmId &borrower, const LoanRequest &request,
                                                std::uint64_t ownDemand, Duration maximumHold,
                                                Instant now)
{
    if (this->recovering)
        return std::nullopt;
    const auto known = this->givenLoans.find(borrower);
    if (known == this->givenLoans.end() && request.units == 0)
        return std::nullopt;
    GivenLoan loan = known == this->givenLoans.end() ? GivenLoan{} : known->second;
    if (request.sequence <= loan.sequence)
        return std::nullopt;
    const Duration hold =
            std::min<Duration>(std::chrono::milliseconds(request.holdMilliseconds), maximumHold);
    if (loan.until <= now)
        loan.units = 0;
    const std::uint64_t kept = std::min(loan.units, request.units);
    loan.units = kept;
    this->givenLoans[borrower] = loan; // returned units can be lent again, also to this borrower
    // The part has shrunk below the units lent, so the loans are left to expire. If they were
    // renewed, the same units would be lent here and owned elsewhere as long as borrowers renew.
    if (this->lent(now) > this->ownPart(now))
        return std::nullopt;
    loan.units += std::min(request.units - kept, this->spare(ownDemand, now));
    loan.until = std::max(loan.until, now + lengthenedByDrift(hold));
    loan.sequence = request.sequence;
    this->givenLoans[borrower] = loan;
    const bool recalled = ownDemand > saturatingSubtract(this->ownPart(now), this->lent(now));
    return QuotaGrant{request.key,
                      this->dimension,
                      request.sequence,
                      loan.units,
                      this->spare(ownDemand, now),
                      inMilliseconds(hold),
                      recalled};
}

void PartLedger::restoreLoan(const VmId &borrower, const QuotaHolding &holding, Instant now)
{
    const Duration heldFor = std::chrono::milliseconds(holding.heldForMilliseconds);
    this->givenLoans[borrower] = GivenLoan{holding.units, now + lengthenedByDrift(heldFor), 0};
}

LoanRequest PartLedger::requestLoan(QuotaKey key, const VmId &lender, std::uint64_t units,
                                    std::uint64_t sequence, Duration hold, Instant now)
{
    HeldLoan &loan = this->heldLoans[lender];
    loan.units = loan.until > now ? std::min(loan.units, units) : 0;
    if (units > loan.units)
        loan.maybeGrantedUntil = std::max(loan.maybeGrantedUntil, now + hold);
    loan.requestedSequence = sequence;
    loan.requestedUnits = units;
    loan.requestedAt = now;
    loan.awaitsGrant = true;
    return LoanRequest{key, this->dimension, sequence, units, inMilliseconds(hold)};
}

void PartLedger::acceptGrant(const VmId &lender, const QuotaGrant &grant, Instant now)
{
    const auto known = this->heldLoans.find(lender);
    if (known == this->heldLoans.end())
        return;
    HeldLoan &loan = known->second;
    if (!loan.awaitsGrant || grant.sequence != loan.requestedSequence)
        return;
    // Counted from the sending of the loan request, which was before the home started its count.
    const Duration hold = std::chrono::milliseconds(grant.holdMilliseconds);
    loan.awaitsGrant = false;
    loan.until = std::max(loan.until, loan.requestedAt + shortenedByDrift(hold));
    loan.units = loan.until > now ? std::min(grant.units, loan.requestedUnits) : 0;
    loan.spareAtLender = grant.spare;
    loan.recalled = grant.recalled;
}

std::optional<QuotaHolding> PartLedger::holdingOf(QuotaKey key, const VmId &lender,
                                                  Instant now) const
{
    const auto known = this->heldLoans.find(lender);
    if (known == this->heldLoans.end() || known->second.units == 0 || known->second.until <= now)
        return std::nullopt;
    // One millisecond is added because the conversion rounds down.
    const auto heldFor = inMilliseconds(known->second.until - now) + 1;
    return QuotaHolding{key, this->dimension, known->second.units, heldFor};
}

bool PartLedger::isOpen(const HeldLoan &loan, Instant now)
{
    return (loan.units > 0 && loan.until > now)
           || (loan.awaitsGrant && loan.maybeGrantedUntil > now);
}

bool PartLedger::hasOpenLoans(Instant now) const
{
    return std::any_of(this->heldLoans.begin(), this->heldLoans.end(),
                       [&](const auto &entry) { return isOpen(entry.second, now); });
}

void PartLedger::dropExpired(Instant now)
{
    std::erase_if(this->givenLoans, [&](const auto &entry) { return entry.second.until <= now; });
    for (auto &[lender, loan] : this->heldLoans) {
        if (loan.until <= now)
            loan.units = 0;
    }
}

} // namespace lavenderthread::coordination::quota
