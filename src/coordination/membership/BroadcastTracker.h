// Tracks the parts of a broadcast that this member has handed to others until they acknowledge
// them. Without it, a datagram that is lost, or that goes to a member which has just died, leaves a
// part of the fleet to the gossip rounds.
#pragma once

#include "coordination/endpoints/EndpointRecord.h"
#include "state/Ids.h"
#include "state/Time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <vector>

namespace lavenderthread::coordination::membership {

// All member keys from `first` to `last`, both included.
struct MemberKeyRange
{
    std::uint64_t first = 0;
    std::uint64_t last = std::numeric_limits<std::uint64_t>::max();

    bool contains(std::uint64_t key) const { return key >= this->first && key <= this->last; }
    auto operator<=>(const MemberKeyRange &) const = default;
};

// Records for all members in a range, sent to one of them.
struct BroadcastPart
{
    std::vector<endpoints::EndpointRecord> records;
    MemberKeyRange range;
    state::VmId receiver;
    unsigned sends = 1; // so far, to this receiver and those before
};

struct BroadcastTrackerSettings
{
    state::Duration acknowledgementTimeout = std::chrono::milliseconds(200);
    unsigned maximumSends = 4; // then gossip rounds and the exchange repair what is missing
};

class BroadcastTracker
{
public:
    BroadcastTracker() = default;
    explicit BroadcastTracker(const BroadcastTrackerSettings &chosen)
        : settings(chosen)
    {}

    // Returns the sequence that identifies the part in its acknowledgement.
    std::uint32_t track(BroadcastPart part, state::Instant now);
    void recordAcknowledgement(std::uint32_t sequence, const state::VmId &sender);
    // Removes and returns the parts that are overdue and may be sent again.
    std::vector<BroadcastPart> takeOverdue(state::Instant now);
    std::size_t size() const { return this->parts.size(); }

private:
    struct TrackedPart
    {
        BroadcastPart part;
        state::Instant dueAt;
    };

    BroadcastTrackerSettings settings;
    std::map<std::uint32_t, TrackedPart> parts; // by sequence
    std::uint32_t lastSequence = 0;
};

} // namespace lavenderthread::coordination::membership
