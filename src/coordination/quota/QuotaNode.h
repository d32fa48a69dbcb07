// Enforces the global limits at one entry: spends its own part, borrows from the other homes of an
// account when demand exceeds it, and lends units as a home. One object per process serves all
// accounts.
//
// Order of calls: construct; configure with the roster; setRow for each row of the table; then
// tick about every tickInterval, receive for each message, and for requests setDemand (those that
// wait), tryStart, charge, finish. The caller sends the returned messages; any of them may be lost.
#pragma once

#include "coordination/quota/Homes.h"
#include "coordination/quota/PartLedger.h"
#include "coordination/quota/QuotaTypes.h"
#include "coordination/quota/SlotPool.h"
#include "coordination/quota/TokenBucket.h"
#include "state/TableRow.h"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lavenderthread::coordination::quota {

constexpr state::Duration tickInterval = std::chrono::milliseconds(250);

// Demand of an account at this entry.
struct QuotaDemand
{
    std::uint64_t waitingRequests = 0;
    std::uint64_t tokensPerSecond = 0; // recent offered load, running requests included
    state::Instant latestDeadline;     // of the waiting requests

    auto operator<=>(const QuotaDemand &) const = default;
};

enum class QuotaResult { Started, NoSlot, NoTokens };

// One account at one entry, for status pages and tests.
struct QuotaView
{
    std::uint64_t ownSlots = 0; // not lent
    std::uint64_t borrowedSlots = 0;
    std::uint64_t running = 0;
    std::uint64_t ownRate = 0; // tokens a second, not lent
    std::uint64_t borrowedRate = 0;
    double tokens = 0; // available now; below 0 while overdrawn

    auto operator<=>(const QuotaView &) const = default;
};

class QuotaNode
{
public:
    QuotaNode(state::VmId self, std::uint64_t incarnation, QuotaSettings settings,
              state::Instant start);

    // `age`: how long the roster has been in force; it shortens the delay before a larger part
    // takes effect. A roster whose version is not newer than the known one is ignored.
    void configure(const Roster &next, state::Duration age, state::Instant now);
    void setRow(const state::TableRow &row, state::Instant now);
    void removeRow(const state::TableKey &key, state::Instant now);

    // Takes a slot until finish, and spends the tokens. A row without limits always starts.
    QuotaResult tryStart(QuotaKey key, std::uint64_t tokens, state::Instant deadline,
                         state::Instant now);
    // Spends tokens beyond those given to tryStart, as they are generated.
    void charge(QuotaKey key, std::uint64_t tokens, state::Instant now);
    // `deadline`: the same as for tryStart.
    void finish(QuotaKey key, state::Instant deadline);
    void setDemand(QuotaKey key, const QuotaDemand &demand);

    std::vector<OutgoingQuotaMessage> tick(state::Instant now);
    std::vector<OutgoingQuotaMessage> receive(const QuotaMessage &message, state::Instant now);

    // The preferred entries for callers of the account, best first.
    std::vector<state::VmId> homes(QuotaKey key) const;
    QuotaView view(QuotaKey key, state::Instant now);
    bool isRecovering() const { return this->recovering; }
    std::size_t accountCount() const { return this->accounts.size(); }

private:
    // The state of one limit of one account.
    struct LimitState
    {
        explicit LimitState(Dimension dimension)
            : ledger(dimension)
        {}

        std::uint64_t limit = 0;
        PartLedger ledger;
        state::Instant nextRenewal{};
    };

    struct Account
    {
        explicit Account(state::Duration burst)
            : bucket(burst)
        {}

        std::vector<std::uint16_t> homes; // positions in the roster
        LimitState slots{Dimension::InFlight};
        LimitState rate{Dimension::TokenRate};
        SlotPool pool;
        TokenBucket bucket;
        QuotaDemand demand;
    };

    // The loans that a limit needs, and which of them can't be returned.
    struct LoanNeed
    {
        std::uint64_t units = 0;    // to be borrowed
        std::uint64_t keepUpTo = 0; // loans up to this are not returned; at least `units`
        std::uint64_t inUse = 0;    // borrowed units with running requests
        state::Instant neededUntil; // latest deadline on the units in use
        state::Duration hold{0};    // duration to request
    };

    using Outbox = std::map<state::VmId, QuotaMessage>;

    Account &accountOf(QuotaKey key, state::Duration increaseDelay, state::Instant now);
    state::Duration handoverTime() const;
    bool hasSameHomeCount(const QuotaLimits &left, const QuotaLimits &right) const;
    void updateParts(QuotaKey key, Account &account, state::Duration increaseDelay,
                     state::Instant now);
    std::uint32_t homeCountOf(const QuotaLimits &limits) const;
    QuotaLimits limitsOf(QuotaKey key) const;
    std::uint16_t positionOf(const state::VmId &entry) const;
    std::uint64_t unitsKeptFrom(const state::VmId &borrower, const Account &account,
                                std::uint64_t part, std::uint64_t ownDemand) const;
    bool isHome(QuotaKey key, const QuotaLimits &limits) const;

    void tickAccount(QuotaKey key, Outbox &outbox, state::Instant now);
    void refillLoanRequestBudget(state::Instant now);
    LoanNeed slotNeed(const Account &account, state::Instant now) const;
    LoanNeed rateNeed(const Account &account, state::Instant now) const;
    void updateLoans(QuotaKey key, const std::vector<std::uint16_t> &homes, LimitState &limitState,
                     const LoanNeed &need, Outbox &outbox, state::Instant now);
    void renewLoans(QuotaKey key, LimitState &limitState, const LoanNeed &need, Outbox &outbox,
                    state::Instant now);
    void requestMore(QuotaKey key, const std::vector<std::uint16_t> &homes, LimitState &limitState,
                     const LoanNeed &need, Outbox &outbox, state::Instant now);
    void sendLoanRequest(QuotaKey key, LimitState &limitState, const state::VmId &lender,
                         std::uint64_t units, const LoanNeed &need, Outbox &outbox,
                         state::Instant now);

    bool checkIncarnation(const QuotaMessage &message, state::Instant now);
    void answerLoanRequest(const state::VmId &borrower, const LoanRequest &request, Outbox &outbox,
                           state::Instant now);
    std::optional<QuotaGrant> lendSlots(const state::VmId &borrower, const LoanRequest &request,
                                        Account &account, state::Instant now);
    std::optional<QuotaGrant> lendRate(const state::VmId &borrower, const LoanRequest &request,
                                       Account &account, state::Instant now);
    void acceptGrant(const state::VmId &lender, const QuotaGrant &grant, state::Instant now);
    void applyStatement(const QuotaMessage &message, state::Instant now);
    void writeStatement(const QuotaMessage &request, Outbox &outbox, state::Instant now);
    void requestStatements(Outbox &outbox, state::Instant now);
    void endRecoveryIfComplete(state::Instant now);
    QuotaMessage &messageTo(const state::VmId &peer, Outbox &outbox) const;
    static std::vector<OutgoingQuotaMessage> collect(Outbox outbox);

    state::VmId self;
    std::uint64_t incarnation;
    QuotaSettings settings;
    Roster roster;
    std::unordered_map<QuotaKey, QuotaLimits> rows; // the whole table
    // Only accounts of which this entry is a home, or that have had requests here.
    std::unordered_map<QuotaKey, Account> accounts;
    std::set<QuotaKey> activeAccounts;  // accounts that tick processes
    QuotaKey lastRequestingAccount = 0; // round-robin position over the accounts
    double loanRequestBudget;
    state::Instant loanRequestBudgetFilledUntil{};
    std::uint64_t nextSequence = 1;
    std::map<state::VmId, std::uint64_t> peerIncarnations; // highest seen of each peer

    // After a start, the loans that an earlier process gave are unknown. The entry lends nothing
    // and spends only its floors until every entry of the roster has stated what it holds, or until
    // all loans have expired.
    bool recovering = true;
    state::Instant recoveryEndsAt;
    std::set<state::VmId> missingStatements;
    state::Instant nextStatementRequest{};
};

} // namespace lavenderthread::coordination::quota
