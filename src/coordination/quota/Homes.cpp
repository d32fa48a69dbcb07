// Rendezvous choice of homes and split of limits.
#include "coordination/quota/Homes.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace lavenderthread::coordination::quota {

namespace {
// Every account keeps a home in each of three failure domains, as far as its limit goes round.
constexpr std::uint64_t leastHomes = 3;
constexpr std::uint64_t smallFleetEntries = 18;
constexpr std::uint64_t slotsWorthAHome = 4;
constexpr std::uint64_t tokenRateWorthAHome = 500;

// 0 units means no limit, which asks for no home.
std::uint64_t wantedHomes(std::uint64_t limit, std::uint64_t worth)
{
    return std::max(limit / worth, std::min(leastHomes, limit));
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
    // In a large fleet the directory steers an account to few entries, and each part that is out
    // of balance costs messages: parts grow with the fleet.
    const std::uint64_t scale = std::max<std::uint64_t>(rosterSize / smallFleetEntries, 1);
    const auto slots = wantedHomes(limits.inFlight, slotsWorthAHome * scale);
    const auto rate = wantedHomes(limits.tokensPerSecond, tokenRateWorthAHome * scale);
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
