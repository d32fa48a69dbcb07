// Two loops over one queue each.
#include "transport/storage/LogWriter.h"

#include "transport/storage/SnapshotFile.h"

#include <utility>

namespace lavenderthread::transport::storage {

LogWriter::LogWriter(std::unique_ptr<DurableLog> durableLog, LogWriterHooks writerHooks)
    : log(std::move(durableLog))
    , hooks(std::move(writerHooks))
    , folder(this->log->folder())
    , snapshotThread([this] { this->runSnapshots(); })
    , writerThread([this] { this->runWriter(); })
{}

LogWriter::~LogWriter()
{
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->snapshotThread.join();
    {
        const std::lock_guard guard(this->mutex);
        this->snapshotsStopped = true;
    }
    this->changed.notify_all();
    this->writerThread.join();
}

void LogWriter::submit(LogWrite write)
{
    {
        const std::lock_guard guard(this->mutex);
        this->writes.push_back(std::move(write));
    }
    this->changed.notify_all();
}

void LogWriter::saveSnapshot(SnapshotPointer snapshot, std::uint64_t keepAfter)
{
    {
        const std::lock_guard guard(this->mutex);
        this->requested = SnapshotJob{std::move(snapshot), keepAfter};
    }
    this->changed.notify_all();
}

void LogWriter::runWriter()
{
    while (true) {
        std::vector<LogWrite> batch;
        std::vector<SnapshotJob> jobs;
        {
            std::unique_lock guard(this->mutex);
            this->changed.wait(guard, [this] {
                return !this->writes.empty() || !this->written.empty() || this->snapshotsStopped;
            });
            batch.swap(this->writes);
            jobs.swap(this->written);
            if (batch.empty() && jobs.empty())
                return;
        }
        const state::Result<void> done = this->writeBatch(batch);
        const state::Result<void> kept = done ? this->finishSnapshots(jobs) : done;
        if (!kept)
            this->fail(kept.error());
    }
}

state::Result<void> LogWriter::writeBatch(const std::vector<LogWrite> &batch)
{
    for (const LogWrite &write : batch) {
        if (write.installed) {
            BOOST_OUTCOME_TRYV(this->log->installSnapshot(*write.installed));
        }
        if (write.hardState) {
            BOOST_OUTCOME_TRYV(this->log->saveHardState(*write.hardState));
        }
        BOOST_OUTCOME_TRYV(this->log->append(write.entries));
    }
    BOOST_OUTCOME_TRYV(this->log->sync());
    if (!batch.empty() && !this->hasFailed())
        this->hooks.persisted(batch.back().sequence);
    return state::outcome::success();
}

state::Result<void> LogWriter::finishSnapshots(const std::vector<SnapshotJob> &jobs)
{
    for (const SnapshotJob &job : jobs) {
        this->log->snapshotSaved(job.snapshot->last);
        BOOST_OUTCOME_TRYV(this->log->compact(job.keepAfter));
        if (this->hooks.snapshotSaved)
            this->hooks.snapshotSaved(job.snapshot);
    }
    return state::outcome::success();
}

void LogWriter::runSnapshots()
{
    while (true) {
        SnapshotJob job;
        {
            std::unique_lock guard(this->mutex);
            this->changed.wait(guard, [this] { return this->requested || this->stopping; });
            if (!this->requested)
                return;
            job = *std::exchange(this->requested, std::nullopt);
        }
        const state::Result<void> done =
                writeSnapshotFile(this->log->fileHooks(), this->folder, *job.snapshot);
        if (!done) {
            this->fail(done.error());
            continue;
        }
        {
            const std::lock_guard guard(this->mutex);
            this->written.push_back(std::move(job));
        }
        this->changed.notify_all();
    }
}

bool LogWriter::hasFailed()
{
    const std::lock_guard guard(this->mutex);
    return this->failed;
}

void LogWriter::fail(const state::Error &error)
{
    {
        const std::lock_guard guard(this->mutex);
        if (std::exchange(this->failed, true))
            return;
    }
    this->hooks.failed(error);
}

} // namespace lavenderthread::transport::storage
