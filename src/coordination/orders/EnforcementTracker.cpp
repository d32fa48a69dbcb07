// Keeps the latest report of each entry.
#include "coordination/orders/EnforcementTracker.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

void EnforcementTracker::leaderStarted(const std::vector<state::VmId> &liveEntries,
                                       state::Instant now)
{
    this->entries.clear();
    for (const state::VmId &entry : liveEntries)
        this->entries.emplace(entry, EntryReport{0, now});
}

void EnforcementTracker::onFeedRequest(const state::VmId &entry, std::uint64_t version,
                                       state::Instant now)
{
    // A restarted entry reports 0: it has no table and admits nothing, so the version reported
    // before its restart must not count.
    EntryReport &report = this->entries[entry];
    report.version = version;
    report.reportedAt = std::max(report.reportedAt, now);
}

void EnforcementTracker::onEntryLeft(const state::VmId &entry)
{
    this->entries.erase(entry);
}

Enforcement EnforcementTracker::enforcementOf(std::uint64_t version, state::Instant now) const
{
    Enforcement result{version, 0, 0, {}};
    for (const auto &[entry, report] : this->entries) {
        if (!this->mayAdmit(report, now))
            continue;
        ++result.entries;
        if (report.version >= version)
            ++result.inForce;
        else
            result.missing.push_back(entry);
    }
    return result;
}

void EnforcementTracker::removeExpired(state::Instant now)
{
    std::erase_if(this->entries,
                  [&](const auto &each) { return !this->mayAdmit(each.second, now); });
}

} // namespace lavenderthread::coordination::orders
