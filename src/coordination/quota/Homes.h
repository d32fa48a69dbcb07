// Which entries are homes of an account, and how its limits are split between them. Every entry
// works this out alike from the same roster, without a message.
#pragma once

#include "coordination/quota/QuotaTypes.h"

#include <cstdint>
#include <vector>

namespace lavenderthread::coordination::quota {

// The entries that the operators count on, dead ones included: not the live view, which two sides
// of a partition see differently and would split the limit twice by.
struct Roster
{
    std::vector<state::VmId> entries; // sorted, each once
    std::uint64_t version = 0;        // of the log; an older one is ignored

    auto operator<=>(const Roster &) const = default;
};

// Number of homes over which the limits are split: enough that the loss of one costs little, but
// each with a part worth having of every limit. Both limits share their homes, or an entry with
// slots could starve for tokens.
std::uint32_t homeCount(const QuotaLimits &limits, std::size_t rosterSize,
                        std::uint32_t maximumHomes);

// The first `count` entries by rendezvous hash.
std::vector<state::VmId> homesOf(QuotaKey key, const Roster &roster, std::uint32_t count);

// Units of the home at `rank`; the parts add up to `limit`.
std::uint64_t partOf(std::uint64_t limit, std::uint32_t count, std::uint32_t rank);

} // namespace lavenderthread::coordination::quota
