// Values of the quota protocol. A global limit is split into parts, one for each home entry of the
// account; a home is the broker of its part and lends slices of it to entries with more demand.
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

// Stands for a table key in messages; 64 bits of XXH64 over account and work class.
using QuotaKey = std::uint64_t;

QuotaKey quotaKeyOf(const state::TableKey &key);

enum class Dimension : std::uint8_t {
    InFlight,  // units are requests at once
    TokenRate, // units are tokens a second
};

// 0 means "no limit", as in the table.
struct QuotaLimits
{
    std::uint64_t inFlight = 0;
    std::uint64_t tokensPerSecond = 0;

    auto operator<=>(const QuotaLimits &) const = default;
};

struct QuotaSettings
{
    // Longest time for which a slice is lent without renewal. A request may start on a borrowed
    // slot only if its deadline lies before the end of the loan; a lost borrower's slots come back
    // after this time at the latest.
    state::Duration maximumHold = std::chrono::seconds(120);
    // Loans of token rate, and the least hold of slots.
    state::Duration minimumHold = std::chrono::seconds(10);
    // How often loans are looked at to give something back, and how often they are renewed if
    // nothing changes. The latter is how long it takes a borrower to hear that a home is short.
    state::Duration renewInterval = std::chrono::seconds(2);
    state::Duration steadyRenewInterval = std::chrono::seconds(4);
    // An ask without an answer is repeated after this time.
    state::Duration answerTimeout = std::chrono::seconds(1);
    // A home that had nothing to lend is asked again after this time.
    state::Duration retryInterval = std::chrono::seconds(4);
    // Asks for more that an entry sends, for all its accounts. In a large fleet thousands of small
    // accounts peak for a moment; this bounds what that costs, and who waits for it waits in turn.
    std::uint32_t asksPerSecond = 8;
    std::uint32_t asksAtOnce = 64;
    // Homes asked at once on the chance that they have something.
    std::uint32_t homesAskedAtOnce = 6;
    // An entry that lost its part by a change of the roster knows of it within this time, or
    // admits nothing (the table is not confirmed fresh).
    state::Duration rosterFreshness = std::chrono::seconds(12);
    // Tokens that may be saved up, as the time in which the limit would give them.
    state::Duration burst = std::chrono::seconds(1);
    std::uint32_t maximumHomes = 18;
};

// The clocks of two VMs differ in speed by less than one part in this many. Whoever uses a slice
// counts its time shorter by that, whoever lent it longer, so the two never use it both.
constexpr std::int64_t clockDriftParts = 64;

constexpr state::Duration shortenedByDrift(state::Duration length)
{
    return length - length / clockDriftParts;
}

constexpr state::Duration lengthenedByDrift(state::Duration length)
{
    return length + length / clockDriftParts + state::Duration(1);
}

// A list with a length of two bytes. Most messages carry one or two entries, and the eight bytes of
// cereal's own lengths were a sixth of them; a hostile length can't ask for much memory either.
template <typename Archive, typename Value>
void serializeShort(Archive &archive, std::vector<Value> &values)
{
    auto count = static_cast<std::uint16_t>(std::min<std::size_t>(values.size(), 0xffff));
    archive(count);
    values.resize(count);
    for (Value &value : values)
        archive(value);
}

// Borrower to home: how much it wants to hold of that home's part, all told. Less than it holds
// gives the rest back: it stopped using the rest before it sent this.
struct QuotaAsk
{
    QuotaKey key = 0;
    Dimension dimension = Dimension::InFlight;
    std::uint64_t sequence = 0; // grows with every ask of one incarnation of the borrower
    std::uint64_t units = 0;
    std::uint32_t holdMilliseconds = 0;

    auto operator<=>(const QuotaAsk &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->dimension, this->sequence, this->units, this->holdMilliseconds);
    }
};

// Home to borrower: what it holds from now on, for so long since it sent the ask.
struct QuotaGrant
{
    QuotaKey key = 0;
    Dimension dimension = Dimension::InFlight;
    std::uint64_t sequence = 0; // of the ask
    std::uint64_t units = 0;
    std::uint64_t spare = 0; // what the home could lend besides
    std::uint32_t holdMilliseconds = 0;
    bool recalled = false; // the home needs it itself: give back what is not in use

    auto operator<=>(const QuotaGrant &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->dimension, this->sequence, this->units, this->spare,
                this->holdMilliseconds, this->recalled);
    }
};

// One loan that a borrower still holds of a home which lost its memory.
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

// Everything that one process has to tell another at once; all its accounts share the message.
struct QuotaMessage
{
    state::VmId from;
    std::uint64_t incarnation = 0; // of the sender; grows with each start
    // Of the receiver as the sender knows it. Grants and statements for an earlier process are not
    // taken: its successor may have asked under the same numbers.
    std::uint64_t forIncarnation = 0;
    bool hello = false;     // the sender lost its loans out and asks for a statement
    bool statement = false; // `holdings` is all that the sender holds of the receiver
    std::vector<QuotaHolding> holdings;
    std::vector<QuotaAsk> asks;
    std::vector<QuotaGrant> grants;

    auto operator<=>(const QuotaMessage &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->incarnation, this->forIncarnation, this->hello, this->statement);
        serializeShort(archive, this->holdings);
        serializeShort(archive, this->asks);
        serializeShort(archive, this->grants);
    }
};

struct OutgoingQuotaMessage
{
    state::VmId to;
    QuotaMessage message;

    auto operator<=>(const OutgoingQuotaMessage &) const = default;
};

} // namespace lavenderthread::coordination::quota
