// Reads a data folder back: what the member had, what may not have been synced, and whether a bad
// record is the torn end of the last write or damage to something that was acknowledged.
#pragma once

#include "state/Error.h"
#include "state/log/LogEntry.h"
#include "transport/storage/FileHooks.h"
#include "transport/storage/LogRecord.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::transport::storage {

struct Recovered
{
    std::string identity; // empty for a folder without a log
    state::log::HardState hardState;
    std::optional<state::log::LogSnapshot> snapshot;
    std::vector<state::log::LogEntry> entries; // contiguous, from behind the snapshot
    std::size_t segmentsPassedOver = 0;        // never used, or before a gap
};

// A segment that is whole and in use.
struct SegmentSummary
{
    std::uint64_t segment = 0;
    std::uint64_t highestIndex = 0; // of its entries; 0 if it has none
};

struct RecoveredFolder
{
    Recovered recovered;
    std::vector<SegmentSummary> segments;
    std::uint64_t nextRecord = 0;
    std::uint64_t nextSegment = 1;
    bool entriesDiscarded = false; // the snapshot replaces all entries on the disk
    // Records of the last write, perhaps never synced; to be written again before anyone relies on
    // them: after a failed sync the kernel may hold pages as clean that never reached the disk.
    std::vector<LogRecord> unsettled;
    std::optional<std::size_t> tornAt;    // length to which the last segment is to be cut
    std::vector<std::uint64_t> removable; // segments that nothing is read from
    std::vector<std::string> temporary;   // names of files that a writer left behind
};

// Errors: Corrupt (tells the file and what to do), StorageFailed.
state::Result<RecoveredFolder> recoverFolder(const FileHooks &hooks, const std::string &folder);

std::string segmentPath(const std::string &folder, std::uint64_t segment);

} // namespace lavenderthread::transport::storage
