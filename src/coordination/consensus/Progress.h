// What a leader knows of one other member.
#pragma once

#include "coordination/consensus/Events.h"
#include "state/Time.h"

#include <cstdint>
#include <optional>

namespace lavenderthread::coordination::consensus {

enum class ProgressMode : std::uint8_t {
    Replicate, // appends go out without waiting for answers, up to maximumInFlightEntries
    Probe,     // an append was refused: one at a time until one is accepted
    Snapshot,  // the entries it needs are compacted: pieces go out one at a time
};

struct Progress
{
    ProgressMode mode = ProgressMode::Replicate;
    std::uint64_t match = 0; // synced there up to here; never goes back within a term
    std::uint64_t next = 1;  // sent next; always above match
    // When the present probe or piece was first sent. Refusals of anything sent earlier are
    // ignored, or each of many refused appends would start a transfer of its own. Sending again
    // keeps it: a round trip longer than a heartbeat must not make every answer too old.
    SendStamp waitingFor = 0;
    state::Instant pieceSent;            // last sending of the present piece
    std::optional<state::Instant> acked; // sending time of the newest request that it answered

    SnapshotPointer snapshot; // kept until it is there, also when a newer one is taken
    std::uint64_t snapshotOffset = 0;
};

} // namespace lavenderthread::coordination::consensus
