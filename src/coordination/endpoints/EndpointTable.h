// All endpoint records that one entry knows. Records of endpoints that left or expired are
// kept until forget() drops them.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "state/Time.h"

#include <map>

namespace lavenderthread::coordination::endpoints {

struct EndpointEntry
{
    EndpointRecord record;
    std::uint64_t key = 0;         // identifies the record in the full-state exchange
    std::uint64_t fingerprint = 0; // of `record`; cached so that digests need no hashing
    state::Instant changedAt;
    state::Instant coldUntil{}; // of record.cold, counted from its receipt

    // Instant{} if the present incarnation has not been cold.
    state::Instant presentColdUntil() const
    {
        const bool isPresent = this->record.cold.incarnation == this->record.incarnation;
        return isPresent ? this->coldUntil : state::Instant{};
    }
    // The cold mark with the time that is left now.
    ColdMark coldMarkAt(state::Instant now) const;
};

std::uint64_t endpointKey(const state::EndpointId &id);

class EndpointTable
{
public:
    // Merges `update` into the table. For an unknown endpoint, an expired record and a short form
    // are ignored unless they are a deregistration or carry a drain mark: entries forget ended
    // records at different times and would send them to each other forever.
    MergeResult apply(const EndpointRecord &update, state::Instant now);
    // Drops records that have been Left or Expired for longer than `retention` and are not drained.
    // Returns whether any was dropped.
    bool forget(state::Instant now, state::Duration retention);

    const EndpointEntry *find(const state::EndpointId &id) const;
    const std::map<state::EndpointId, EndpointEntry> &entries() const { return this->records; }

private:
    std::map<state::EndpointId, EndpointEntry> records;
};

} // namespace lavenderthread::coordination::endpoints
