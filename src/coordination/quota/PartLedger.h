// Who may use which units of one limit, seen from one entry: its own part, what it lent of it, and
// what it borrowed. Units are only ever moved, never made: that alone keeps the sum over all
// entries at the limit, whoever dies and whatever is lost, late or doubled on the way.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::quota {

struct LoanOut
{
    std::uint64_t units = 0;
    state::Instant until;       // lender's clock, drift added; renewals only move it on
    std::uint64_t sequence = 0; // of the last ask that was answered

    auto operator<=>(const LoanOut &) const = default;
};

struct LoanIn
{
    std::uint64_t units = 0;
    state::Instant until; // borrower's clock, drift taken off

    // The one ask whose answer still counts. An answer to an earlier ask may offer units that a
    // later one gave back, so it is not taken.
    std::uint64_t askedSequence = 0;
    std::uint64_t askedUnits = 0; // no more is taken, whatever a broken home offers
    state::Instant askedAt;
    bool waiting = false;
    // While an ask for more is not answered, the home may have lent that much until then. It is
    // asked again, or units would lie idle there though nobody uses them.
    state::Instant openUntil;

    std::uint64_t spareAtLender = 0;
    bool recalled = false;

    auto operator<=>(const LoanIn &) const = default;
};

class PartLedger
{
public:
    explicit PartLedger(Dimension dimension)
        : dimension(dimension)
    {}

    // A fall holds at once. A rise waits for `riseDelay`, if the part was someone else's before,
    // and for the delay of an earlier rise that is not over.
    void setOwnPart(std::uint64_t units, state::Duration riseDelay, state::Instant now);
    // After a restart: until the loans out are known again, only the floor is surely not lent.
    void setRecovering(bool isRecovering) { this->recovering = isRecovering; }

    std::uint64_t ownPart(state::Instant now) const;
    // A home never lends its floor: it is what serves callers when no one else can be reached.
    std::uint64_t floor(state::Instant now) const;
    std::uint64_t lent(state::Instant now) const;
    std::uint64_t usableOwn(state::Instant now) const;
    // Own units for new starts: without those kept back for a borrower.
    std::uint64_t startableOwn(state::Instant now) const;
    // Keeps units back as they fall free, or a busy home would never have one to lend.
    void keepBack(std::uint64_t units, state::Instant until);
    // Units on loan that surely last until `needed`.
    std::uint64_t borrowedUntil(state::Instant needed, state::Instant now) const;
    // The same, without what the homes want back: with a new request on each slot that falls free
    // an entry under load would never return one.
    std::uint64_t startableUntil(state::Instant needed, state::Instant now) const;
    std::uint64_t borrowed(state::Instant now) const { return this->borrowedUntil(now, now); }

    // Home side. `ownDemand`: units that the home itself uses or waits for. Nothing for an ask that
    // came late or twice, or while recovering.
    std::optional<QuotaGrant> answer(const state::VmId &borrower, const QuotaAsk &ask,
                                     std::uint64_t ownDemand, state::Duration maximumHold,
                                     state::Instant now);
    void adopt(const state::VmId &borrower, const QuotaHolding &holding, state::Instant now);
    // The borrower restarted: whatever ran there on the loan has ended.
    void voidLoanTo(const state::VmId &borrower) { this->loansOut.erase(borrower); }

    // Borrower side. `ask` lowers what is held to `units` at once.
    QuotaAsk ask(QuotaKey key, const state::VmId &lender, std::uint64_t units,
                 std::uint64_t sequence, state::Duration hold, state::Instant now);
    void accept(const state::VmId &lender, const QuotaGrant &grant, state::Instant now);
    std::optional<QuotaHolding> holdingOf(QuotaKey key, const state::VmId &lender,
                                          state::Instant now) const;

    // Whether anything must still be renewed or given back.
    bool hasOpenLoans(state::Instant now) const;
    static bool isOpen(const LoanIn &loan, state::Instant now);

    void dropExpired(state::Instant now);
    const std::map<state::VmId, LoanIn> &loansHeld() const { return this->loansIn; }
    const std::map<state::VmId, LoanOut> &loansGiven() const { return this->loansOut; }

private:
    std::uint64_t spare(std::uint64_t ownDemand, state::Instant now) const;

    Dimension dimension;
    std::uint64_t part = 0;
    std::uint64_t risenPart = 0; // takes the place of `part` at `riseAt`; never below it
    state::Instant riseAt;
    bool recovering = false;
    std::uint64_t keptBack = 0;
    state::Instant keptBackUntil;
    // Invariant: as long as the part does not shrink, loans out and floor add up to it at most.
    std::map<state::VmId, LoanOut> loansOut;
    std::map<state::VmId, LoanIn> loansIn;
};

} // namespace lavenderthread::coordination::quota
