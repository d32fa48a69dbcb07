// Records of the durable log: a header with number and checksum, then a body. Records are written
// in batches; between two batches stands a sync.
#pragma once

#include "state/Error.h"
#include "state/log/LogEntry.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lavenderthread::transport::storage {

constexpr std::uint32_t logFormatVersion = 2; // older ones are read too
constexpr std::uint32_t lastIndexFormatVersion = 2;
constexpr std::size_t recordHeaderBytes = 32;
constexpr std::size_t maximumRecordBytes = 64U << 20U;

// First record of every segment, so that older segments can go without taking anything with them.
struct SegmentStart
{
    std::uint32_t formatVersion = logFormatVersion;
    std::uint64_t segment = 0; // number in its file name
    std::string identity;      // of the member that the folder belongs to
    state::log::HardState hardState;
    std::uint64_t lastIndex = 0; // of the log before this segment; format 2 on

    auto operator<=>(const SegmentStart &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->formatVersion, this->segment, this->identity, this->hardState);
        if (this->formatVersion >= lastIndexFormatVersion)
            archive(this->lastIndex);
    }
};

// Entries from `fromIndex` on are dropped.
struct Truncation
{
    std::uint64_t fromIndex = 0;
    auto operator<=>(const Truncation &) const = default;
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->fromIndex);
    }
};

// Written right after a sync, itself without one: says that all records before it are synced.
struct SyncMark
{
    auto operator<=>(const SyncMark &) const = default;
    template <typename Archive>
    void serialize(Archive &)
    {}
};

using RecordBody = std::variant<SegmentStart, state::log::LogEntry, state::log::HardState,
                                Truncation, SyncMark>;

struct LogRecord
{
    std::uint64_t number = 0;        // contiguous over all segments
    std::uint64_t syncedThrough = 0; // records below it were synced before this one was written
    RecordBody body;

    auto operator<=>(const LogRecord &) const = default;
};

void appendRecord(std::string &buffer, const LogRecord &record);

// What one segment's bytes hold.
struct SegmentScan
{
    std::vector<LogRecord> records;
    std::size_t goodBytes = 0; // length of the records that are whole and in order
    // Greatest syncedThrough of any whole record, also of ones behind the first bad byte.
    std::uint64_t syncedThrough = 0;
    bool whole = false; // no bytes follow the good ones
};

SegmentScan scanSegment(std::string_view bytes);

// Checksum of records and snapshots; XXH3, 64 bits.
std::uint64_t checksum(std::string_view bytes);

} // namespace lavenderthread::transport::storage
