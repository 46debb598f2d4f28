#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

enum class ServiceKind {
    Model,
    Transactional,
};

/// Whether the upstreams of a service reject commands with an outdated fencing token.
enum class FencingMode {
    Checked,
    Ignored,
};

/// Latency target of a model service, for the 95th percentile of its requests.
struct LatencyTarget
{
    std::chrono::milliseconds firstToken{470};
    std::chrono::milliseconds betweenTokens{49};
};

/// A call that a transactional service declares.
struct ServiceCall
{
    std::string method;
    std::string path; ///< Exact path, or a prefix when it ends with "*".
    bool repeatable = false; ///< Whether the call may be sent again after an attempt that may have run.
};

/// A service offered by the operators: a language model or a transactional application.
struct Service
{
    std::string id;
    ServiceKind kind = ServiceKind::Model;
    LatencyTarget latencyTarget;
    std::vector<ServiceCall> calls;
    FencingMode fencing = FencingMode::Ignored;
    bool deterministic = false; ///< Whether the same prompt always yields the same text.

    /// Whether a call may be sent again after an attempt that may have run. Undeclared calls may only if
    /// the method is GET or HEAD.
    bool isRepeatable(std::string_view method, std::string_view path) const;
};

/// JSON fields are those of the section "services" of the configuration document; latencies are in milliseconds.
void to_json(nlohmann::json &json, const Service &service);
void from_json(const nlohmann::json &json, Service &service);

} // namespace hemlock
