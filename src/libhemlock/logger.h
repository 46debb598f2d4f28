#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace hemlock {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

enum class LogTarget {
    StandardError,
    StandardOutput,
};

/// Sets the "program" and "instance" fields of each later line, the lowest level that is written, and where to.
void setupLogger(std::string program,
                 std::string instance,
                 LogLevel minimumLevel = LogLevel::Info,
                 LogTarget target = LogTarget::StandardError);

/// Writes one JSON line. Lines beyond a number a second, and those that the target does not take at once, are left out;
/// the next line that is written is preceded by "log-omitted" with their count. Fields: time (ISO 8601, UTC), level,
/// program, instance, event and the given fields.
void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);

/// Writes {"event":"listening","address":ADDRESS} to stdout, from which tests and scripts learn the port.
void announceAddress(std::string_view name, std::string_view address);

} // namespace hemlock
