// How an entry works out what it needs on loan, and of which homes it asks that.
#include "coordination/quota/QuotaNode.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::VmId;

namespace {

// Requests that come until the next renewal have later deadlines than those that wait now.
constexpr Duration holdMargin = std::chrono::seconds(3);

// Borrowed beyond the demand for tokens, and kept, so that not every change of it costs a message.
constexpr std::uint64_t rateSlackDivisor = 4;

std::uint64_t minusToZero(std::uint64_t from, std::uint64_t taken)
{
    return from > taken ? from - taken : 0;
}

} // namespace

std::vector<OutgoingQuotaMessage> QuotaNode::tick(Instant now)
{
    Outbox outbox;
    this->endRecoveryIfKnown(now);
    if (this->recovering)
        this->sayHello(outbox, now);
    this->refillAsks(now);
    // In turn, from the account after the last that had one: with few asks left the same accounts
    // would be served always.
    std::vector<QuotaKey> keys(this->active.upper_bound(this->askedLast), this->active.end());
    keys.insert(keys.end(), this->active.begin(), this->active.upper_bound(this->askedLast));
    for (const QuotaKey key : keys)
        this->tickAccount(key, outbox, now);
    return collect(std::move(outbox));
}

void QuotaNode::refillAsks(Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - this->asksFilledTo).count();
    this->asksFilledTo = now;
    this->asksLeft = std::min(this->asksLeft + elapsed * this->settings.asksPerSecond,
                              static_cast<double>(this->settings.asksAtOnce));
}

void QuotaNode::tickAccount(QuotaKey key, Outbox &outbox, Instant now)
{
    Account &account = this->accounts.at(key);
    account.bucket.settle(account.rate.ledger, now);
    account.slots.ledger.dropExpired(now);
    account.rate.ledger.dropExpired(now);
    const Need slotNeed = this->slotNeed(account, now);
    const Need rateNeed = this->rateNeed(account, now);
    this->planAsks(key, account.homes, account.slots, slotNeed, outbox, now);
    this->planAsks(key, account.homes, account.rate, rateNeed, outbox, now);
    account.bucket.settle(account.rate.ledger, now);
    const bool quiet = slotNeed.units == 0 && rateNeed.units == 0
                       && !account.slots.ledger.hasOpenLoans(now)
                       && !account.rate.ledger.hasOpenLoans(now);
    if (quiet)
        this->active.erase(key);
}

QuotaNode::Need QuotaNode::slotNeed(const Account &account, Instant now) const
{
    Need need;
    if (account.slots.limit == 0)
        return need;
    const std::uint64_t own = account.slots.ledger.usableOwn(now);
    const std::uint64_t running = account.pool.running();
    need.units = minusToZero(running + account.demand.waitingRequests, own);
    need.keep = need.units;
    need.inUse = minusToZero(running, own);
    need.lastsUntil = account.pool.latestOnBorrowed(own, now);
    const Instant latest = std::max(need.lastsUntil, account.demand.latestDeadline);
    const Duration left = lengthenedByDrift(lengthenedByDrift(latest - now)) + holdMargin;
    need.hold = std::min(std::max(left, this->settings.minimumHold), this->settings.maximumHold);
    return need;
}

QuotaNode::Need QuotaNode::rateNeed(const Account &account, Instant now) const
{
    Need need;
    if (account.rate.limit == 0)
        return need;
    const std::uint64_t demand = account.demand.tokensPerSecond;
    const std::uint64_t own = account.rate.ledger.usableOwn(now);
    // What is saved up carries a short peak; most accounts are small and peak often.
    const std::uint64_t filling = own + account.rate.ledger.borrowed(now);
    const bool savesEnough =
            account.bucket.level() * 2
            > static_cast<double>(filling)
                      * std::chrono::duration<double>(this->settings.burst).count();
    need.units = savesEnough ? 0 : minusToZero(demand, own);
    need.keep = minusToZero(demand + demand / rateSlackDivisor, own);
    need.lastsUntil = now;
    need.hold = std::min(this->settings.minimumHold, this->settings.maximumHold);
    return need;
}

void QuotaNode::planAsks(QuotaKey key, const std::vector<std::uint16_t> &homes, Share &share,
                         const Need &need, Outbox &outbox, Instant now)
{
    if (now >= share.nextRenewal) {
        // On common beats, so that all accounts share their messages to a peer.
        const auto beats = now.time_since_epoch() / this->settings.renewInterval + 1;
        share.nextRenewal = Instant(beats * this->settings.renewInterval);
        this->renew(key, share, need, outbox, now);
    }
    this->askMore(key, homes, share, need, outbox, now);
}

// Renews all loans of the share together, and gives back what is too much: first to homes that want
// it back, then the loans that end first. What is left must outlast the requests that run on it.
void QuotaNode::renew(QuotaKey key, Share &share, const Need &need, Outbox &outbox, Instant now)
{
    struct Held
    {
        VmId lender;
        std::uint64_t units;
        Instant until;
        bool recalled;
    };
    std::vector<Held> held;
    std::uint64_t lasting = 0; // units that outlast the requests in use
    std::uint64_t total = 0;
    for (const auto &[lender, loan] : share.ledger.loansHeld()) {
        // An unanswered ask is withdrawn if nothing is missing any more; else it is repeated below.
        const bool withdraws = share.ledger.borrowed(now) >= need.units;
        if (!PartLedger::isOpen(loan, now) || (loan.units == 0 && !withdraws))
            continue;
        held.push_back({lender, loan.units, loan.until, loan.recalled});
        total += loan.units;
        lasting += loan.until >= need.lastsUntil ? loan.units : 0;
    }
    std::sort(held.begin(), held.end(), [](const Held &left, const Held &right) {
        return std::pair(!left.recalled, left.until) < std::pair(!right.recalled, right.until);
    });
    for (Held &loan : held) {
        const std::uint64_t before = loan.units;
        const bool lasts = loan.until >= need.lastsUntil;
        const std::uint64_t removable =
                lasts ? std::min(loan.units, minusToZero(lasting, need.inUse)) : loan.units;
        const std::uint64_t surplus = loan.recalled ? loan.units : minusToZero(total, need.keep);
        const std::uint64_t returned = std::min(removable, surplus);
        loan.units -= returned;
        total -= returned;
        lasting -= lasts ? returned : 0;
        const LoanIn &known = share.ledger.loansHeld().at(loan.lender);
        const bool steady = loan.units == before && !known.waiting && lasts
                            && now < known.askedAt + this->settings.steadyRenewInterval;
        if (!steady)
            this->sendAsk(key, share, loan.lender, loan.units, need, outbox, now);
    }
}

// Asks homes that said that they have more first, then the others in even pieces.
void QuotaNode::askMore(QuotaKey key, const std::vector<std::uint16_t> &homes, Share &share,
                        const Need &need, Outbox &outbox, Instant now)
{
    const std::uint64_t held = share.ledger.borrowed(now);
    if (held >= need.units)
        return;
    std::uint64_t missing = need.keep - held;
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
        const auto known = share.ledger.loansHeld().find(lender);
        if (known == share.ledger.loansHeld().end()) {
            candidates.push_back({lender, 0, 0});
            continue;
        }
        const LoanIn &loan = known->second;
        const bool answered = !loan.waiting && loan.spareAtLender > 0;
        const Duration pause =
                loan.waiting ? this->settings.answerTimeout : this->settings.retryInterval;
        if (answered || now >= loan.askedAt + pause)
            candidates.push_back({lender, loan.units, answered ? loan.spareAtLender : 0});
    }
    std::sort(
            candidates.begin(), candidates.end(),
            [](const Candidate &left, const Candidate &right) { return left.spare > right.spare; });
    if (candidates.size() > this->settings.homesAskedAtOnce)
        candidates.resize(this->settings.homesAskedAtOnce);
    std::uint64_t knownSpare = 0;
    for (const Candidate &candidate : candidates)
        knownSpare += candidate.spare;
    const std::uint64_t open = minusToZero(missing, knownSpare);
    const std::uint64_t piece =
            candidates.empty() ? 0 : (open + candidates.size() - 1) / candidates.size();
    for (const Candidate &candidate : candidates) {
        const std::uint64_t more = std::min(missing, candidate.spare + piece);
        if (more == 0)
            continue;
        if (this->asksLeft < 1)
            return;
        this->asksLeft -= 1;
        this->askedLast = key;
        missing -= more;
        this->sendAsk(key, share, candidate.lender, candidate.held + more, need, outbox, now);
    }
}

void QuotaNode::sendAsk(QuotaKey key, Share &share, const VmId &lender, std::uint64_t units,
                        const Need &need, Outbox &outbox, Instant now)
{
    QuotaMessage &message = this->messageTo(lender, outbox);
    // At most one ask a share in a message; a later one of the same tick takes its place.
    const QuotaAsk ask = share.ledger.ask(key, lender, units, this->nextSequence++, need.hold, now);
    std::erase_if(message.asks, [&](const QuotaAsk &earlier) {
        return earlier.key == ask.key && earlier.dimension == ask.dimension;
    });
    message.asks.push_back(ask);
}

} // namespace lavenderthread::coordination::quota
