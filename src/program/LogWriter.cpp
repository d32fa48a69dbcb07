// Group commit: while one sync runs, the next batches gather.
#include "program/LogWriter.h"

#include <utility>

namespace lavenderthread::program {

LogWriter::LogWriter(std::unique_ptr<transport::storage::DurableLog> log, Hooks hooks)
    : log(std::move(log))
    , hooks(std::move(hooks))
    , thread([this] { this->run(); })
{}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock(this->mutex);
        this->ending = true;
    }
    this->wake.notify_one();
    this->thread.join();
}

void LogWriter::persist(PersistBatch batch)
{
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.emplace_back(std::move(batch));
    }
    this->wake.notify_one();
}

void LogWriter::saveSnapshot(coordination::consensus::SnapshotPointer snapshot)
{
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.emplace_back(std::move(snapshot));
    }
    this->wake.notify_one();
}

void LogWriter::run()
{
    while (true) {
        std::vector<Work> work;
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->ending || !this->waiting.empty(); });
            if (this->waiting.empty())
                return;
            work.swap(this->waiting);
        }
        const auto written = this->write(work);
        if (!written) {
            // What the disk holds is unknown now; acknowledging anything more could promise what a
            // restart does not find. The member stops instead.
            this->hooks.failed(written.error());
            return;
        }
    }
}

state::Result<void> LogWriter::write(const std::vector<Work> &work)
{
    std::uint64_t last = 0;
    for (const Work &each : work) {
        if (const auto *batch = std::get_if<PersistBatch>(&each)) {
            BOOST_OUTCOME_TRY(this->writeBatch(*batch));
            last = batch->sequence;
        }
    }
    BOOST_OUTCOME_TRY(this->log->sync());
    if (last > 0)
        this->hooks.persisted(last);
    for (const Work &each : work) {
        if (const auto *snapshot = std::get_if<coordination::consensus::SnapshotPointer>(&each)) {
            BOOST_OUTCOME_TRY(this->log->saveSnapshot(**snapshot));
            BOOST_OUTCOME_TRY(this->log->compact((*snapshot)->last.index));
            this->hooks.snapshotSaved(*snapshot);
        }
    }
    return state::outcome::success();
}

state::Result<void> LogWriter::writeBatch(const PersistBatch &batch)
{
    if (batch.installed) {
        BOOST_OUTCOME_TRY(this->log->installSnapshot(*batch.installed));
    }
    if (batch.hardState) {
        BOOST_OUTCOME_TRY(this->log->saveHardState(*batch.hardState));
    }
    if (!batch.entries.empty()) {
        BOOST_OUTCOME_TRY(this->log->append(batch.entries));
    }
    return state::outcome::success();
}

} // namespace lavenderthread::program
