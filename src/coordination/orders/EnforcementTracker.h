// Tells of a version: accepted, and in force on k of n entries, with those that are missing. Kept
// by the leader from the versions that entries report when they ask for news.
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
    std::size_t inForce = 0; // entries at the version or above
    std::size_t entries = 0; // that may admit requests
    std::vector<state::VmId> missing;

    bool everywhere() const { return this->missing.empty(); }
    auto operator<=>(const Enforcement &) const = default;
};

class EnforcementTracker
{
public:
    // `lease`: of the entries' freshness. An entry that has not asked for that long admits nothing,
    // so it can't act under an older table and is no longer counted.
    explicit EnforcementTracker(state::Duration freshnessLease)
        : lease(freshnessLease)
    {}

    // A new leader knows nobody; until one lease has passed it counts entries that membership names
    // and that it has not heard of as missing.
    void leaderStarted(const std::vector<state::VmId> &liveEntries, state::Instant now);
    void onFeedRequest(const state::VmId &entry, std::uint64_t version, state::Instant now);
    void onEntryLeft(const state::VmId &entry); // said so itself, after it stopped admitting
    Enforcement enforcementOf(std::uint64_t version, state::Instant now) const;
    void forgetSilent(state::Instant now);

private:
    struct Seen
    {
        std::uint64_t version = 0; // the highest reported
        state::Instant at;         // of the last request
    };

    bool mayAdmit(const Seen &seen, state::Instant now) const
    {
        return now < seen.at + this->lease;
    }

    state::Duration lease;
    std::map<state::VmId, Seen> entries;
};

} // namespace lavenderthread::coordination::orders
