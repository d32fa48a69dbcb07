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
    this->risenPart = units;
    this->riseAt = std::max(this->riseAt, now + increaseDelay);
}

std::uint64_t PartLedger::ownPart(Instant now) const
{
    return now >= this->riseAt ? this->risenPart : this->part;
}

std::uint64_t PartLedger::floor(Instant now) const
{
    return this->ownPart(now) / floorDivisor;
}

std::uint64_t PartLedger::lent(Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[borrower, loan] : this->loansOut)
        sum += loan.until > now ? loan.units : 0;
    return sum;
}

std::uint64_t PartLedger::usableOwn(Instant now) const
{
    if (this->recovering)
        return this->floor(now);
    return saturatingSubtract(this->ownPart(now), this->lent(now));
}

std::uint64_t PartLedger::startableOwn(Instant now) const
{
    return saturatingSubtract(this->usableOwn(now), now < this->keptBackUntil ? this->keptBack : 0);
}

void PartLedger::keepBack(std::uint64_t units, Instant until)
{
    this->keptBack = units;
    this->keptBackUntil = until;
}

std::uint64_t PartLedger::borrowedUntil(Instant needed, Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[lender, loan] : this->loansIn)
        sum += loan.until > now && loan.until >= needed ? loan.units : 0;
    return sum;
}

std::uint64_t PartLedger::startableUntil(Instant needed, Instant now) const
{
    std::uint64_t sum = 0;
    for (const auto &[lender, loan] : this->loansIn) {
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

std::optional<QuotaGrant> PartLedger::answer(const VmId &borrower, const QuotaAsk &request,
                                             std::uint64_t ownDemand, Duration maximumHold,
                                             Instant now)
{
    if (this->recovering)
        return std::nullopt;
    const auto known = this->loansOut.find(borrower);
    if (known == this->loansOut.end() && request.units == 0)
        return std::nullopt;
    LoanOut loan = known == this->loansOut.end() ? LoanOut{} : known->second;
    if (request.sequence <= loan.sequence)
        return std::nullopt;
    const Duration hold =
            std::min<Duration>(std::chrono::milliseconds(request.holdMilliseconds), maximumHold);
    if (loan.until <= now)
        loan.units = 0;
    const std::uint64_t kept = std::min(loan.units, request.units);
    loan.units = kept;
    this->loansOut[borrower] = loan; // returned units can be lent again, also to this borrower
    // The part has shrunk below the units lent, so the loans are left to expire. If they were
    // renewed, the same units would be lent here and owned elsewhere as long as borrowers renew.
    if (this->lent(now) > this->ownPart(now))
        return std::nullopt;
    loan.units += std::min(request.units - kept, this->spare(ownDemand, now));
    loan.until = std::max(loan.until, now + lengthenedByDrift(hold));
    loan.sequence = request.sequence;
    this->loansOut[borrower] = loan;
    const bool recalled = ownDemand > saturatingSubtract(this->ownPart(now), this->lent(now));
    return QuotaGrant{request.key,
                      this->dimension,
                      request.sequence,
                      loan.units,
                      this->spare(ownDemand, now),
                      inMilliseconds(hold),
                      recalled};
}

void PartLedger::adopt(const VmId &borrower, const QuotaHolding &holding, Instant now)
{
    const Duration heldFor = std::chrono::milliseconds(holding.heldForMilliseconds);
    this->loansOut[borrower] = LoanOut{holding.units, now + lengthenedByDrift(heldFor), 0};
}

QuotaAsk PartLedger::ask(QuotaKey key, const VmId &lender, std::uint64_t units,
                         std::uint64_t sequence, Duration hold, Instant now)
{
    LoanIn &loan = this->loansIn[lender];
    loan.units = loan.until > now ? std::min(loan.units, units) : 0;
    if (units > loan.units)
        loan.openUntil = std::max(loan.openUntil, now + hold);
    loan.askedSequence = sequence;
    loan.askedUnits = units;
    loan.askedAt = now;
    loan.waiting = true;
    return QuotaAsk{key, this->dimension, sequence, units, inMilliseconds(hold)};
}

void PartLedger::accept(const VmId &lender, const QuotaGrant &grant, Instant now)
{
    const auto known = this->loansIn.find(lender);
    if (known == this->loansIn.end())
        return;
    LoanIn &loan = known->second;
    if (!loan.waiting || grant.sequence != loan.askedSequence)
        return;
    // Counted from the sending of the loan request, which was before the home started its count.
    const Duration hold = std::chrono::milliseconds(grant.holdMilliseconds);
    loan.waiting = false;
    loan.until = std::max(loan.until, loan.askedAt + shortenedByDrift(hold));
    loan.units = loan.until > now ? std::min(grant.units, loan.askedUnits) : 0;
    loan.spareAtLender = grant.spare;
    loan.recalled = grant.recalled;
}

std::optional<QuotaHolding> PartLedger::holdingOf(QuotaKey key, const VmId &lender,
                                                  Instant now) const
{
    const auto known = this->loansIn.find(lender);
    if (known == this->loansIn.end() || known->second.units == 0 || known->second.until <= now)
        return std::nullopt;
    // One millisecond is added because the conversion rounds down.
    const auto heldFor = inMilliseconds(known->second.until - now) + 1;
    return QuotaHolding{key, this->dimension, known->second.units, heldFor};
}

bool PartLedger::isOpen(const LoanIn &loan, Instant now)
{
    return (loan.units > 0 && loan.until > now) || (loan.waiting && loan.openUntil > now);
}

bool PartLedger::hasOpenLoans(Instant now) const
{
    return std::any_of(this->loansIn.begin(), this->loansIn.end(),
                       [&](const auto &entry) { return isOpen(entry.second, now); });
}

void PartLedger::dropExpired(Instant now)
{
    std::erase_if(this->loansOut, [&](const auto &entry) { return entry.second.until <= now; });
    for (auto &[lender, loan] : this->loansIn) {
        if (loan.until <= now)
            loan.units = 0;
    }
}

} // namespace lavenderthread::coordination::quota
