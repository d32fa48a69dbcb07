// Computes how many units an entry needs to borrow, and from which homes it requests them.
#include "coordination/quota/QuotaNode.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::VmId;

namespace {

// Requests that arrive before the next renewal have later deadlines than those that wait now.
constexpr Duration holdMargin = std::chrono::seconds(3);

// A quarter of the token demand is borrowed and kept in addition, so that not every change of the
// demand costs a message.
constexpr std::uint64_t rateSlackDivisor = 4;

std::uint64_t saturatingSubtract(std::uint64_t from, std::uint64_t taken)
{
    return from > taken ? from - taken : 0;
}

} // namespace

std::vector<OutgoingQuotaMessage> QuotaNode::tick(Instant now)
{
    Outbox outbox;
    this->endRecoveryIfComplete(now);
    if (this->recovering)
        this->requestStatements(outbox, now);
    this->refillLoanRequestBudget(now);
    // Round robin, starting after the account that sent the last loan request. Otherwise the same
    // accounts would always use up a small budget of loan requests.
    std::vector<QuotaKey> keys(this->activeAccounts.upper_bound(this->lastRequestingAccount),
                               this->activeAccounts.end());
    keys.insert(keys.end(), this->activeAccounts.begin(),
                this->activeAccounts.upper_bound(this->lastRequestingAccount));
    for (const QuotaKey key : keys)
        this->tickAccount(key, outbox, now);
    return collect(std::move(outbox));
}

void QuotaNode::refillLoanRequestBudget(Instant now)
{
    const double elapsed =
            std::chrono::duration<double>(now - this->loanRequestBudgetFilledUntil).count();
    this->loanRequestBudgetFilledUntil = now;
    this->loanRequestBudget =
            std::min(this->loanRequestBudget + elapsed * this->settings.loanRequestsPerSecond,
                     static_cast<double>(this->settings.loanRequestBurst));
}

void QuotaNode::tickAccount(QuotaKey key, Outbox &outbox, Instant now)
{
    Account &account = this->accounts.at(key);
    account.bucket.fill(account.rate.ledger, now);
    account.slots.ledger.dropExpired(now);
    account.rate.ledger.dropExpired(now);
    const LoanNeed slotNeed = this->slotNeed(account, now);
    const LoanNeed rateNeed = this->rateNeed(account, now);
    this->updateLoans(key, account.homes, account.slots, slotNeed, outbox, now);
    this->updateLoans(key, account.homes, account.rate, rateNeed, outbox, now);
    account.bucket.fill(account.rate.ledger, now);
    const bool idle = slotNeed.units == 0 && rateNeed.units == 0
                      && !account.slots.ledger.hasOpenLoans(now)
                      && !account.rate.ledger.hasOpenLoans(now);
    if (idle)
        this->activeAccounts.erase(key);
}

QuotaNode::LoanNeed QuotaNode::slotNeed(const Account &account, Instant now) const
{
    LoanNeed need;
    if (account.slots.limit == 0)
        return need;
    const std::uint64_t own = account.slots.ledger.usableOwn(now);
    const std::uint64_t running = account.pool.running();
    need.units = saturatingSubtract(running + account.demand.waitingRequests, own);
    need.keepUpTo = need.units;
    need.inUse = saturatingSubtract(running, own);
    need.neededUntil = account.pool.latestDeadlineOnBorrowed(own, now);
    const Instant latest = std::max(need.neededUntil, account.demand.latestDeadline);
    const Duration left = lengthenedByDrift(lengthenedByDrift(latest - now)) + holdMargin;
    need.hold = std::min(std::max(left, this->settings.minimumHold), this->settings.maximumHold);
    return need;
}

QuotaNode::LoanNeed QuotaNode::rateNeed(const Account &account, Instant now) const
{
    LoanNeed need;
    if (account.rate.limit == 0)
        return need;
    const std::uint64_t demand = account.demand.tokensPerSecond;
    const std::uint64_t own = account.rate.ledger.usableOwn(now);
    // The tokens in the bucket cover a short peak; most accounts are small and peak often.
    const std::uint64_t fillRate = own + account.rate.ledger.borrowed(now);
    const bool bucketSuffices =
            account.bucket.level() * 2
            > static_cast<double>(fillRate)
                      * std::chrono::duration<double>(this->settings.burst).count();
    need.units = bucketSuffices ? 0 : saturatingSubtract(demand, own);
    need.keepUpTo = saturatingSubtract(demand + demand / rateSlackDivisor, own);
    need.neededUntil = now;
    need.hold = std::min(this->settings.minimumHold, this->settings.maximumHold);
    return need;
}

void QuotaNode::updateLoans(QuotaKey key, const std::vector<std::uint16_t> &homes,
                            LimitState &limitState, const LoanNeed &need, Outbox &outbox,
                            Instant now)
{
    if (now >= limitState.nextRenewal) {
        // At multiples of the interval, so that renewals of all accounts share a message to a peer.
        const auto intervals = now.time_since_epoch() / this->settings.renewInterval + 1;
        limitState.nextRenewal = Instant(intervals * this->settings.renewInterval);
        this->renewLoans(key, limitState, need, outbox, now);
    }
    this->requestMore(key, homes, limitState, need, outbox, now);
}

// Renews all loans of one limit together and returns surplus units: first to homes that recall
// them, then from the loans that end first. The remaining loans must outlast the requests that use
// them.
void QuotaNode::renewLoans(QuotaKey key, LimitState &limitState, const LoanNeed &need,
                           Outbox &outbox, Instant now)
{
    struct Held
    {
        VmId lender;
        std::uint64_t units;
        Instant until;
        bool recalled;
    };
    std::vector<Held> held;
    std::uint64_t lasting = 0; // units that outlast the requests that use them
    std::uint64_t total = 0;
    for (const auto &[lender, loan] : limitState.ledger.loansHeld()) {
        // An unanswered loan request is withdrawn if no units are missing any more. Otherwise
        // requestMore repeats it.
        const bool withdraws = limitState.ledger.borrowed(now) >= need.units;
        if (!PartLedger::isOpen(loan, now) || (loan.units == 0 && !withdraws))
            continue;
        held.push_back({lender, loan.units, loan.until, loan.recalled});
        total += loan.units;
        lasting += loan.until >= need.neededUntil ? loan.units : 0;
    }
    std::sort(held.begin(), held.end(), [](const Held &left, const Held &right) {
        return std::pair(!left.recalled, left.until) < std::pair(!right.recalled, right.until);
    });
    for (Held &loan : held) {
        const std::uint64_t before = loan.units;
        const bool lasts = loan.until >= need.neededUntil;
        const std::uint64_t removable =
                lasts ? std::min(loan.units, saturatingSubtract(lasting, need.inUse)) : loan.units;
        const std::uint64_t surplus =
                loan.recalled ? loan.units : saturatingSubtract(total, need.keepUpTo);
        const std::uint64_t returned = std::min(removable, surplus);
        loan.units -= returned;
        total -= returned;
        lasting -= lasts ? returned : 0;
        const HeldLoan &known = limitState.ledger.loansHeld().at(loan.lender);
        const bool unchanged = loan.units == before && !known.awaitsGrant && lasts
                               && now < known.requestedAt + this->settings.steadyRenewInterval;
        if (!unchanged)
            this->sendLoanRequest(key, limitState, loan.lender, loan.units, need, outbox, now);
    }
}

// Requests units from homes that reported spare units first, and the rest in equal amounts from all
// candidates.
void QuotaNode::requestMore(QuotaKey key, const std::vector<std::uint16_t> &homes,
                            LimitState &limitState, const LoanNeed &need, Outbox &outbox,
                            Instant now)
{
    const std::uint64_t held = limitState.ledger.borrowed(now);
    if (held >= need.units)
        return;
    std::uint64_t missing = need.keepUpTo - held;
    struct Candidate
    {
        VmId lender;
        std::uint64_t held;
        std::uint64_t spare;
    };
    std::vector<Candidate> candidates;
    for (const std::uint16_t home : homes) {
        const VmId &lender = this->roster.entries[home];
        if (lender == this->self)
            continue;
        const auto known = limitState.ledger.loansHeld().find(lender);
        if (known == limitState.ledger.loansHeld().end()) {
            candidates.push_back({lender, 0, 0});
            continue;
        }
        const HeldLoan &loan = known->second;
        const bool answered = !loan.awaitsGrant && loan.spareAtLender > 0;
        const Duration pause =
                loan.awaitsGrant ? this->settings.answerTimeout : this->settings.retryInterval;
        if (answered || now >= loan.requestedAt + pause)
            candidates.push_back({lender, loan.units, answered ? loan.spareAtLender : 0});
    }
    std::sort(
            candidates.begin(), candidates.end(),
            [](const Candidate &left, const Candidate &right) { return left.spare > right.spare; });
    if (candidates.size() > this->settings.parallelRequestsPerLimit)
        candidates.resize(this->settings.parallelRequestsPerLimit);
    std::uint64_t knownSpare = 0;
    for (const Candidate &candidate : candidates)
        knownSpare += candidate.spare;
    const std::uint64_t unassigned = saturatingSubtract(missing, knownSpare);
    const std::uint64_t evenAmount =
            candidates.empty() ? 0 : (unassigned + candidates.size() - 1) / candidates.size();
    for (const Candidate &candidate : candidates) {
        const std::uint64_t more = std::min(missing, candidate.spare + evenAmount);
        if (more == 0)
            continue;
        if (this->loanRequestBudget < 1)
            return;
        this->loanRequestBudget -= 1;
        this->lastRequestingAccount = key;
        missing -= more;
        this->sendLoanRequest(key, limitState, candidate.lender, candidate.held + more, need,
                              outbox, now);
    }
}

void QuotaNode::sendLoanRequest(QuotaKey key, LimitState &limitState, const VmId &lender,
                                std::uint64_t units, const LoanNeed &need, Outbox &outbox,
                                Instant now)
{
    QuotaMessage &message = this->messageTo(lender, outbox);
    // A message has at most one loan request per limit; a later one of the same tick replaces it.
    const LoanRequest request =
            limitState.ledger.requestLoan(key, lender, units, this->nextSequence++, need.hold, now);
    std::erase_if(message.loanRequests, [&](const LoanRequest &earlier) {
        return earlier.key == request.key && earlier.dimension == request.dimension;
    });
    message.loanRequests.push_back(request);
}

} // namespace lavenderthread::coordination::quota
