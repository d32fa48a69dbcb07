#include "program/LogSink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace lavenderthread::program {

namespace {

constexpr std::size_t flushBytes = 4'096; // fewer buffered bytes wait for the next flush
constexpr int exitWriteTimeoutMs = 500;   // wait for the reader at process exit

} // namespace

LogSink::~LogSink()
{
    while (!this->buffer.empty()) {
        const std::size_t before = this->buffer.size();
        this->writeAvailable(exitWriteTimeoutMs);
        if (this->buffer.size() == before)
            return; // the reader is gone or stalled
    }
}

std::uint64_t LogSink::takeDropped()
{
    const std::lock_guard lock(this->mutex_);
    return std::exchange(this->dropped, 0);
}

void LogSink::sink_it_(const spdlog::details::log_msg &message) // NOLINT
{
    spdlog::memory_buf_t line;
    this->formatter_->format(message, line);
    const bool fits = this->buffer.size() + line.size() <= this->settings.bufferBytes;
    if (!fits || !this->allowsLine(message.level)) {
        ++this->dropped;
        return;
    }
    this->buffer.append(line.data(), line.size());
    if (this->buffer.size() >= flushBytes)
        this->writeAvailable(0);
}

void LogSink::flush_() // NOLINT
{
    this->writeAvailable(0);
}

bool LogSink::allowsLine(spdlog::level::level_enum level)
{
    if (level >= spdlog::level::err)
        return true;
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    this->tokens = std::min(this->settings.burstLines,
                            this->tokens + elapsed * this->settings.linesPerSecond);
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

// Polls before each write of at most PIPE_BUF bytes: a pipe that is ready takes that many without
// blocking, so a stalled reader never blocks the process.
void LogSink::writeAvailable(int waitMs)
{
    while (!this->buffer.empty()) {
        pollfd ready{this->settings.descriptor, POLLOUT, 0};
        if (::poll(&ready, 1, waitMs) <= 0)
            return;
        const std::size_t piece = std::min<std::size_t>(this->buffer.size(), PIPE_BUF);
        const ssize_t written = ::write(this->settings.descriptor, this->buffer.data(), piece);
        if (written <= 0)
            return;
        this->buffer.erase(0, std::size_t(written));
    }
}

} // namespace lavenderthread::program
