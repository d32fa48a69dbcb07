// Structured logs: one line per event, with key=value pairs and `event=` first.
// docs/operators/logs.md lists the events. Never log keys, bearer tokens or prompt text.
#pragma once

#include "state/Error.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lavenderthread::program {

enum class LogLevel { Debug, Info, Warning, Error };

// A key=value pair. Numbers become text at once, so that a line costs one allocation per value.
struct LogField
{
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);

    std::string_view key;
    std::string value;
};

// Sets the minimum level for the whole process; lines go to standard output. Default: Info.
void configureLog(LogLevel minimumLevel);

// Writes buffered lines without waiting for a reader; call it a few times a second. Warnings and
// errors are written at once.
void flushLog();

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
// Logs the error's code, step, peer and cause.
void logError(std::string_view event, const state::Error &error);

// The line without its time stamp and level; empty values and values with blanks, quotes,
// backslashes, `=` or control characters are quoted.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace lavenderthread::program
