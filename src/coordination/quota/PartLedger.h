// Records the units of one limit that one entry may use: its own part, the loans it gave from it,
// and the loans it took. Units are only moved, never created. This keeps the sum over all entries
// within the limit when entries fail and when messages are lost, delayed or duplicated.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::quota {

struct GivenLoan
{
    std::uint64_t units = 0;
    state::Instant until;       // lender's clock, drift added; renewals only extend it
    std::uint64_t sequence = 0; // of the last answered loan request

    auto operator<=>(const GivenLoan &) const = default;
};

struct HeldLoan
{
    std::uint64_t units = 0;
    state::Instant until; // borrower's clock, drift subtracted

    // The only loan request whose grant is accepted. A grant for an earlier one may contain units
    // that a later one returned.
    std::uint64_t requestedSequence = 0;
    std::uint64_t requestedUnits = 0; // upper limit of a grant, also from a faulty home
    state::Instant requestedAt;
    bool awaitsGrant = false;
    // The home may have lent the units of an unanswered loan request until this time. The request
    // is repeated or withdrawn; otherwise these units would stay lent although nobody uses them.
    state::Instant maybeGrantedUntil;

    std::uint64_t spareAtLender = 0;
    bool recalled = false;

    auto operator<=>(const HeldLoan &) const = default;
};

class PartLedger
{
public:
    explicit PartLedger(Dimension dimension)
        : dimension(dimension)
    {}

    // A decrease takes effect at once. An increase takes effect after `increaseDelay`, which is
    // above 0 if the units belonged to another entry, and not before an earlier increase that is
    // pending.
    void setOwnPart(std::uint64_t units, state::Duration increaseDelay, state::Instant now);
    // After a restart, until the loans given are known again, only the floor is certainly not lent.
    void setRecovering(bool isRecovering) { this->recovering = isRecovering; }

    std::uint64_t ownPart(state::Instant now) const;
    // A home never lends its floor, so that it can serve callers when no other entry is reachable.
    std::uint64_t floor(state::Instant now) const;
    std::uint64_t lent(state::Instant now) const;
    std::uint64_t usableOwn(state::Instant now) const;
    // Own units for new requests: excludes those reserved for a borrower.
    std::uint64_t ownForNewRequests(state::Instant now) const;
    // Reserves units for a borrower as they become free; a busy home would never have any to lend
    // otherwise.
    void reserveForBorrower(std::uint64_t units, state::Instant until);
    // Borrowed units whose loans last at least until `needed`.
    std::uint64_t borrowedUntil(state::Instant needed, state::Instant now) const;
    // The same without recalled loans. An entry under load that starts a new request on each free
    // slot would never return one.
    std::uint64_t borrowedForNewRequests(state::Instant needed, state::Instant now) const;
    std::uint64_t borrowed(state::Instant now) const { return this->borrowedUntil(now, now); }

    // Home side. `ownDemand`: units that the home itself uses or waits for. Returns no grant for a
    // late or duplicate loan request, while recovering, for a request of 0 units by an entry
    // without a loan, or while more is lent than the part holds.
    std::optional<QuotaGrant> grantLoan(const state::VmId &borrower, const LoanRequest &request,
                                        std::uint64_t ownDemand, state::Duration maximumHold,
                                        state::Instant now);
    void restoreLoan(const state::VmId &borrower, const QuotaHolding &holding, state::Instant now);
    // Called when the borrower restarted: its requests on the loan have ended.
    void cancelLoanTo(const state::VmId &borrower) { this->givenLoans.erase(borrower); }

    // Borrower side. `requestLoan` reduces the units held to `units` at once.
    LoanRequest requestLoan(QuotaKey key, const state::VmId &lender, std::uint64_t units,
                            std::uint64_t sequence, state::Duration hold, state::Instant now);
    void acceptGrant(const state::VmId &lender, const QuotaGrant &grant, state::Instant now);
    std::optional<QuotaHolding> holdingOf(QuotaKey key, const state::VmId &lender,
                                          state::Instant now) const;

    // Whether any loan must still be renewed or returned.
    bool hasOpenLoans(state::Instant now) const;
    static bool isOpen(const HeldLoan &loan, state::Instant now);

    void dropExpired(state::Instant now);
    const std::map<state::VmId, HeldLoan> &loansHeld() const { return this->heldLoans; }
    const std::map<state::VmId, GivenLoan> &loansGiven() const { return this->givenLoans; }

private:
    std::uint64_t spare(std::uint64_t ownDemand, state::Instant now) const;

    Dimension dimension;
    std::uint64_t part = 0;
    std::uint64_t pendingPart = 0; // replaces `part` at `pendingPartAt`; never below it
    state::Instant pendingPartAt;
    bool recovering = false;
    std::uint64_t reservedUnits = 0;
    state::Instant reservedUntil;
    // Invariant: unless the part shrinks, the sum of loans given and floor does not exceed it.
    std::map<state::VmId, GivenLoan> givenLoans;
    std::map<state::VmId, HeldLoan> heldLoans;
};

} // namespace lavenderthread::coordination::quota
