// Tracks on how many entries a table version is in force, and on which it is not. The leader keeps
// this from the versions that entries report when they request the feed.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace lavenderthread::coordination::orders {

struct Enforcement
{
    std::uint64_t version = 0;
    std::size_t inForce = 0; // entries at this version or a newer one
    std::size_t entries = 0; // entries that may admit requests
    std::vector<state::VmId> missing;

    bool inForceEverywhere() const { return this->missing.empty(); }
    auto operator<=>(const Enforcement &) const = default;
};

class EnforcementTracker
{
public:
    // `freshnessLease`: an entry that has not requested the feed for this long admits nothing, so
    // it can't act under an older table and is no longer counted.
    explicit EnforcementTracker(state::Duration freshnessLease)
        : lease(freshnessLease)
    {}

    // A new leader has no reports yet. Until one lease has passed, it counts the entries in the
    // membership that have not reported as missing.
    void leaderStarted(const std::vector<state::VmId> &liveEntries, state::Instant now);
    void onFeedRequest(const state::VmId &entry, std::uint64_t version, state::Instant now);
    void onEntryLeft(const state::VmId &entry); // the entry announced it after it stopped admitting
    Enforcement enforcementOf(std::uint64_t version, state::Instant now) const;
    void removeExpired(state::Instant now);

private:
    struct EntryReport
    {
        std::uint64_t version = 0; // latest reported
        state::Instant reportedAt; // when the latest request came
    };

    bool mayAdmit(const EntryReport &report, state::Instant now) const
    {
        return now < report.reportedAt + this->lease;
    }

    state::Duration lease;
    std::map<state::VmId, EntryReport> entries;
};

} // namespace lavenderthread::coordination::orders
