// Timeouts and limits of the consensus. All members of a cluster must use the same timeouts.
#pragma once

#include "state/Error.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lavenderthread::coordination::consensus {

struct Settings
{
    state::Duration heartbeatInterval = std::chrono::milliseconds(100);
    // A member whose last leader contact is more recent than this grants no vote and does not
    // campaign. Its campaign starts after a random time of one to two election timeouts.
    state::Duration electionTimeout = std::chrono::milliseconds(500);
    // Bound on a member's clock drift against true time, in thousandths.
    std::uint32_t clockDriftPerMille = 10;
    // A leader whose sync takes this long steps down.
    state::Duration diskStallTimeout = std::chrono::seconds(2);

    std::size_t maximumBatchEntries = 1024; // per AppendRequest
    std::size_t maximumBatchBytes = 1U << 20U;
    std::size_t maximumInFlightEntries = 8192; // sent to one member and not yet acknowledged
    std::size_t maximumUncommitted = 65536;    // entries; further proposals are refused
    std::size_t maximumWaitingReads = 65536;
    std::size_t maximumPayloadBytes = 1U << 20U; // per proposal
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maximumSnapshotBytes = 512U << 20U;
    std::size_t compactionEntries = 16384; // a snapshot is due above this many entries in memory
    // A snapshot is also due above this many payload bytes: the size of the last snapshot, clamped
    // to these two limits. Writing snapshots then costs no more than writing the log, and a
    // restarted member has most of the state before a leader tells it what is committed.
    std::size_t minimumCompactionBytes = 32U << 20U;
    std::size_t maximumCompactionBytes = 32U << 20U;
    std::size_t trailingEntries = 4096; // kept before a snapshot for members that lag slightly

    // Error: InvalidArgument, step "consensus.settings".
    state::Result<void> check() const;

    // Length of the leader lease, counted from sending a heartbeat that a quorum answered. A voter
    // withholds its vote for one electionTimeout after receipt on its own clock, which may run
    // fast; the leader's clock may run slow. The lease is shortened by both drifts, so that it
    // ends in true time before any voter may elect another leader.
    state::Duration lease() const;
};

} // namespace lavenderthread::coordination::consensus
