// Writes log lines to standard output through spdlog.
#include "program/Log.h"

#include "program/LogSink.h"

#include <spdlog/spdlog.h>

namespace lavenderthread::program {

namespace {

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

const std::shared_ptr<LogSink> &sink()
{
    static const std::shared_ptr<LogSink> instance = std::make_shared<LogSink>();
    return instance;
}

spdlog::logger &logger()
{
    static const std::shared_ptr<spdlog::logger> instance = [] {
        auto created = std::make_shared<spdlog::logger>("lavenderthread", sink());
        created->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                             spdlog::pattern_time_type::utc);
        created->flush_on(spdlog::level::warn);
        return created;
    }();
    return *instance;
}

// Peers control some values; quoting keeps an event on one line whatever they contain.
void appendValue(std::string &line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"\\=") == std::string_view::npos
                       && std::all_of(value.begin(), value.end(), [](unsigned char letter) {
                              return letter > 0x20 && letter != 0x7f;
                          });
    if (plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += static_cast<unsigned char>(letter) < 0x20 || letter == 0x7f ? '?' : letter;
    }
    line += '"';
}

} // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key)
    , value(value)
{}

LogField::LogField(std::string_view key, const char *value)
    : key(key)
    , value(value)
{}

LogField::LogField(std::string_view key, const std::string &value)
    : key(key)
    , value(value)
{}

LogField::LogField(std::string_view key, std::int64_t value)
    : key(key)
    , value(std::to_string(value))
{}

LogField::LogField(std::string_view key, std::uint64_t value)
    : key(key)
    , value(std::to_string(value))
{}

LogField::LogField(std::string_view key, int value)
    : key(key)
    , value(std::to_string(value))
{}

LogField::LogField(std::string_view key, unsigned value)
    : key(key)
    , value(std::to_string(value))
{}

void configureLog(LogLevel minimumLevel)
{
    logger().set_level(toSpdlog(minimumLevel));
}

void flushLog()
{
    logger().flush();
    const std::uint64_t dropped = sink()->takeDropped();
    if (dropped > 0)
        logEvent(LogLevel::Error, "log.dropped", {{"lines", dropped}});
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (logger().should_log(toSpdlog(level)))
        logger().log(toSpdlog(level), "{}", formatEvent(event, fields));
}

void logError(std::string_view event, const state::Error &error)
{
    logEvent(LogLevel::Error, event,
             {{"code", state::toString(error.code)},
              {"step", error.step},
              {"peer", error.peer},
              {"cause", error.cause}});
}

} // namespace lavenderthread::program
