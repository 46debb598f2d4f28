#include "logger.h"

#include <nlohmann/json.hpp>

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <string_view>
#include <utility>

namespace hemlock {

namespace {

/// Maximum number of lines per second that a process writes.
constexpr std::size_t maxLinesPerSecond = 2000;

/// Writes lines to a file descriptor, up to a maximum rate; drops lines while the descriptor is not writable.
class RateLimitedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit RateLimitedSink(int descriptor)
        : descriptor(descriptor)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        const auto currentSecond = std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now());
        if (currentSecond != this->currentSecond) {
            this->currentSecond = currentSecond;
            this->linesThisSecond = 0;
        }
        if (++this->linesThisSecond > maxLinesPerSecond || !this->isWritable()) {
            ++this->omittedLines;
            return;
        }
        if (this->omittedLines > 0)
            this->write(
                fmt::format("{{\"event\":\"log-omitted\",\"lines\":{}}}\n", std::exchange(this->omittedLines, 0)));
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        this->write(std::string_view(line.data(), line.size()));
    }

    void flush_() override
    {
    }

private:
    bool isWritable() const
    {
        pollfd request{this->descriptor, POLLOUT, 0};
        return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
    }

    void write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
            if (written <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    int descriptor;
    std::chrono::time_point<std::chrono::steady_clock, std::chrono::seconds> currentSecond;
    std::size_t linesThisSecond = 0;
    std::size_t omittedLines = 0;
};

struct LoggerState
{
    std::string program = "hemlockflow";
    std::string instance;
    std::shared_ptr<spdlog::logger> spdlogLogger;
};

LoggerState &loggerState()
{
    static LoggerState state;
    if (!state.spdlogLogger) {
        state.spdlogLogger = std::make_shared<spdlog::logger>("json", std::make_shared<RateLimitedSink>(STDERR_FILENO));
        state.spdlogLogger->set_pattern("%v");
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

void setupLogger(std::string program, std::string instance, LogLevel minimumLevel, LogTarget target)
{
    LoggerState &state = loggerState();
    const int descriptor = target == LogTarget::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    state.spdlogLogger = std::make_shared<spdlog::logger>("json", std::make_shared<RateLimitedSink>(descriptor));
    state.spdlogLogger->set_pattern("%v");
    state.program = std::move(program);
    state.instance = std::move(instance);
    state.spdlogLogger->set_level(spdlogLevel(minimumLevel));
}

void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields)
{
    LoggerState &state = loggerState();
    if (!state.spdlogLogger->should_log(spdlogLevel(level)))
        return;
    nlohmann::ordered_json line;
    line["time"] = currentTime();
    line["level"] = levelName(level);
    line["program"] = state.program;
    line["instance"] = state.instance;
    line["event"] = event;
    for (const auto &[name, value] : fields.items())
        line[name] = value;
    // Text from callers may be invalid UTF-8, which must not make logging fail.
    state.spdlogLogger->log(spdlogLevel(level), line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
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
