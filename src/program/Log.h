// Structured logs: one event, one line, key=value pairs, `event=` first. docs/operators/logs.md
// lists the events. Keys, bearer tokens and prompt text never go into a log.
#pragma once

#include "state/Error.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lavenderthread::program {

enum class LogLevel { Debug, Info, Warning, Error };

// One pair; numbers become text at once, so that a line costs one allocation a value.
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

// Chooses the level for the whole process; lines go to standard output. Before the first call,
// Info.
void configureLog(LogLevel least);

// Writes out what waits, without waiting for a reader; call it a few times a second. Warnings and
// errors are written at once.
void flushLog();

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
// The error's code, step, peer and cause as pairs.
void logError(std::string_view event, const state::Error &error);

// The line without its time stamp; values with blanks, quotes or control characters are quoted.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace lavenderthread::program
