// The thread that writes a control member's log: takes what has gathered, writes it at once, syncs
// once, and reports.
#pragma once

#include "program/ControlMember.h"
#include "transport/storage/DurableLog.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace lavenderthread::program {

class LogWriter
{
public:
    // Called on the writer's thread.
    struct Hooks
    {
        std::function<void(std::uint64_t sequence)> persisted;
        std::function<void(const state::Error &)> failed; // nothing is written after it
        std::function<void(coordination::consensus::SnapshotPointer)> snapshotSaved;
    };

    LogWriter(std::unique_ptr<transport::storage::DurableLog> log, Hooks hooks);
    ~LogWriter(); // finishes what was given, then ends the thread
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void persist(PersistBatch batch);
    void saveSnapshot(coordination::consensus::SnapshotPointer snapshot);

private:
    using Work = std::variant<PersistBatch, coordination::consensus::SnapshotPointer>;

    void run();
    state::Result<void> write(const std::vector<Work> &work);
    state::Result<void> writeBatch(const PersistBatch &batch);

    std::unique_ptr<transport::storage::DurableLog> log; // the thread's
    Hooks hooks;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<Work> waiting;
    bool ending = false;
    std::thread thread;
};

} // namespace lavenderthread::program
