// Opening repairs the folder before it says what it found; every later write goes to one segment
// that this process has started itself.
#include "transport/storage/DurableLog.h"

#include "transport/storage/FolderNames.h"
#include "transport/storage/SnapshotFile.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace lavenderthread::transport::storage {

using state::ErrorCode;
using state::makeError;
using state::Result;

DurableLog::DurableLog(DurableLogSettings settings, FileHooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
{}

Result<DurableLog::Opened> DurableLog::open(DurableLogSettings settings, FileHooks hooks)
{
    if (settings.folder.empty() || settings.newIdentity.empty())
        return makeError(ErrorCode::InvalidArgument, "log.open", "folder and identity are needed");
    BOOST_OUTCOME_TRYV(createFolder(hooks, settings.folder));
    std::unique_ptr<DurableLog> log(new DurableLog(std::move(settings), std::move(hooks)));
    BOOST_OUTCOME_TRYV(log->lockFolder());
    BOOST_OUTCOME_TRY(RecoveredFolder found, recoverFolder(log->hooks, log->settings.folder));
    BOOST_OUTCOME_TRYV(log->repair(found));
    found.recovered.identity = log->identity;
    return Opened{std::move(log), std::move(found.recovered)};
}

// Two processes that append to one segment would each overwrite what the other acknowledged. The
// kernel drops the lock when its holder ends in any way, so none is ever left behind.
Result<void> DurableLog::lockFolder()
{
    const std::string path = this->settings.folder + "/" + std::string(lockName);
    BOOST_OUTCOME_TRY(this->lock, File::open(this->hooks, path, O_RDWR | O_CREAT));
    if (this->hooks.lock(this->lock.descriptor()) != 0)
        return makeError(ErrorCode::Unavailable, "log.lock",
                         "another process uses this data folder", path);
    return state::outcome::success();
}

Result<void> DurableLog::repair(const RecoveredFolder &found)
{
    const Recovered &recovered = found.recovered;
    const std::string &folder = this->settings.folder;
    for (const std::string &name : found.temporary) {
        BOOST_OUTCOME_TRYV(this->removeFile((std::filesystem::path(folder) / name).string()));
    }
    for (const std::uint64_t segment : found.removable) {
        BOOST_OUTCOME_TRYV(this->removeFile(segmentPath(folder, segment)));
    }
    if (!found.segments.empty()) {
        const std::string path = segmentPath(folder, found.segments.back().segment);
        BOOST_OUTCOME_TRY(File tail, File::open(this->hooks, path, O_WRONLY));
        if (found.tornAt) {
            BOOST_OUTCOME_TRYV(tail.truncate(*found.tornAt));
        }
        BOOST_OUTCOME_TRYV(tail.sync());
    }
    this->closed = found.segments;
    this->currentSegment = found.nextSegment - 1;
    this->nextRecord = found.nextRecord;
    this->identity = recovered.identity.empty() ? this->settings.newIdentity : recovered.identity;
    this->hardState = recovered.hardState;
    this->snapshotIndex = recovered.snapshot ? recovered.snapshot->last.index : 0;
    this->last = recovered.entries.empty() ? this->snapshotIndex
                                           : recovered.entries.back().position.index;
    BOOST_OUTCOME_TRYV(this->startSegment());
    for (const LogRecord &record : found.unsettled)
        this->add(record.body);
    if (found.entriesDiscarded)
        this->add(Truncation{0});
    return this->sync();
}

// The segment before is whole and synced by now, so that only the last segment may ever have a torn
// end.
Result<void> DurableLog::startSegment()
{
    if (this->current.descriptor() >= 0)
        this->closed.push_back({this->currentSegment, this->currentHighest});
    ++this->currentSegment;
    this->currentHighest = 0;
    this->currentBytes = 0;
    const std::string path = segmentPath(this->settings.folder, this->currentSegment);
    BOOST_OUTCOME_TRY(this->current,
                      File::open(this->hooks, path, O_WRONLY | O_CREAT | O_EXCL | O_APPEND));
    this->syncedThrough = this->nextRecord;
    this->add(SegmentStart{logFormatVersion, this->currentSegment, this->identity, this->hardState,
                           this->last});
    BOOST_OUTCOME_TRYV(this->writeBuffer());
    BOOST_OUTCOME_TRYV(this->current.sync());
    this->syncedThrough = this->nextRecord;
    return syncFolder(this->hooks, this->settings.folder);
}

void DurableLog::add(RecordBody body)
{
    if (const auto *entry = std::get_if<state::log::LogEntry>(&body))
        this->currentHighest = std::max(this->currentHighest, entry->position.index);
    appendRecord(this->buffer, {this->nextRecord++, this->syncedThrough, std::move(body)});
}

Result<void> DurableLog::append(std::span<const state::log::LogEntry> entries)
{
    for (const state::log::LogEntry &entry : entries) {
        const std::uint64_t index = entry.position.index;
        if (index > this->last + 1 || index <= this->snapshotIndex)
            return makeError(ErrorCode::InvalidArgument, "log.append",
                             "entry " + std::to_string(index) + " does not follow entry "
                                     + std::to_string(this->last));
        this->add(entry);
        this->last = index;
    }
    return state::outcome::success();
}

Result<void> DurableLog::truncateFrom(std::uint64_t index)
{
    if (index <= this->snapshotIndex || index > this->last + 1)
        return makeError(ErrorCode::InvalidArgument, "log.truncate",
                         "no entry " + std::to_string(index));
    this->add(Truncation{index});
    this->last = index - 1;
    return state::outcome::success();
}

Result<void> DurableLog::saveHardState(const state::log::HardState &newState)
{
    this->hardState = newState;
    this->add(newState);
    return state::outcome::success();
}

Result<void> DurableLog::sync()
{
    if (this->failed)
        return *this->failed;
    if (this->buffer.empty())
        return state::outcome::success();
    BOOST_OUTCOME_TRYV(this->latch(this->writeBuffer()));
    BOOST_OUTCOME_TRYV(this->latch(this->current.syncData()));
    ++this->syncCount;
    this->syncedThrough = this->nextRecord;
    // Without the mark, a bit that flips in this last write would look like its torn end, and an
    // acknowledged change would be cut off without a word.
    this->add(SyncMark{});
    BOOST_OUTCOME_TRYV(this->latch(this->writeBuffer()));
    if (this->currentBytes < this->settings.segmentBytes)
        return state::outcome::success();
    BOOST_OUTCOME_TRYV(this->latch(this->current.syncData()));
    return this->latch(this->startSegment());
}

Result<void> DurableLog::writeBuffer()
{
    BOOST_OUTCOME_TRYV(this->current.writeAll(this->buffer));
    this->currentBytes += this->buffer.size();
    this->written += this->buffer.size();
    this->buffer.clear();
    return state::outcome::success();
}

Result<void> DurableLog::removeFile(const std::string &path)
{
    if (this->hooks.unlink(path) != 0)
        return storageError("storage.remove", path, errno);
    return state::outcome::success();
}

Result<void> DurableLog::latch(Result<void> result)
{
    if (!result && !this->failed)
        this->failed = result.error();
    return result;
}

Result<void> DurableLog::saveSnapshot(const state::log::LogSnapshot &snapshot)
{
    if (this->failed)
        return *this->failed;
    BOOST_OUTCOME_TRYV(
            this->latch(writeSnapshotFile(this->hooks, this->settings.folder, snapshot)));
    this->snapshotSaved(snapshot.last);
    return state::outcome::success();
}

void DurableLog::snapshotSaved(const state::log::LogPosition &position)
{
    this->snapshotIndex = std::max(this->snapshotIndex, position.index);
}

Result<void> DurableLog::installSnapshot(const state::log::LogSnapshot &snapshot)
{
    // The snapshot first: a crash after it leaves entries that recovery knows to discard; a crash
    // after dropping them first would leave neither.
    BOOST_OUTCOME_TRYV(this->saveSnapshot(snapshot));
    this->add(Truncation{0});
    this->last = snapshot.last.index;
    BOOST_OUTCOME_TRYV(this->sync());
    return this->compact(snapshot.last.index);
}

Result<void> DurableLog::compact(std::uint64_t index)
{
    if (this->failed)
        return *this->failed;
    const std::uint64_t bound = std::min(index, this->snapshotIndex);
    while (!this->closed.empty() && this->closed.front().highestIndex <= bound) {
        const std::string path = segmentPath(this->settings.folder, this->closed.front().segment);
        BOOST_OUTCOME_TRYV(this->latch(this->removeFile(path)));
        this->closed.erase(this->closed.begin());
    }
    BOOST_OUTCOME_TRYV(this->latch(
            removeOldSnapshots(this->hooks, this->settings.folder, this->snapshotIndex)));
    // Recovery passes over removed files that come back; this bounds how many there may be.
    return this->latch(syncFolder(this->hooks, this->settings.folder));
}

} // namespace lavenderthread::transport::storage
