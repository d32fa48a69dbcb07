// One row of the operators' table: what a client account may claim of the fleet for one work class.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>

namespace lavenderthread::state {

// Key of a row; one row a key.
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

// Immutable; edits make a new row with a higher version. 0 as a limit means "no limit of its own".
struct TableRow
{
    TableKey key;
    std::uint32_t weight = 1; // share among rows with a backlog, 1 to 10 000
    std::uint32_t fleetShareMilli =
            1000;                    // ceiling on the share of the fleet, thousandths, 1 to 1000
    std::uint32_t inFlightLimit = 0; // requests at once over all entries
    std::uint64_t tokensPerSecondLimit = 0;      // prompt and output tokens over all entries
    std::uint32_t deadlineMilliseconds = 60'000; // for requests that name none; 1 to 86 400 000
    std::uint8_t priority = 5;                   // 0 goes first, 9 last
    std::uint64_t version =
            0; // log index of the edit that made the row; 0 only before it is stored

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
