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

/// Whether the upstreams of a service refuse orders that carry an old fencing token.
enum class FencingMode {
    Checked,
    Ignored,
};

/// Latency that 95 in 100 requests of a model service must meet.
struct LatencyTarget
{
    std::chrono::milliseconds firstToken{470};
    std::chrono::milliseconds betweenTokens{49};
};

/// One declared call of a transactional service.
struct ServiceCall
{
    std::string method;
    std::string path; ///< Exact path, or a prefix when it ends with "*".
    bool repeatable = false;
};

/// A service that operators offer: a language model or a transactional application.
struct Service
{
    std::string id;
    ServiceKind kind = ServiceKind::Model;
    LatencyTarget latencyTarget;
    std::vector<ServiceCall> calls;
    FencingMode fencing = FencingMode::Ignored;
    bool deterministic = false; ///< Whether the same prompt always generates the same text.

    /// Whether a call may be sent again after an attempt that may have run. Undeclared calls other than GET may not.
    bool isRepeatable(std::string_view method, std::string_view path) const;
};

/// Fields as in the section "services" of the configuration document; latencies in milliseconds.
void to_json(nlohmann::json &json, const Service &service);
void from_json(const nlohmann::json &json, Service &service);

} // namespace hemlock
