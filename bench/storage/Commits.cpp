// One member's disk path: encode, append, sync, apply. The quorum's round trip is not in it.
#include "storage/Parts.h"
#include "storage/Workload.h"

#include "transport/storage/LogWriter.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <vector>

namespace lavenderthread::bench {

namespace {

using Clock = std::chrono::steady_clock;
using transport::storage::DurableLog;
using transport::storage::LogWriter;

// What the simplest durable program does: append one record, sync, next.
double plainLoop(const std::string &folder, std::size_t count)
{
    const std::string path = folder + "/plain";
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const auto start = Clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        const std::string bytes = entryOf(number + 1, takeOf(number)).payload;
        if (::write(file, bytes.data(), bytes.size()) < 0 || ::fdatasync(file) != 0)
            std::perror("plain loop");
    }
    const double rate = static_cast<double>(count) / secondsSince(start);
    ::close(file);
    return rate;
}

double unbatchedLog(const std::string &folder, std::size_t count)
{
    const auto opened = DurableLog::open({folder + "/unbatched", "vm"}).value();
    const auto start = Clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        const std::vector<state::log::LogEntry> entries{entryOf(number + 1, takeOf(number))};
        if (!opened.log->append(entries) || !opened.log->sync())
            std::fprintf(stderr, "unbatched log failed\n");
    }
    return static_cast<double>(count) / secondsSince(start);
}

struct Batched
{
    double claimsPerSecond = 0;
    double medianMilliseconds = 0;
    double p99Milliseconds = 0;
    double bytesPerClaim = 0;
    double claimsPerSync = 0;
};

// `waiting` callers, each with one claim at a time: its next is submitted when its last is durable
// and applied.
class BatchedRun
{
public:
    BatchedRun(const std::string &folder, std::size_t claims, std::size_t callers)
        : total(claims)
        , waiting(callers)
        , submittedAt(claims + 1)
    {
        auto opened = DurableLog::open({folder + "/batched-" + std::to_string(callers), "vm"});
        this->log = opened.value().log.get();
        this->writer = std::make_unique<LogWriter>(
                std::move(opened.value().log),
                transport::storage::LogWriterHooks{
                        [this](std::uint64_t sequence) { this->persisted(sequence); },
                        [](const state::Error &error) {
                            std::fprintf(stderr, "%s\n", error.describe().c_str());
                        },
                        nullptr});
    }

    Batched run()
    {
        const auto start = Clock::now();
        std::uint64_t applied = 0;
        std::uint64_t submitted = 0;
        while (applied < this->total) {
            submitted = this->submitUpTo(std::min(this->total, applied + this->waiting), submitted);
            std::unique_lock guard(this->mutex);
            this->changed.wait(guard, [&] { return this->durable > applied; });
            const std::uint64_t through = this->durable;
            guard.unlock();
            for (; applied < through; ++applied) {
                this->state.apply({1, applied + 1}, takeOf(applied));
                this->latencies.push_back(secondsSince(this->submittedAt[applied + 1]) * 1e3);
            }
        }
        return this->summary(secondsSince(start));
    }

private:
    std::uint64_t submitUpTo(std::uint64_t last, std::uint64_t submitted)
    {
        transport::storage::LogWrite write;
        for (std::uint64_t index = submitted + 1; index <= last; ++index) {
            this->submittedAt[index] = Clock::now();
            write.entries.push_back(entryOf(index, takeOf(index - 1)));
        }
        write.sequence = last;
        if (!write.entries.empty())
            this->writer->submit(std::move(write));
        return last;
    }

    void persisted(std::uint64_t sequence)
    {
        {
            const std::lock_guard guard(this->mutex);
            this->durable = sequence;
        }
        this->changed.notify_one();
    }

    Batched summary(double seconds)
    {
        const auto count = static_cast<double>(this->total);
        std::sort(this->latencies.begin(), this->latencies.end());
        return {count / seconds, this->latencies[this->latencies.size() / 2],
                this->latencies[this->latencies.size() * 99 / 100],
                static_cast<double>(this->log->bytesWritten()) / count,
                count / static_cast<double>(this->log->syncs())};
    }

    std::uint64_t total;
    std::uint64_t waiting;
    std::vector<Clock::time_point> submittedAt;
    std::vector<double> latencies; // milliseconds
    state::control::ControlState state;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t durable = 0; // guarded by mutex
    DurableLog *log = nullptr; // owned by the writer
    std::unique_ptr<LogWriter> writer;
};

} // namespace

void measureCommits(const std::string &folder, Figures &figures)
{
    constexpr std::size_t unbatchedClaims = 400;
    figures.add("durable log, one sync a claim", unbatchedLog(folder, unbatchedClaims), "claims/s");
    for (const std::size_t callers : {1U, 16U, 64U, 256U, 1024U}) {
        const std::size_t claims = std::min<std::size_t>(400 * callers, 60'000);
        // Other work on the disk moves all figures: the loop runs before and after each batched
        // run.
        const double loopBefore = plainLoop(folder, unbatchedClaims);
        const Batched batched = BatchedRun(folder, claims, callers).run();
        const double plain = (loopBefore + plainLoop(folder, unbatchedClaims)) / 2;
        const std::string name = "batched, " + std::to_string(callers) + " callers: ";
        figures.add(name + "plain append-and-sync loop beside it", plain, "claims/s");
        figures.add(name + "rate", batched.claimsPerSecond, "claims/s");
        figures.add(name + "times the plain loop", batched.claimsPerSecond / plain, "x");
        figures.add(name + "latency, median", batched.medianMilliseconds, "ms");
        figures.add(name + "latency, 99 in 100", batched.p99Milliseconds, "ms");
        figures.add(name + "claims a sync", batched.claimsPerSync, "claims");
        figures.add(name + "bytes a claim taken", batched.bytesPerClaim, "B");
    }
}

} // namespace lavenderthread::bench
