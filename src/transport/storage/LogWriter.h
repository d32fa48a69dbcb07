// Group commit: one thread writes whatever waits, syncs once, and reports the last write that is
// durable; a second thread writes snapshots, which are too large to hold up the log.
#pragma once

#include "state/Error.h"
#include "state/log/LogEntry.h"
#include "transport/storage/DurableLog.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace lavenderthread::transport::storage {

using SnapshotPointer = std::shared_ptr<const state::log::LogSnapshot>;

// Written in this order: snapshot, hard state, entries.
struct LogWrite
{
    std::uint64_t sequence = 0; // ascending
    std::optional<state::log::HardState> hardState;
    SnapshotPointer installed; // received; replaces the whole log
    std::vector<state::log::LogEntry> entries;
};

// Called on the writer's threads: pass on and return.
struct LogWriterHooks
{
    std::function<void(std::uint64_t sequence)> persisted; // this and every earlier write
    // Once; after it nothing is reported any more, and the member must not acknowledge anything.
    std::function<void(const state::Error &)> failed;
    std::function<void(SnapshotPointer)> snapshotSaved;
};

class LogWriter
{
public:
    LogWriter(std::unique_ptr<DurableLog> durableLog, LogWriterHooks writerHooks);
    // Finishes what was submitted.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void submit(LogWrite write);
    // Of the own state: writes it, then drops log segments up to `keepAfter`. While one is being
    // written a newer one takes the place of one that still waits.
    void saveSnapshot(SnapshotPointer snapshot, std::uint64_t keepAfter);

private:
    struct SnapshotJob
    {
        SnapshotPointer snapshot;
        std::uint64_t keepAfter = 0;
    };

    void runWriter();
    void runSnapshots();
    state::Result<void> writeBatch(const std::vector<LogWrite> &batch);
    state::Result<void> finishSnapshots(const std::vector<SnapshotJob> &jobs);
    void fail(const state::Error &error);
    bool hasFailed();

    std::unique_ptr<DurableLog> log; // used by the writer thread only, but for its file hooks
    LogWriterHooks hooks;
    std::string folder;
    std::mutex mutex; // guards everything below; never held while a file is touched
    std::condition_variable changed;
    std::vector<LogWrite> writes;
    std::vector<SnapshotJob> written;     // snapshots on the disk, to be made known to the log
    std::optional<SnapshotJob> requested; // snapshot to be written
    bool stopping = false;
    bool snapshotsStopped = false; // the writer ends after the snapshot thread
    bool failed = false;           // reported; from then on persisted is not called
    std::thread snapshotThread;    // last members: they use all the others
    std::thread writerThread;
};

} // namespace lavenderthread::transport::storage
