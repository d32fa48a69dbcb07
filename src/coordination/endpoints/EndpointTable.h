// All endpoint records that one entry knows, ended ones included until they are forgotten.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "state/Time.h"

#include <map>

namespace lavenderthread::coordination::endpoints {

struct EndpointEntry
{
    EndpointRecord record;
    std::uint64_t key = 0;         // names the record in the full-state exchange
    std::uint64_t fingerprint = 0; // of the record, kept so that digests need no hashing
    state::Instant changedAt;
};

std::uint64_t endpointKey(const state::EndpointId &id);

class EndpointTable
{
public:
    // Records that only tell of an end which this entry never saw begin are not taken in: they
    // would travel between entries for good, each forgetting them at another time.
    MergeResult apply(const EndpointRecord &news, state::Instant now);
    // Drops records that ended longer than `kept` ago and carry no drain mark in force.
    bool forget(state::Instant now, state::Duration kept);

    const EndpointEntry *find(const state::EndpointId &id) const;
    const std::map<state::EndpointId, EndpointEntry> &entries() const { return this->records; }

private:
    std::map<state::EndpointId, EndpointEntry> records;
};

} // namespace lavenderthread::coordination::endpoints
