// Values of the quota protocol. A global limit is split into parts, one for each home entry of the
// account. A home manages its part and lends units of it to entries with more demand.
#pragma once

#include "state/Ids.h"
#include "state/TableRow.h"
#include "state/Time.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace lavenderthread::coordination::quota {

// Identifies a table key in messages: the 64-bit XXH64 of account and work class.
using QuotaKey = std::uint64_t;

QuotaKey quotaKeyOf(const state::TableKey &key);

enum class Dimension : std::uint8_t {
    InFlight,  // unit: concurrent requests
    TokenRate, // unit: tokens per second
};

// 0 means no limit, as in the table.
struct QuotaLimits
{
    std::uint64_t inFlight = 0;
    std::uint64_t tokensPerSecond = 0;

    auto operator<=>(const QuotaLimits &) const = default;
};

struct QuotaSettings
{
    // Longest duration of a loan without renewal. A request may start on a borrowed slot only if
    // its deadline lies before the end of the loan. The slots of a borrower that failed return to
    // the home after this time at the latest.
    state::Duration maximumHold = std::chrono::seconds(120);
    // Duration of token rate loans, and the shortest duration of slot loans.
    state::Duration minimumHold = std::chrono::seconds(10);
    // How often loans are checked for units to return, and how often they are renewed if nothing
    // changes. The latter bounds how late a borrower learns that a home needs its units back.
    state::Duration renewInterval = std::chrono::seconds(2);
    state::Duration steadyRenewInterval = std::chrono::seconds(4);
    // A loan request without an answer is repeated after this time.
    state::Duration answerTimeout = std::chrono::seconds(1);
    // A home that had nothing to lend gets another loan request after this time.
    state::Duration retryInterval = std::chrono::seconds(4);
    // Rate and burst of requests for additional units that an entry sends, over all its accounts.
    // In a large fleet thousands of small accounts have short peaks; this bounds the message cost.
    // Accounts that wait for it are served in turn.
    std::uint32_t loanRequestsPerSecond = 8;
    std::uint32_t loanRequestBurst = 64;
    // Most homes that get a loan request for one limit at the same time. Those that are not known
    // to have spare units may have none.
    std::uint32_t parallelRequestsPerLimit = 6;
    // An entry that lost its part by a change of the roster learns of it within this time, or
    // admits nothing because its table is not confirmed fresh.
    state::Duration rosterFreshness = std::chrono::seconds(12);
    // Capacity of the token bucket, as the time in which the limit fills it.
    state::Duration burst = std::chrono::seconds(1);
    std::uint32_t maximumHomes = 18;
};

// The clock rates of two VMs differ by less than 1/clockDriftDivisor. The borrower shortens the
// duration of a loan by that and the lender lengthens it, so they never use the same units at once.
constexpr std::int64_t clockDriftDivisor = 64;

constexpr state::Duration shortenedByDrift(state::Duration length)
{
    return length - length / clockDriftDivisor;
}

constexpr state::Duration lengthenedByDrift(state::Duration length)
{
    return length + length / clockDriftDivisor + state::Duration(1);
}

// Serializes a list with a length of two bytes. Most messages carry one or two elements, and
// cereal's lengths of eight bytes made up a sixth of them. The short length also bounds the memory
// that a malicious message can make the receiver allocate.
template <typename Archive, typename Value>
void serializeWithShortLength(Archive &archive, std::vector<Value> &values)
{
    auto count = static_cast<std::uint16_t>(std::min<std::size_t>(values.size(), 0xffff));
    archive(count);
    values.resize(count);
    for (Value &value : values)
        archive(value);
}

// Borrower to home: the total that it wants to hold of that home's part. Less than it holds returns
// the rest, which it stopped using before it sent this.
struct LoanRequest
{
    QuotaKey key = 0;
    Dimension dimension = Dimension::InFlight;
    std::uint64_t sequence = 0; // increases with each request of one borrower incarnation
    std::uint64_t units = 0;
    std::uint32_t holdMilliseconds = 0;

    auto operator<=>(const LoanRequest &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->dimension, this->sequence, this->units, this->holdMilliseconds);
    }
};

// Home to borrower: the units that it holds from now on. The duration counts from the time at which
// it sent the loan request.
struct QuotaGrant
{
    QuotaKey key = 0;
    Dimension dimension = Dimension::InFlight;
    std::uint64_t sequence = 0; // of the loan request that this answers
    std::uint64_t units = 0;
    std::uint64_t spare = 0; // units that the home could lend in addition
    std::uint32_t holdMilliseconds = 0;
    bool recalled = false; // the home needs the units: return those not in use

    auto operator<=>(const QuotaGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->dimension, this->sequence, this->units, this->spare,
                this->holdMilliseconds, this->recalled);
    }
};

// One loan that a borrower still holds from a home that restarted and lost its records.
struct QuotaHolding
{
    QuotaKey key = 0;
    Dimension dimension = Dimension::InFlight;
    std::uint64_t units = 0;
    std::uint32_t heldForMilliseconds = 0;

    auto operator<=>(const QuotaHolding &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->dimension, this->units, this->heldForMilliseconds);
    }
};

// All that one process sends to another at a time, combined for all accounts.
struct QuotaMessage
{
    state::VmId from;
    std::uint64_t incarnation = 0; // of the sender; grows with each start
    // Of the receiver, as the sender knows it. Grants and statements for an earlier process are
    // dropped: its successor may have sent requests with the same sequence numbers.
    std::uint64_t forIncarnation = 0;
    bool requestsStatement = false; // the sender lost its records and requests a statement
    bool isStatement = false;       // `holdings` is all that the sender borrows from the receiver
    std::vector<QuotaHolding> holdings;
    std::vector<LoanRequest> loanRequests;
    std::vector<QuotaGrant> grants;

    auto operator<=>(const QuotaMessage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->incarnation, this->forIncarnation, this->requestsStatement,
                this->isStatement);
        serializeWithShortLength(archive, this->holdings);
        serializeWithShortLength(archive, this->loanRequests);
        serializeWithShortLength(archive, this->grants);
    }
};

struct OutgoingQuotaMessage
{
    state::VmId to;
    QuotaMessage message;

    auto operator<=>(const OutgoingQuotaMessage &) const = default;
};

} // namespace lavenderthread::coordination::quota
