// One record an entry.
#include "coordination/orders/EnforcementTracker.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

void EnforcementTracker::leaderStarted(const std::vector<state::VmId> &liveEntries,
                                       state::Instant now)
{
    this->entries.clear();
    for (const state::VmId &entry : liveEntries)
        this->entries.emplace(entry, Seen{0, now});
}

void EnforcementTracker::onFeedRequest(const state::VmId &entry, std::uint64_t version,
                                       state::Instant now)
{
    // A restarted entry reports 0 again: it holds nothing and admits nothing under it, so what its
    // former life reported must not count for it.
    Seen &seen = this->entries[entry];
    seen.version = version;
    seen.at = std::max(seen.at, now);
}

void EnforcementTracker::onEntryLeft(const state::VmId &entry)
{
    this->entries.erase(entry);
}

Enforcement EnforcementTracker::enforcementOf(std::uint64_t version, state::Instant now) const
{
    Enforcement result{version, 0, 0, {}};
    for (const auto &[entry, seen] : this->entries) {
        if (!this->mayAdmit(seen, now))
            continue;
        ++result.entries;
        if (seen.version >= version)
            ++result.inForce;
        else
            result.missing.push_back(entry);
    }
    return result;
}

void EnforcementTracker::forgetSilent(state::Instant now)
{
    std::erase_if(this->entries,
                  [&](const auto &each) { return !this->mayAdmit(each.second, now); });
}

} // namespace lavenderthread::coordination::orders
