// Transitions of a claim: Held -> Dispatched -> Finished or Unknown, Unknown -> Finished,
// Held -> Released -> Held by another attempt. Dispatched never returns to Held or Released.
#include "state/control/ClaimLedger.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace lavenderthread::state::control {

namespace {

// The Claim itself, its node and bucket in the map, and its node in an expiry set.
constexpr std::size_t fixedClaimBytes = sizeof(Claim) + 160;

bool isOpen(ClaimState state)
{
    return state == ClaimState::Held || state == ClaimState::Dispatched;
}

ClaimAnswer answer(ClaimVerdict verdict, const Claim &claim)
{
    return {verdict, claim.holder, claim.result};
}

ClaimVerdict verdictForOtherAttempt(ClaimState state)
{
    switch (state) {
    case ClaimState::Held:
    case ClaimState::Dispatched:
        return ClaimVerdict::InProgress;
    case ClaimState::Finished:
        return ClaimVerdict::AlreadyRan;
    case ClaimState::Unknown:
    case ClaimState::Released:
        break;
    }
    return ClaimVerdict::OutcomeUnknown;
}

// Drops the oldest holder. A copy of its command that arrives after so many later attempts can only
// block the key for a while: its sender has long ended and sends no request.
std::vector<ClaimHolder> formerHoldersAfter(const Claim &released)
{
    constexpr std::size_t maximumFormerHolders = 8;
    std::vector<ClaimHolder> former = released.formerHolders;
    former.push_back(released.holder);
    if (former.size() > maximumFormerHolders)
        former.erase(former.begin());
    return former;
}

// Verdict for a TakeClaim that the holder itself resends because the first answer was lost.
ClaimVerdict verdictForHolder(ClaimState state)
{
    switch (state) {
    case ClaimState::Held:
        return ClaimVerdict::Granted;
    case ClaimState::Dispatched:
    case ClaimState::Released:
        return ClaimVerdict::TooLate;
    case ClaimState::Finished:
        return ClaimVerdict::AlreadyRan;
    case ClaimState::Unknown:
        break;
    }
    return ClaimVerdict::OutcomeUnknown;
}

} // namespace

Digest Digest::of(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), whole.data());
    Digest digest;
    std::memcpy(&digest.high, whole.data(), sizeof digest.high);
    std::memcpy(&digest.low, whole.data() + sizeof digest.high, sizeof digest.low);
    return digest;
}

ClaimId ClaimId::of(const ClientAccountId &account, std::string_view idempotencyKey)
{
    // The length prefix keeps different pairs of account and key from giving the same text.
    std::string text = std::to_string(account.value().size()) + ":" + account.value();
    text.append(idempotencyKey);
    return {Digest::of(text)};
}

std::size_t claimBytes(const Claim &claim)
{
    std::size_t bytes = fixedClaimBytes + claim.account.value().size()
                        + claim.holder.entry.value().size() + claim.holder.attempt.value().size();
    for (const ClaimHolder &former : claim.formerHolders)
        bytes += sizeof former + former.entry.value().size() + former.attempt.value().size();
    if (claim.result)
        bytes += claim.result->contentType.size() + claim.result->body.size();
    return bytes;
}

ClaimLedger::ClaimLedger(ClaimLimits limits, ControlTime now, std::vector<Claim> claims)
    : limits(limits)
    , clock(now)
{
    this->claims.reserve(claims.size());
    for (Claim &claim : claims)
        this->insert(std::move(claim));
}

ClaimAnswer ClaimLedger::take(const TakeClaim &command)
{
    const auto found = this->claims.find(command.id);
    std::vector<ClaimHolder> former;
    if (found != this->claims.end()) {
        const Claim &claim = found->second;
        // After a release another body is allowed: the released request never ran.
        if (claim.state != ClaimState::Released && claim.body != command.body)
            return {ClaimVerdict::OtherBody, claim.holder, std::nullopt};
        if (claim.holder == command.holder)
            return answer(verdictForHolder(claim.state), claim);
        if (claim.state != ClaimState::Released)
            return answer(verdictForOtherAttempt(claim.state), claim);
        former = formerHoldersAfter(claim);
        if (std::find(former.begin(), former.end(), command.holder) != former.end())
            return answer(ClaimVerdict::TooLate, claim);
        this->erase(command.id);
    } else if (!this->hasRoomFor(command.account)) {
        // Refusing a new claim is safe: its caller is told, correctly, that the request did not
        // run. Evicting a live claim could let a request run twice.
        return {ClaimVerdict::Full, {}, std::nullopt};
    }
    const Duration timeLeft =
            std::clamp(command.timeLeft, Duration(0), this->limits.longestDeadline);
    Claim claim{.id = command.id,
                .account = command.account,
                .body = command.body,
                .holder = command.holder,
                .state = ClaimState::Held,
                .openUntil = this->clock + timeLeft + this->limits.longestStep,
                .formerHolders = std::move(former)};
    ClaimAnswer granted = answer(ClaimVerdict::Granted, claim);
    this->insert(std::move(claim));
    return granted;
}

Claim *ClaimLedger::findHeldClaim(const ClaimHolder &holder, const ClaimId &id)
{
    const auto found = this->claims.find(id);
    return found == this->claims.end() || found->second.holder != holder ? nullptr : &found->second;
}

ClaimAnswer ClaimLedger::notHolder(const ClaimId &id) const
{
    const Claim *claim = this->find(id);
    return {ClaimVerdict::NotHolder, claim != nullptr ? claim->holder : ClaimHolder{},
            std::nullopt};
}

ClaimAnswer ClaimLedger::dispatch(const DispatchClaim &command)
{
    Claim *held = this->findHeldClaim(command.holder, command.id);
    if (held == nullptr)
        return this->notHolder(command.id);
    Claim &claim = *held;
    // A DispatchClaim that is resent because its first answer was lost is granted again: the holder
    // sends the request only once, after the first answer that it receives.
    if (!isOpen(claim.state))
        return answer(ClaimVerdict::TooLate, claim);
    claim.state = ClaimState::Dispatched;
    return answer(ClaimVerdict::Granted, claim);
}

ClaimAnswer ClaimLedger::release(const ReleaseClaim &command)
{
    Claim *held = this->findHeldClaim(command.holder, command.id);
    if (held == nullptr)
        return this->notHolder(command.id);
    Claim &claim = *held;
    if (claim.state == ClaimState::Held)
        this->decide(claim, ClaimState::Released);
    const bool released = claim.state == ClaimState::Released;
    return answer(released ? ClaimVerdict::Granted : ClaimVerdict::TooLate, claim);
}

ClaimAnswer ClaimLedger::finish(const FinishClaim &command)
{
    Claim *held = this->findHeldClaim(command.holder, command.id);
    if (held == nullptr)
        return this->notHolder(command.id);
    Claim &claim = *held;
    if (claim.state == ClaimState::Held || claim.state == ClaimState::Released)
        return answer(ClaimVerdict::TooLate, claim);
    if (claim.state == ClaimState::Finished)
        return answer(ClaimVerdict::Granted, claim);
    // An entry that was declared lost too early may still deliver its result. The transition from
    // Unknown to Finished is safe, since it only adds information.
    if (command.result) {
        this->keepResult(claim, *command.result);
        this->decide(claim, ClaimState::Finished);
    } else if (claim.state == ClaimState::Dispatched) {
        this->decide(claim, ClaimState::Unknown);
    }
    return answer(ClaimVerdict::Granted, claim);
}

void ClaimLedger::entryLost(const EntryLost &command)
{
    std::vector<ClaimId> lost;
    for (const auto &[until, id] : this->openByExpiry) {
        const ClaimHolder &holder = this->claims.at(id).holder;
        if (holder.entry == command.entry && holder.entryIncarnation <= command.incarnation)
            lost.push_back(id);
    }
    for (const ClaimId &id : lost)
        this->closeOpenClaim(this->claims.at(id));
}

void ClaimLedger::advance(const AdvanceTime &command)
{
    this->clock += std::clamp(command.elapsed, Duration(0), this->limits.longestStep);
    while (!this->openByExpiry.empty() && this->openByExpiry.begin()->first <= this->clock)
        this->closeOpenClaim(this->claims.at(this->openByExpiry.begin()->second));
    while (!this->decidedByExpiry.empty() && this->decidedByExpiry.begin()->first <= this->clock)
        this->erase(this->decidedByExpiry.begin()->second);
}

const Claim *ClaimLedger::find(const ClaimId &id) const
{
    const auto found = this->claims.find(id);
    return found == this->claims.end() ? nullptr : &found->second;
}

std::vector<ClaimOwner> ClaimLedger::openOwners() const
{
    std::set<ClaimOwner> owners;
    for (const auto &[until, id] : this->openByExpiry) {
        const ClaimHolder &holder = this->claims.at(id).holder;
        owners.insert({holder.entry, holder.entryIncarnation});
    }
    return {owners.begin(), owners.end()};
}

std::vector<Claim> ClaimLedger::copyClaims() const
{
    std::vector<Claim> all;
    all.reserve(this->claims.size());
    for (const auto &[id, claim] : this->claims)
        all.push_back(claim);
    return all;
}

std::vector<Claim> ClaimLedger::sortedClaims() const
{
    std::vector<Claim> all = this->copyClaims();
    sortClaims(all);
    return all;
}

void sortClaims(std::vector<Claim> &claims)
{
    std::sort(claims.begin(), claims.end(),
              [](const Claim &left, const Claim &right) { return left.id < right.id; });
}

bool ClaimLedger::hasRoomFor(const ClientAccountId &account) const
{
    const auto ofAccount = this->claimsByAccount.find(account);
    const bool accountFull = ofAccount != this->claimsByAccount.end()
                             && ofAccount->second >= this->limits.claimsOfOneAccount;
    return !accountFull && this->claims.size() < this->limits.claims
           && this->usedBytes < this->limits.bytes;
}

void ClaimLedger::insert(Claim claim)
{
    this->usedBytes += claimBytes(claim);
    ++this->claimsByAccount[claim.account];
    if (isOpen(claim.state))
        this->openByExpiry.emplace(claim.openUntil, claim.id);
    else
        this->decidedByExpiry.emplace(claim.keepUntil, claim.id);
    this->claims.insert_or_assign(claim.id, std::move(claim));
}

void ClaimLedger::erase(const ClaimId &wanted)
{
    const ClaimId id = wanted; // `wanted` may refer to memory that is freed here
    const Claim &claim = this->claims.at(id);
    this->usedBytes -= claimBytes(claim);
    this->removeFromExpirySet(claim);
    const auto ofAccount = this->claimsByAccount.find(claim.account);
    if (--ofAccount->second == 0)
        this->claimsByAccount.erase(ofAccount);
    this->claims.erase(id);
}

void ClaimLedger::decide(Claim &claim, ClaimState state)
{
    this->removeFromExpirySet(claim);
    claim.state = state;
    claim.keepUntil = this->clock + this->limits.resendWindow;
    this->decidedByExpiry.emplace(claim.keepUntil, claim.id);
}

void ClaimLedger::removeFromExpirySet(const Claim &claim)
{
    if (isOpen(claim.state))
        this->openByExpiry.erase({claim.openUntil, claim.id});
    else
        this->decidedByExpiry.erase({claim.keepUntil, claim.id});
}

void ClaimLedger::closeOpenClaim(Claim &claim)
{
    // A Held claim certainly never runs: its holder sends nothing before Dispatched is committed,
    // and from here on DispatchClaim is refused.
    this->decide(claim,
                 claim.state == ClaimState::Held ? ClaimState::Released : ClaimState::Unknown);
}

void ClaimLedger::keepResult(Claim &claim, ClaimResult result)
{
    this->usedBytes -= claimBytes(claim);
    const bool fits = result.body.size() <= this->limits.resultBytes
                      && this->usedBytes + result.body.size() < this->limits.bytes;
    if (!fits) {
        result.body.clear();
        result.bodyKept = false;
    }
    claim.result = std::move(result);
    this->usedBytes += claimBytes(claim);
}

} // namespace lavenderthread::state::control
