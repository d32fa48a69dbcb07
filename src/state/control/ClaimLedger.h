// The claims of the replicated control state. Deterministic: the same commands in the same order
// give the same ledger on every member.
#pragma once

#include "state/control/Claim.h"
#include "state/control/Commands.h"

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavenderthread::state::control {

// Limits of the replicated state. All members must use the same values, so they are constants of
// the program and not settings; tests pass smaller ones.
struct ClaimLimits
{
    std::size_t claims = 150'000;
    std::size_t claimsOfOneAccount = 75'000; // keeps room for the other accounts
    // Sum of claimBytes() over all claims. While a snapshot is taken, the claims are in memory
    // twice and encoded once, and the whole process has to stay under 256 MB.
    std::size_t bytes = 64U << 20U;
    std::size_t resultBytes = 16U << 10U; // of the body of one result
    Duration longestDeadline = std::chrono::hours(24);
    Duration resendWindow = std::chrono::hours(1); // how long after the decision callers may resend
    Duration longestStep = std::chrono::seconds(10); // of control time in one command
};

// One incarnation of an entry that holds claims.
struct ClaimOwner
{
    VmId entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ClaimOwner &) const = default;
};

class ClaimLedger
{
public:
    explicit ClaimLedger(ClaimLimits limits = {})
        : limits(limits)
    {}
    // Restores the claims and the control time of a snapshot.
    ClaimLedger(ClaimLimits limits, ControlTime now, std::vector<Claim> claims);

    ClaimAnswer take(const TakeClaim &command);
    ClaimAnswer dispatch(const DispatchClaim &command);
    ClaimAnswer release(const ReleaseClaim &command);
    ClaimAnswer finish(const FinishClaim &command);
    void entryLost(const EntryLost &command);
    // Time that no leader counted is not added later: claims then live longer, never shorter.
    void advance(const AdvanceTime &command);

    const Claim *find(const ClaimId &id) const;
    ControlTime now() const { return this->clock; }
    std::size_t size() const { return this->claims.size(); }
    // Entry incarnations that hold claims without a decided outcome, without duplicates.
    std::vector<ClaimOwner> openOwners() const;
    std::size_t bytes() const { return this->usedBytes; }
    std::vector<Claim> copyClaims() const; // in unspecified order, which may differ between members
    std::vector<Claim> sortedClaims() const; // by id

private:
    using ExpiryKey = std::pair<ControlTime, ClaimId>;

    bool hasRoomFor(const ClientAccountId &account) const;
    Claim *findHeldClaim(const ClaimHolder &holder,
                         const ClaimId &id);        // null if `holder` doesn't hold it
    ClaimAnswer notHolder(const ClaimId &id) const; // contains the present holder, if any
    void insert(Claim claim);
    void erase(const ClaimId &wanted);
    void removeFromExpirySet(const Claim &claim); // from the expiry set of its state
    void decide(Claim &claim, ClaimState state);
    void
    closeOpenClaim(Claim &claim); // closes an open claim whose holder is lost or whose time is up
    void keepResult(Claim &claim, ClaimResult result);

    ClaimLimits limits;
    ControlTime clock{};
    std::unordered_map<ClaimId, Claim> claims;
    // Invariant: each claim is in exactly one of these two sets, by its state.
    std::set<ExpiryKey> openByExpiry;    // Held and Dispatched, by openUntil
    std::set<ExpiryKey> decidedByExpiry; // the others, by keepUntil
    std::unordered_map<ClientAccountId, std::size_t> claimsByAccount;
    std::size_t usedBytes = 0; // sum of claimBytes over claims
};

void sortClaims(std::vector<Claim> &claims); // by id

// Approximate memory use of a claim, with its strings and its nodes in the containers.
std::size_t claimBytes(const Claim &claim);

} // namespace lavenderthread::state::control
