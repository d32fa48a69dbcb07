// All claims, as part of the replicated control state. Deterministic: the same commands in the same
// order give the same ledger on every member.
#pragma once

#include "state/control/Claim.h"
#include "state/control/Commands.h"

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavenderthread::state::control {

// Part of the replicated state's rules: all members must run with the same, so they are constants
// of the program (tests pass smaller ones), not settings.
struct ClaimLimits
{
    std::size_t claims = 150'000;
    std::size_t claimsOfOneAccount = 75'000; // one account can't shut the others out
    // Over all claims, by claimBytes(). While a snapshot is taken they are held twice and encoded
    // once, and the whole process has to stay under 256 MB.
    std::size_t bytes = 64U << 20U;
    std::size_t resultBytes = 16U << 10U; // of one result's body
    Duration longestDeadline = std::chrono::hours(24);
    Duration resendWindow =
            std::chrono::hours(1); // callers may resend this long after the decision
    Duration longestStep = std::chrono::seconds(10); // of control time at once
};

// One process of an entry.
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
    // From claims and control time of a snapshot.
    ClaimLedger(ClaimLimits limits, ControlTime now, std::vector<Claim> claims);

    ClaimAnswer take(const TakeClaim &command);
    ClaimAnswer dispatch(const DispatchClaim &command);
    ClaimAnswer release(const ReleaseClaim &command);
    ClaimAnswer finish(const FinishClaim &command);
    void entryLost(const EntryLost &command);
    // Time that no leader counted is not made up for: claims then live longer, never shorter.
    void advance(const AdvanceTime &command);

    const Claim *find(const ClaimId &id) const;
    ControlTime now() const { return this->clock; }
    std::size_t size() const { return this->claims.size(); }
    // The processes that hold claims whose outcome is not decided, each once.
    std::vector<ClaimOwner> openOwners() const;
    std::size_t bytes() const { return this->usedBytes; }
    std::vector<Claim> copyClaims() const;   // in no order, which members need not share
    std::vector<Claim> sortedClaims() const; // by id

private:
    using ExpiryKey = std::pair<ControlTime, ClaimId>;

    bool hasRoomFor(const ClientAccountId &account) const;
    Claim *heldBy(const ClaimHolder &holder, const ClaimId &id); // null if it is not
    ClaimAnswer notHolder(const ClaimId &id) const;              // names the holder, if any
    void insert(Claim claim);
    void erase(const ClaimId &wanted);
    void unlist(const Claim &claim); // from the set of its state
    void decide(Claim &claim, ClaimState state);
    void settle(Claim &claim); // ends an open claim whose holder is gone or out of time
    void keepResult(Claim &claim, ClaimResult result);

    ClaimLimits limits;
    ControlTime clock{};
    std::unordered_map<ClaimId, Claim> claims;
    // Invariant: each claim is in exactly one of these, by its state.
    std::set<ExpiryKey> open;    // Held and Dispatched, by openUntil
    std::set<ExpiryKey> decided; // the others, by keepUntil
    std::unordered_map<ClientAccountId, std::size_t> claimsByAccount;
    std::size_t usedBytes = 0; // sum of claimBytes over claims
};

void sortClaims(std::vector<Claim> &claims); // by id

// Memory that a claim takes, near enough: its own strings and the containers' shares.
std::size_t claimBytes(const Claim &claim);

} // namespace lavenderthread::state::control
