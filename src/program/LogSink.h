// Writes log lines to standard output through a buffer that never blocks the process on a slow
// reader, with a limit of lines per second.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace lavenderthread::program {

struct LogSinkSettings
{
    int descriptor = 1;                    // standard output
    std::size_t bufferBytes = 256U << 10U; // lines beyond it are dropped and counted
    // A relayed request writes one line. This rate is three times what one entry of the planned
    // size relays; it caps debug output and floods of one fault. Errors are not limited.
    double linesPerSecond = 500;
    double burstLines = 1'000;
};

class LogSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit LogSink(LogSinkSettings chosen = {})
        : settings(chosen)
        , tokens(chosen.burstLines)
    {}
    ~LogSink() override;

    // The number of lines dropped since the last call.
    std::uint64_t takeDropped();

protected:
    void sink_it_(const spdlog::details::log_msg &message) override; // NOLINT: spdlog's names
    void flush_() override;                                          // NOLINT

private:
    bool allowsLine(spdlog::level::level_enum level);
    void writeAvailable(int waitMs);

    LogSinkSettings settings;
    std::string buffer; // whole lines, except that a part of the first may already be written
    double tokens;
    std::chrono::steady_clock::time_point refilledAt{};
    std::uint64_t dropped = 0;
};

} // namespace lavenderthread::program
