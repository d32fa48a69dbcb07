// Chooses homes by rendezvous hashing and splits limits between them.
#include "coordination/quota/Homes.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace lavenderthread::coordination::quota {

namespace {
// Allows an account one home in each of three failure domains, if its limit has enough units.
constexpr std::uint64_t minimumHomes = 3;
constexpr std::uint64_t smallFleetEntries = 18;
constexpr std::uint64_t slotsPerHome = 4;
constexpr std::uint64_t tokenRatePerHome = 500;

// A limit of 0 means no limit, which needs no home.
std::uint64_t wantedHomes(std::uint64_t limit, std::uint64_t unitsPerHome)
{
    return std::max(limit / unitsPerHome, std::min(minimumHomes, limit));
}
} // namespace

QuotaKey quotaKeyOf(const state::TableKey &key)
{
    const std::string &account = key.account.value();
    const std::string &workClass = key.workClass.value();
    const auto seed = XXH64(account.data(), account.size(), 0);
    return XXH64(workClass.data(), workClass.size(), seed);
}

std::uint32_t homeCount(const QuotaLimits &limits, std::size_t rosterSize,
                        std::uint32_t maximumHomes)
{
    // In a large fleet the directory sends the callers of an account to few entries, and each part
    // that does not match the demand costs messages. Parts therefore grow with the fleet.
    const std::uint64_t scale = std::max<std::uint64_t>(rosterSize / smallFleetEntries, 1);
    const auto slots = wantedHomes(limits.inFlight, slotsPerHome * scale);
    const auto rate = wantedHomes(limits.tokensPerSecond, tokenRatePerHome * scale);
    const auto wanted = slots == 0 || rate == 0 ? std::max(slots, rate) : std::min(slots, rate);
    return static_cast<std::uint32_t>(
            std::min({wanted, std::uint64_t{rosterSize}, std::uint64_t{maximumHomes}}));
}

std::vector<state::VmId> homesOf(QuotaKey key, const Roster &roster, std::uint32_t count)
{
    std::vector<std::pair<std::uint64_t, const state::VmId *>> scores;
    scores.reserve(roster.entries.size());
    for (const state::VmId &entry : roster.entries)
        scores.emplace_back(XXH64(entry.value().data(), entry.value().size(), key), &entry);
    const auto taken = std::min<std::size_t>(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(taken),
                      scores.end(), std::greater<>());
    std::vector<state::VmId> homes;
    homes.reserve(taken);
    for (std::size_t rank = 0; rank < taken; ++rank)
        homes.push_back(*scores[rank].second);
    return homes;
}

std::uint64_t partOf(std::uint64_t limit, std::uint32_t count, std::uint32_t rank)
{
    return limit / count + (rank < limit % count ? 1 : 0);
}

} // namespace lavenderthread::coordination::quota
