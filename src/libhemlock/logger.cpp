#include "logger.h"

#include <nlohmann/json.hpp>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <iostream>

namespace hemlock {

namespace {

struct LoggerState
{
    std::string program = "hemlockflow";
    std::string instance;
    std::shared_ptr<spdlog::logger> sink;
};

LoggerState &loggerState()
{
    static LoggerState state;
    if (!state.sink) {
        state.sink = std::make_shared<spdlog::logger>("json", std::make_shared<spdlog::sinks::stderr_sink_st>());
        state.sink->set_pattern("%v");
    }
    return state;
}

spdlog::level::level_enum spdlogLevel(LogLevel level)
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

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::string currentTime()
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const std::time_t time = std::chrono::system_clock::to_time_t(seconds);
    std::tm utc{};
    gmtime_r(&time, &utc);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                       utc.tm_year + 1900,
                       utc.tm_mon + 1,
                       utc.tm_mday,
                       utc.tm_hour,
                       utc.tm_min,
                       utc.tm_sec,
                       (now - seconds).count());
}

} // namespace

void setupLogger(std::string program, std::string instance, LogLevel lowest)
{
    LoggerState &state = loggerState();
    state.program = std::move(program);
    state.instance = std::move(instance);
    state.sink->set_level(spdlogLevel(lowest));
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    LoggerState &state = loggerState();
    if (!state.sink->should_log(spdlogLevel(level)))
        return;
    nlohmann::ordered_json line;
    line["time"] = currentTime();
    line["level"] = levelName(level);
    line["program"] = state.program;
    line["instance"] = state.instance;
    line["event"] = event;
    for (const auto &[name, value] : fields.items())
        line[name] = value;
    // Bytes of callers may be invalid UTF-8; a log line must not fail on them.
    state.sink->log(spdlogLevel(level), line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void announceAddress(std::string_view name, std::string_view address)
{
    nlohmann::ordered_json line;
    line["event"] = "listening";
    line["name"] = name;
    line["address"] = address;
    std::cout << line.dump() << std::endl;
}

} // namespace hemlock
