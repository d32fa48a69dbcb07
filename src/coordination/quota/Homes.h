// Determines which entries are homes of an account, and how its limits are split between them. All
// entries compute the same result from the same roster, without messages.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::quota {

// The entries that the operators configured, including failed ones. The view of live entries is not
// used: it differs between the two sides of a partition, and each would split the whole limit.
struct Roster
{
    std::vector<state::VmId> entries; // sorted, each once
    std::uint64_t version = 0;        // of the log; an older roster is ignored

    auto operator<=>(const Roster &) const = default;
};

// Returns the number of homes over which the limits are split: enough that the loss of one costs
// little, but few enough that each has a useful part of every limit. Both limits use the same
// homes; otherwise an entry with slots could starve for tokens.
std::uint32_t homeCount(const QuotaLimits &limits, std::size_t rosterSize,
                        std::uint32_t maximumHomes);

// Returns the first `count` entries by rendezvous hash.
std::vector<state::VmId> homesOf(QuotaKey key, const Roster &roster, std::uint32_t count);

// Returns the units of the home at `rank`. The parts add up to `limit`.
std::uint64_t partOf(std::uint64_t limit, std::uint32_t count, std::uint32_t rank);

} // namespace lavenderthread::coordination::quota
