// Times and bounds of the consensus. Every member of one cluster runs with the same times.
#pragma once

#include "state/Error.h"
#include "state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lavenderthread::coordination::consensus {

struct Settings
{
    state::Duration heartbeat = std::chrono::milliseconds(100);
    // A member that heard its leader less than this ago votes for nobody and does not campaign; the
    // campaign starts after one to two of these.
    state::Duration electionTimeout = std::chrono::milliseconds(500);
    // A member's clock gains or loses at most this many thousandths of true time.
    std::uint32_t clockDriftPerMille = 10;
    state::Duration diskStall = std::chrono::seconds(2); // a leader whose sync takes longer resigns

    std::size_t maximumBatchEntries = 1024; // of one AppendRequest
    std::size_t maximumBatchBytes = 1U << 20U;
    std::size_t maximumInFlightEntries = 8192; // sent to one member and not answered
    std::size_t maximumUncommitted = 65536;    // entries; more proposals are refused
    std::size_t maximumWaitingReads = 65536;
    std::size_t maximumPayloadBytes = 1U << 20U; // of one proposal
    std::size_t snapshotPieceBytes = 256U << 10U;
    std::size_t maximumSnapshotBytes = 512U << 20U;
    std::size_t compactionEntries = 16384; // entries in memory that make a snapshot due
    // Payload bytes that do: as many as the last snapshot has, within these two. Writing snapshots
    // then costs no more than writing the log, and a member that starts again holds most of the
    // state before a leader has told it what is committed.
    std::size_t compactionLeastBytes = 32U << 20U;
    std::size_t compactionBytes = 32U << 20U;
    std::size_t trailingEntries = 4096; // kept behind a snapshot for members a little behind

    // Error: InvalidArgument, step "consensus.settings".
    state::Result<void> check() const;

    // How long after sending a heartbeat that a quorum answered the leader may act on it. A voter's
    // promise ends one electionTimeout after receipt on its own clock, which may run fast; the
    // leader's clock may run slow. Both drifts are taken off, so that the lease has ended in true
    // time before any voter may elect another leader.
    state::Duration lease() const;
};

} // namespace lavenderthread::coordination::consensus
