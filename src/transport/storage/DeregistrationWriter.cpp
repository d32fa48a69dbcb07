#include "transport/storage/DeregistrationWriter.h"

#include "transport/MonotonicClock.h"

#include <utility>

namespace lavenderthread::transport::storage {

DeregistrationWriter::DeregistrationWriter(std::unique_ptr<DeregistrationFile> opened,
                                           Hooks writerHooks, std::chrono::milliseconds retryPause)
    : file(std::move(opened))
    , hooks(std::move(writerHooks))
    , retryPause(retryPause)
    , thread([this] { this->run(); })
{}

DeregistrationWriter::~DeregistrationWriter()
{
    {
        const std::lock_guard guard(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void DeregistrationWriter::submit(const std::vector<state::Deregistration> &deregistrations)
{
    {
        const std::lock_guard guard(this->mutex);
        this->waiting.insert(this->waiting.end(), deregistrations.begin(), deregistrations.end());
    }
    this->changed.notify_all();
}

void DeregistrationWriter::run()
{
    std::vector<state::Deregistration> batch;
    while (true) {
        {
            std::unique_lock guard(this->mutex);
            if (!batch.empty()) // not stored yet
                this->changed.wait_for(guard, this->retryPause, [this] { return this->stopping; });
            else
                this->changed.wait(guard,
                                   [this] { return !this->waiting.empty() || this->stopping; });
            batch.insert(batch.end(), this->waiting.begin(), this->waiting.end());
            this->waiting.clear();
            if (batch.empty())
                return;
        }
        if (this->write(batch)) {
            this->hooks.stored(std::exchange(batch, {}));
            continue;
        }
        const std::lock_guard guard(this->mutex);
        if (this->stopping)
            return;
    }
}

bool DeregistrationWriter::write(const std::vector<state::Deregistration> &batch)
{
    const state::Result<void> written = this->file->append(batch, monotonicNow());
    const bool failedBefore = std::exchange(this->hasFailed, !written);
    if (!written && !failedBefore)
        this->hooks.failed(written.error());
    return written.has_value();
}

} // namespace lavenderthread::transport::storage
