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

/// Sets the "program" and "instance" fields of all later lines, the minimum level and the output stream.
void setupLogger(std::string program,
                 std::string instance,
                 LogLevel minimumLevel = LogLevel::Info,
                 LogTarget target = LogTarget::StandardError);

/// Writes one JSON line with the fields time (ISO 8601, UTC), level, program, instance, event and the given ones. Lines
/// beyond a fixed rate, and lines that the target cannot accept without blocking, are dropped; a "log-omitted" line
/// with their count precedes the next line that is written.
void logEvent(LogLevel level, std::string_view event, const nlohmann::json &fields);

/// Writes {"event":"listening","name":NAME,"address":ADDRESS} to stdout, from which tests and scripts read the port.
void announceAddress(std::string_view name, std::string_view address);

} // namespace hemlock
