// One row of the operators' table: the limits and the share of the fleet that a client account has
// for one work class.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace lavenderthread::state {

// Unique key of a row.
struct TableKey
{
    ClientAccountId account;
    WorkClass workClass;

    auto operator<=>(const TableKey &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->account, this->workClass);
    }
};

// Immutable; an edit creates a new row with a higher version. A limit of 0 means that the row sets
// no limit of its own.
struct TableRow
{
    TableKey key;
    std::uint32_t weight = 1;               // share among backlogged rows, 1 to 10 000
    std::uint32_t fleetShareMilli = 1000;   // maximum share of the fleet in thousandths, 1 to 1000
    std::uint32_t inFlightLimit = 0;        // concurrent requests over all entries
    std::uint64_t tokensPerSecondLimit = 0; // prompt and output tokens a second over all entries
    std::uint32_t deadlineMilliseconds = 60'000; // for requests without a deadline; 1 to 86 400 000
    std::uint8_t priority = 5;                   // 0 (highest) to 9 (lowest)
    // Log index of the edit that created the row; 0 only before it is stored.
    std::uint64_t version = 0;

    auto operator<=>(const TableRow &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->weight, this->fleetShareMilli, this->inFlightLimit,
                this->tokensPerSecondLimit, this->deadlineMilliseconds, this->priority,
                this->version);
    }
};

} // namespace lavenderthread::state
