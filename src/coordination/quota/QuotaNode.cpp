// Accounts, parts and messages of one entry. QuotaLoanRequests.cpp decides on the loan requests.
#include "coordination/quota/QuotaNode.h"

#include <algorithm>
#include <utility>

namespace lavenderthread::coordination::quota {

using state::Duration;
using state::Instant;
using state::VmId;

namespace {
constexpr std::uint64_t nonHomeDivisor = 4;
}

QuotaNode::QuotaNode(VmId self, std::uint64_t incarnation, QuotaSettings settings, Instant start)
    : self(std::move(self))
    , incarnation(incarnation)
    , settings(settings)
    , loanRequestBudget(settings.loanRequestBurst)
    , recoveryEndsAt(start + lengthenedByDrift(settings.maximumHold))
{}

void QuotaNode::configure(const Roster &next, Duration age, Instant now)
{
    const bool first = this->roster.entries.empty();
    if (!first && next.version <= this->roster.version)
        return;
    const Duration increaseDelay = std::max(this->handoverTime() - age, Duration(0));
    this->roster = next;
    for (const VmId &entry : next.entries) {
        if (first && entry != this->self)
            this->missingStatements.insert(entry);
    }
    std::erase_if(this->missingStatements, [&](const VmId &entry) {
        return !std::binary_search(next.entries.begin(), next.entries.end(), entry);
    });
    for (const auto &[key, limits] : this->rows) {
        if (this->isHome(key, limits))
            this->accountOf(key, increaseDelay, now);
    }
    for (auto &[key, account] : this->accounts)
        this->updateParts(key, account, increaseDelay, now);
    this->endRecoveryIfComplete(now);
}

void QuotaNode::setRow(const state::TableRow &row, Instant now)
{
    const QuotaKey key = quotaKeyOf(row.key);
    const QuotaLimits limits{row.inFlightLimit, row.tokensPerSecondLimit};
    const auto before = this->rows.find(key);
    const bool sameHomeCount =
            before == this->rows.end() || this->hasSameHomeCount(before->second, limits);
    const Duration increaseDelay = sameHomeCount ? Duration(0) : this->handoverTime();
    this->rows[key] = limits;
    const auto known = this->accounts.find(key);
    if (known != this->accounts.end())
        this->updateParts(key, known->second, increaseDelay, now);
    else if (this->isHome(key, limits))
        this->accountOf(key, increaseDelay, now);
}

// The previous owner of a part may not know of the change yet, and its loans may still run. After
// this time neither is possible, so the part is never used twice.
Duration QuotaNode::handoverTime() const
{
    return lengthenedByDrift(this->settings.rosterFreshness + this->settings.maximumHold);
}

// With an unchanged number of homes all parts grow or all shrink, and no units change the owner.
bool QuotaNode::hasSameHomeCount(const QuotaLimits &left, const QuotaLimits &right) const
{
    const auto before = this->homeCountOf(left);
    return before == 0 || before == this->homeCountOf(right);
}

std::uint32_t QuotaNode::homeCountOf(const QuotaLimits &limits) const
{
    return homeCount(limits, this->roster.entries.size(), this->settings.maximumHomes);
}

QuotaNode::Account &QuotaNode::accountOf(QuotaKey key, Duration increaseDelay, Instant now)
{
    const auto known = this->accounts.find(key);
    if (known != this->accounts.end())
        return known->second;
    Account &account = this->accounts.try_emplace(key, this->settings.burst).first->second;
    account.slots.ledger.setRecovering(this->recovering);
    account.rate.ledger.setRecovering(this->recovering);
    this->updateParts(key, account, increaseDelay, now);
    return account;
}

void QuotaNode::updateParts(QuotaKey key, Account &account, Duration increaseDelay, Instant now)
{
    const QuotaLimits limits = this->limitsOf(key);
    const std::vector<VmId> homes = homesOf(key, this->roster, this->homeCountOf(limits));
    account.homes.clear();
    for (const VmId &home : homes)
        account.homes.push_back(this->positionOf(home));
    const auto rank = std::find(homes.begin(), homes.end(), this->self) - homes.begin();
    const auto partOfLimit = [&](std::uint64_t limit) {
        const auto count = static_cast<std::uint32_t>(homes.size());
        const auto place = static_cast<std::uint32_t>(rank);
        return place < count ? partOf(limit, count, place) : 0;
    };
    account.slots.limit = limits.inFlight;
    account.slots.ledger.setOwnPart(partOfLimit(limits.inFlight), increaseDelay, now);
    account.bucket.fill(account.rate.ledger, now);
    account.rate.limit = limits.tokensPerSecond;
    account.rate.ledger.setOwnPart(partOfLimit(limits.tokensPerSecond), increaseDelay, now);
    account.bucket.fill(account.rate.ledger, now);
}

QuotaLimits QuotaNode::limitsOf(QuotaKey key) const
{
    const auto row = this->rows.find(key);
    return row == this->rows.end() ? QuotaLimits{} : row->second;
}

std::uint16_t QuotaNode::positionOf(const VmId &entry) const
{
    const auto &entries = this->roster.entries;
    const auto place = std::lower_bound(entries.begin(), entries.end(), entry);
    return static_cast<std::uint16_t>(place - entries.begin());
}

bool QuotaNode::isHome(QuotaKey key, const QuotaLimits &limits) const
{
    const auto all = homesOf(key, this->roster, this->homeCountOf(limits));
    return std::find(all.begin(), all.end(), this->self) != all.end();
}

std::vector<VmId> QuotaNode::homes(QuotaKey key) const
{
    return homesOf(key, this->roster, this->homeCountOf(this->limitsOf(key)));
}

QuotaResult QuotaNode::tryStart(QuotaKey key, std::uint64_t tokens, Instant deadline, Instant now)
{
    Account &account = this->accountOf(key, Duration(0), now);
    this->activeAccounts.insert(key);
    if (account.slots.limit == 0)
        account.pool.startUnlimited(deadline);
    else if (!account.pool.start(deadline, account.slots.ledger, now))
        return QuotaResult::NoSlot;
    if (account.rate.limit != 0 && !account.bucket.trySpend(tokens, account.rate.ledger, now)) {
        account.pool.finish(deadline);
        return QuotaResult::NoTokens;
    }
    return QuotaResult::Started;
}

void QuotaNode::charge(QuotaKey key, std::uint64_t tokens, Instant now)
{
    Account &account = this->accountOf(key, Duration(0), now);
    if (account.rate.limit == 0)
        return;
    account.bucket.fill(account.rate.ledger, now);
    account.bucket.spend(tokens);
}

void QuotaNode::finish(QuotaKey key, Instant deadline)
{
    const auto known = this->accounts.find(key);
    if (known != this->accounts.end())
        known->second.pool.finish(deadline);
}

void QuotaNode::setDemand(QuotaKey key, const QuotaDemand &demand)
{
    const auto known = this->accounts.find(key);
    if (known == this->accounts.end())
        return;
    known->second.demand = demand;
    this->activeAccounts.insert(key);
}

QuotaView QuotaNode::view(QuotaKey key, Instant now)
{
    Account &account = this->accountOf(key, Duration(0), now);
    account.bucket.fill(account.rate.ledger, now);
    return QuotaView{account.slots.ledger.usableOwn(now),
                     account.slots.ledger.borrowed(now),
                     account.pool.running(),
                     account.rate.ledger.usableOwn(now),
                     account.rate.ledger.borrowed(now),
                     account.bucket.level()};
}

std::vector<OutgoingQuotaMessage> QuotaNode::receive(const QuotaMessage &message, Instant now)
{
    Outbox outbox;
    if (message.from == this->self || !this->checkIncarnation(message, now))
        return {};
    if (message.requestsStatement)
        this->writeStatement(message, outbox, now);
    for (const LoanRequest &request : message.loanRequests)
        this->answerLoanRequest(message.from, request, outbox, now);
    if (message.forIncarnation != this->incarnation)
        return collect(std::move(outbox));
    if (message.isStatement)
        this->applyStatement(message, now);
    for (const QuotaGrant &grant : message.grants)
        this->acceptGrant(message.from, grant, now);
    return collect(std::move(outbox));
}

// Returns false for a message of an earlier process of the peer. The later process does not know
// the grants of the earlier one and would lend the same units again.
bool QuotaNode::checkIncarnation(const QuotaMessage &message, Instant now)
{
    std::uint64_t &known = this->peerIncarnations[message.from];
    if (message.incarnation < known)
        return false;
    if (message.incarnation == known)
        return true;
    known = message.incarnation;
    for (auto &[key, account] : this->accounts) {
        account.bucket.fill(account.rate.ledger, now);
        account.slots.ledger.cancelLoanTo(message.from);
        account.rate.ledger.cancelLoanTo(message.from);
    }
    return true;
}

void QuotaNode::answerLoanRequest(const VmId &borrower, const LoanRequest &request, Outbox &outbox,
                                  Instant now)
{
    const auto known = this->accounts.find(request.key);
    if (known == this->accounts.end())
        return;
    Account &account = known->second;
    account.bucket.fill(account.rate.ledger, now);
    const auto grant = request.dimension == Dimension::InFlight
                               ? this->lendSlots(borrower, request, account, now)
                               : this->lendRate(borrower, request, account, now);
    account.bucket.fill(account.rate.ledger, now);
    if (grant)
        this->messageTo(borrower, outbox).grants.push_back(*grant);
}

std::optional<QuotaGrant> QuotaNode::lendSlots(const VmId &borrower, const LoanRequest &request,
                                               Account &account, Instant now)
{
    PartLedger &ledger = account.slots.ledger;
    const std::uint64_t running = account.pool.running();
    const std::uint64_t wanted = this->unitsKeptFrom(borrower, account, ledger.ownPart(now),
                                                     running + account.demand.waitingRequests);
    auto grant = ledger.grantLoan(borrower, request, std::max(running, wanted),
                                  this->settings.maximumHold, now);
    const std::uint64_t usable = ledger.usableOwn(now);
    const std::uint64_t kept = std::max(wanted, ledger.floor(now));
    if (!grant || grant->units >= request.units || kept >= usable)
        return grant;
    // Reported as spare, so that the borrower soon requests them and they are not idle for long.
    grant->spare = std::min(request.units - grant->units, usable - kept);
    ledger.reserveForBorrower(grant->spare, now + this->settings.renewInterval);
    return grant;
}

std::optional<QuotaGrant> QuotaNode::lendRate(const VmId &borrower, const LoanRequest &request,
                                              Account &account, Instant now)
{
    PartLedger &ledger = account.rate.ledger;
    const std::uint64_t wanted = this->unitsKeptFrom(borrower, account, ledger.ownPart(now),
                                                     account.demand.tokensPerSecond);
    return ledger.grantLoan(borrower, request, wanted,
                            std::min(this->settings.minimumHold, this->settings.maximumHold), now);
}

// Returns the units that a home keeps for its own callers. An entry that is not a home has no part
// and would starve while all homes are busy, so a quarter of each part is available to it.
std::uint64_t QuotaNode::unitsKeptFrom(const VmId &borrower, const Account &account,
                                       std::uint64_t part, std::uint64_t ownDemand) const
{
    const auto place =
            std::find(account.homes.begin(), account.homes.end(), this->positionOf(borrower));
    const bool isHome = place != account.homes.end();
    return isHome ? ownDemand : std::min(ownDemand, part - part / nonHomeDivisor);
}

void QuotaNode::acceptGrant(const VmId &lender, const QuotaGrant &grant, Instant now)
{
    const auto known = this->accounts.find(grant.key);
    if (known == this->accounts.end())
        return;
    Account &account = known->second;
    account.bucket.fill(account.rate.ledger, now);
    LimitState &limitState = grant.dimension == Dimension::InFlight ? account.slots : account.rate;
    limitState.ledger.acceptGrant(lender, grant, now);
}

void QuotaNode::writeStatement(const QuotaMessage &request, Outbox &outbox, Instant now)
{
    QuotaMessage &answer = this->messageTo(request.from, outbox);
    answer.isStatement = true;
    for (const auto &[key, account] : this->accounts) {
        for (const LimitState *limitState : {&account.slots, &account.rate}) {
            if (const auto holding = limitState->ledger.holdingOf(key, request.from, now))
                answer.holdings.push_back(*holding);
        }
    }
}

void QuotaNode::applyStatement(const QuotaMessage &message, Instant now)
{
    if (!this->recovering || this->missingStatements.erase(message.from) == 0)
        return;
    for (const QuotaHolding &holding : message.holdings) {
        Account &account = this->accountOf(holding.key, Duration(0), now);
        LimitState &limitState =
                holding.dimension == Dimension::InFlight ? account.slots : account.rate;
        limitState.ledger.restoreLoan(message.from, holding, now);
    }
    this->endRecoveryIfComplete(now);
}

void QuotaNode::requestStatements(Outbox &outbox, Instant now)
{
    if (now < this->nextStatementRequest)
        return;
    this->nextStatementRequest = now + this->settings.renewInterval;
    for (const VmId &peer : this->missingStatements)
        this->messageTo(peer, outbox).requestsStatement = true;
}

void QuotaNode::endRecoveryIfComplete(Instant now)
{
    const bool known = !this->roster.entries.empty() && this->missingStatements.empty();
    if (!this->recovering || (!known && now < this->recoveryEndsAt))
        return;
    this->recovering = false;
    this->missingStatements.clear();
    for (auto &[key, account] : this->accounts) {
        account.bucket.fill(account.rate.ledger, now);
        account.slots.ledger.setRecovering(false);
        account.rate.ledger.setRecovering(false);
    }
}

QuotaMessage &QuotaNode::messageTo(const VmId &peer, Outbox &outbox) const
{
    QuotaMessage &message = outbox[peer];
    message.from = this->self;
    message.incarnation = this->incarnation;
    const auto known = this->peerIncarnations.find(peer);
    message.forIncarnation = known == this->peerIncarnations.end() ? 0 : known->second;
    return message;
}

std::vector<OutgoingQuotaMessage> QuotaNode::collect(Outbox outbox)
{
    std::vector<OutgoingQuotaMessage> all;
    all.reserve(outbox.size());
    for (auto &[peer, message] : outbox)
        all.push_back({peer, std::move(message)});
    return all;
}

} // namespace lavenderthread::coordination::quota
