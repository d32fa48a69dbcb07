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

struct LoanOut
{
    std::uint64_t units = 0;
    state::Instant until;       // lender's clock, drift added; renewals only extend it
    std::uint64_t sequence = 0; // of the last answered loan request

    auto operator<=>(const LoanOut &) const = default;
};

struct LoanIn
{
    std::uint64_t units = 0;
    state::Instant until; // borrower's clock, drift subtracted

    // The only loan request whose grant is accepted. A grant for an earlier one may contain units
    // that a later one returned.
    std::uint64_t askedSequence = 0;
    std::uint64_t askedUnits = 0; // upper limit of a grant, also from a faulty home
    state::Instant askedAt;
    bool waiting = false;
    // The home may have lent the units of an unanswered loan request until this time. The request
    // is repeated or withdrawn; otherwise these units would stay lent although nobody uses them.
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
    std::uint64_t startableOwn(state::Instant now) const;
    // Reserves units for a borrower as they become free; a busy home would never have any to lend
    // otherwise.
    void keepBack(std::uint64_t units, state::Instant until);
    // Borrowed units whose loans last at least until `needed`.
    std::uint64_t borrowedUntil(state::Instant needed, state::Instant now) const;
    // The same without recalled loans. An entry under load that starts a new request on each free
    // slot would never return one.
    std::uint64_t startableUntil(state::Instant needed, state::Instant now) const;
    std::uint64_t borrowed(state::Instant now) const { return this->borrowedUntil(now, now); }

    // Home side. `ownDemand`: units that the home itself uses or waits for. Returns no grant for a
    // late or duplicate loan request, while recovering, for a request of 0 units by an entry
    // without a loan, or while more is lent than the part holds.
    std::optional<QuotaGrant> answer(const state::VmId &borrower, const QuotaAsk &request,
                                     std::uint64_t ownDemand, state::Duration maximumHold,
                                     state::Instant now);
    void adopt(const state::VmId &borrower, const QuotaHolding &holding, state::Instant now);
    // Called when the borrower restarted: its requests on the loan have ended.
    void voidLoanTo(const state::VmId &borrower) { this->loansOut.erase(borrower); }

    // Borrower side. `requestLoan` reduces the units held to `units` at once.
    QuotaAsk ask(QuotaKey key, const state::VmId &lender, std::uint64_t units,
                 std::uint64_t sequence, state::Duration hold, state::Instant now);
    void accept(const state::VmId &lender, const QuotaGrant &grant, state::Instant now);
    std::optional<QuotaHolding> holdingOf(QuotaKey key, const state::VmId &lender,
                                          state::Instant now) const;

    // Whether any loan must still be renewed or returned.
    bool hasOpenLoans(state::Instant now) const;
    static bool isOpen(const LoanIn &loan, state::Instant now);

    void dropExpired(state::Instant now);
    const std::map<state::VmId, LoanIn> &loansHeld() const { return this->loansIn; }
    const std::map<state::VmId, LoanOut> &loansGiven() const { return this->loansOut; }

private:
    std::uint64_t spare(std::uint64_t ownDemand, state::Instant now) const;

    Dimension dimension;
    std::uint64_t part = 0;
    std::uint64_t risenPart = 0; // replaces `part` at `pendingPartAt`; never below it
    state::Instant riseAt;
    bool recovering = false;
    std::uint64_t keptBack = 0;
    state::Instant keptBackUntil;
    // Invariant: unless the part shrinks, the sum of loans given and floor does not exceed it.
    std::map<state::VmId, LoanOut> loansOut;
    std::map<state::VmId, LoanIn> loansIn;
};

} // namespace lavenderthread::coordination::quota
