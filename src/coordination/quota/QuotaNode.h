// Global limits as one entry keeps them: spends its own slices, borrows from the homes of an
// account when it runs short, and lends as a home itself. One object a process, for all accounts.
//
// Order of calls: construct; configure with the roster; setRow for each row of the table; then
// tick every tickInterval or so, receive for each message, and for requests setDemand (what waits),
// tryStart, charge, finish. Messages returned are to be sent; any of them may get lost.
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

// What an account wants at this entry beyond what runs already.
struct QuotaDemand
{
    std::uint64_t waitingRequests = 0;
    std::uint64_t tokensPerSecond = 0; // offered lately, running ones included
    state::Instant latestDeadline;     // of the waiting requests

    auto operator<=>(const QuotaDemand &) const = default;
};

enum class QuotaVerdict { Started, NoSlot, NoTokens };

// One account at one entry, for status pages and tests.
struct QuotaView
{
    std::uint64_t ownSlots = 0; // not lent
    std::uint64_t borrowedSlots = 0;
    std::uint64_t running = 0;
    std::uint64_t ownRate = 0; // tokens a second, not lent
    std::uint64_t borrowedRate = 0;
    double tokens = 0; // that may be spent now

    auto operator<=>(const QuotaView &) const = default;
};

class QuotaNode
{
public:
    QuotaNode(state::VmId self, std::uint64_t incarnation, QuotaSettings settings,
              state::Instant start);

    // `age`: for how long the roster has been in force; it lets parts that the entry gains by it
    // rise sooner. A lower version than the known one is ignored.
    void configure(const Roster &next, state::Duration age, state::Instant now);
    void setRow(const state::TableRow &row, state::Instant now);
    void removeRow(const state::TableKey &key, state::Instant now);

    // Takes a slot until finish, and the tokens for good. A row without a limit always starts.
    QuotaVerdict tryStart(QuotaKey key, std::uint64_t tokens, state::Instant deadline,
                          state::Instant now);
    // Tokens beyond those given to tryStart, as they are made.
    void charge(QuotaKey key, std::uint64_t tokens, state::Instant now);
    // With the same deadline as tryStart.
    void finish(QuotaKey key, state::Instant deadline);
    void setDemand(QuotaKey key, const QuotaDemand &demand);

    std::vector<OutgoingQuotaMessage> tick(state::Instant now);
    std::vector<OutgoingQuotaMessage> receive(const QuotaMessage &message, state::Instant now);

    // The entries to which callers of the account are best steered, first the best.
    std::vector<state::VmId> homes(QuotaKey key) const;
    QuotaView view(QuotaKey key, state::Instant now);
    bool isRecovering() const { return this->recovering; }
    std::size_t accountsHeld() const { return this->accounts.size(); }

private:
    // One limit of one account.
    struct Share
    {
        explicit Share(Dimension dimension)
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
        Share slots{Dimension::InFlight};
        Share rate{Dimension::TokenRate};
        SlotPool pool;
        TokenBucket bucket;
        QuotaDemand demand;
    };

    // What a share needs in all, and what of it can't be given back.
    struct Need
    {
        std::uint64_t units = 0;   // wanted on loan
        std::uint64_t keep = 0;    // not given back up to that; at least `units`
        std::uint64_t inUse = 0;   // running on loan
        state::Instant lastsUntil; // for those in use
        state::Duration hold{0};   // to ask for
    };

    using Outbox = std::map<state::VmId, QuotaMessage>;

    Account &accountOf(QuotaKey key, state::Duration riseDelay, state::Instant now);
    state::Duration settleTime() const;
    bool splitsAlike(const QuotaLimits &left, const QuotaLimits &right) const;
    void updateParts(QuotaKey key, Account &account, state::Duration riseDelay, state::Instant now);
    std::uint32_t homeCountOf(const QuotaLimits &limits) const;
    QuotaLimits limitsOf(QuotaKey key) const;
    std::uint16_t positionOf(const state::VmId &entry) const;
    std::uint64_t keptFrom(const state::VmId &borrower, const Account &account, std::uint64_t part,
                           std::uint64_t ownDemand) const;
    bool isHome(QuotaKey key, const QuotaLimits &limits) const;

    void tickAccount(QuotaKey key, Outbox &outbox, state::Instant now);
    void refillAsks(state::Instant now);
    Need slotNeed(const Account &account, state::Instant now) const;
    Need rateNeed(const Account &account, state::Instant now) const;
    void planAsks(QuotaKey key, const std::vector<std::uint16_t> &homes, Share &share,
                  const Need &need, Outbox &outbox, state::Instant now);
    void renew(QuotaKey key, Share &share, const Need &need, Outbox &outbox, state::Instant now);
    void askMore(QuotaKey key, const std::vector<std::uint16_t> &homes, Share &share,
                 const Need &need, Outbox &outbox, state::Instant now);
    void sendAsk(QuotaKey key, Share &share, const state::VmId &lender, std::uint64_t units,
                 const Need &need, Outbox &outbox, state::Instant now);

    bool greet(const QuotaMessage &message, state::Instant now);
    void answerAsk(const state::VmId &borrower, const QuotaAsk &ask, Outbox &outbox,
                   state::Instant now);
    std::optional<QuotaGrant> lendSlots(const state::VmId &borrower, const QuotaAsk &ask,
                                        Account &account, state::Instant now);
    std::optional<QuotaGrant> lendRate(const state::VmId &borrower, const QuotaAsk &ask,
                                       Account &account, state::Instant now);
    void acceptGrant(const state::VmId &lender, const QuotaGrant &grant, state::Instant now);
    void adoptStatement(const QuotaMessage &message, state::Instant now);
    void writeStatement(const QuotaMessage &hello, Outbox &outbox, state::Instant now);
    void sayHello(Outbox &outbox, state::Instant now);
    void endRecoveryIfKnown(state::Instant now);
    QuotaMessage &messageTo(const state::VmId &peer, Outbox &outbox) const;
    static std::vector<OutgoingQuotaMessage> collect(Outbox outbox);

    state::VmId self;
    std::uint64_t incarnation;
    QuotaSettings settings;
    Roster roster;
    std::unordered_map<QuotaKey, QuotaLimits> rows; // the whole table
    // Only accounts of which this entry is a home, or that want something here.
    std::unordered_map<QuotaKey, Account> accounts;
    std::set<QuotaKey> active; // accounts that tick looks at
    QuotaKey askedLast = 0;    // where the turn of the accounts stands
    double asksLeft;
    state::Instant asksFilledTo{};
    std::uint64_t nextSequence = 1;
    std::map<state::VmId, std::uint64_t> peerIncarnations; // highest seen

    // After a start nobody here knows what an earlier process lent. It lends nothing and spends
    // only its floors until every entry of the roster told what it holds, or all loans have ended.
    bool recovering = true;
    state::Instant recoveredAt;
    std::set<state::VmId> unheard;
    state::Instant nextHello{};
};

} // namespace lavenderthread::coordination::quota
