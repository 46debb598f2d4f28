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

/// Sets the "program" and "instance" fields of each later line, and the lowest level that is written.
void setupLogger(std::string program, std::string instance, LogLevel lowest = LogLevel::Info);

/// Writes one JSON line to stderr: time (ISO 8601, UTC), level, program, instance, event and the given fields.
void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);

/// Writes {"event":"listening","address":ADDRESS} to stdout, from which tests and scripts learn the port.
void announceAddress(std::string_view name, std::string_view address);

} // namespace hemlock
