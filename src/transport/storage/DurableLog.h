// The member's log, hard state and snapshots in one data folder. Appends gather in memory; sync()
// writes them at once and syncs, and only what was synced may be acknowledged. One thread at a
// time.
#pragma once

#include "state/Error.h"
#include "state/log/LogEntry.h"
#include "transport/storage/File.h"
#include "transport/storage/FileHooks.h"
#include "transport/storage/LogRecovery.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lavenderthread::transport::storage {

struct DurableLogSettings
{
    std::string folder;
    std::string newIdentity;               // kept in a folder that has no log yet; never empty
    std::size_t segmentBytes = 16U << 20U; // a segment that is larger is closed
};

class DurableLog
{
public:
    struct Opened
    {
        std::unique_ptr<DurableLog> log;
        Recovered recovered; // its identity says whose folder it is
    };

    // Errors: Unavailable if another process has the folder; Corrupt; StorageFailed.
    static state::Result<Opened> open(DurableLogSettings settings,
                                      FileHooks hooks = FileHooks::system());

    // Replace all entries from the first one's index on. Error InvalidArgument for a gap.
    state::Result<void> append(std::span<const state::log::LogEntry> entries);
    state::Result<void> truncateFrom(std::uint64_t index);
    state::Result<void> saveHardState(const state::log::HardState &hardState);
    // After success everything given so far is durable. After any failure the log stays failed:
    // what the disk holds is unknown, and only a new open() can find out.
    state::Result<void> sync();

    // A received snapshot that replaces the whole log; durable after success.
    state::Result<void> installSnapshot(const state::log::LogSnapshot &snapshot);
    // A snapshot of the own state. Durable after success; entries stay until compact().
    state::Result<void> saveSnapshot(const state::log::LogSnapshot &snapshot);
    // For a snapshot that writeSnapshotFile() wrote on another thread.
    void snapshotSaved(const state::log::LogPosition &last);
    // Drops segments that hold nothing after `index` (at most the snapshot's), and old snapshots.
    state::Result<void> compact(std::uint64_t index);

    const std::optional<state::Error> &failure() const { return this->failed; }
    const std::string &folder() const { return this->settings.folder; }
    const FileHooks &fileHooks() const { return this->hooks; }
    std::uint64_t lastIndex() const { return this->last; }
    std::uint64_t bytesWritten() const { return this->written; }
    std::uint64_t syncs() const { return this->syncCount; }
    std::size_t segments() const { return this->closed.size() + 1; }

private:
    DurableLog(DurableLogSettings settings, FileHooks hooks);

    state::Result<void> lockFolder();
    state::Result<void> repair(const RecoveredFolder &found);
    state::Result<void> startSegment();
    state::Result<void> writeBuffer();
    void add(RecordBody body);
    state::Result<void> removeFile(const std::string &path);
    // Latches a failure and passes the result on.
    state::Result<void> latch(state::Result<void> result);

    DurableLogSettings settings;
    FileHooks hooks;
    File lock;    // holds the folder's lock as long as it is open
    File current; // segment that is written; its last bytes may not be synced
    std::uint64_t currentSegment = 0;
    std::uint64_t currentHighest = 0; // highest index of an entry in it
    std::size_t currentBytes = 0;
    std::vector<SegmentSummary> closed; // earlier segments, all synced, ascending
    state::log::HardState hardState;
    std::string identity;
    std::string buffer;              // records not yet written
    std::uint64_t nextRecord = 0;    // number of the next one
    std::uint64_t syncedThrough = 0; // records below it are synced
    std::uint64_t last = 0;          // index of the last entry, or of the snapshot
    std::uint64_t snapshotIndex = 0;
    std::uint64_t written = 0; // bytes since open
    std::uint64_t syncCount = 0;
    std::optional<state::Error> failed;
};

} // namespace lavenderthread::transport::storage
