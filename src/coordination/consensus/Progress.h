// Replication state that a leader keeps for one other member.
#pragma once

#include "coordination/consensus/Events.h"
#include "state/Time.h"

#include <cstdint>
#include <optional>

namespace lavenderthread::coordination::consensus {

enum class ProgressMode : std::uint8_t {
    Replicate, // appends are pipelined without waiting, up to maximumInFlightEntries
    Probe,     // an append was rejected: one at a time until one is accepted
    Snapshot,  // the entries it needs are compacted: chunks are sent one at a time
};

struct Progress
{
    ProgressMode mode = ProgressMode::Replicate;
    std::uint64_t match = 0; // last index known to be synced there; never decreases within a term
    std::uint64_t next = 1;  // next index to send; always above match
    // When the current probe or chunk was first sent. Rejections of earlier requests are ignored;
    // otherwise each of many rejected appends would start its own transfer. A retransmission does
    // not change it: with a round trip longer than a heartbeat interval, every response would
    // otherwise count as too old.
    SendStamp awaitedStamp = 0;
    state::Instant chunkSentAt;                      // last transmission of the current chunk
    std::optional<state::Instant> lastAckedSendTime; // send time of the newest answered request

    SnapshotPointer snapshot; // kept until the transfer ends, even if a newer one exists
    std::uint64_t snapshotOffset = 0;
};

} // namespace lavenderthread::coordination::consensus
