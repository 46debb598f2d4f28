#include "service.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

constexpr std::string_view modelKind = "model";
constexpr std::string_view transactionalKind = "transactional";
constexpr std::string_view checkedFencing = "checked";
constexpr std::string_view ignoredFencing = "ignored";

bool matchesPath(std::string_view pattern, std::string_view path)
{
    if (!pattern.empty() && pattern.back() == '*')
        return path.substr(0, pattern.size() - 1) == pattern.substr(0, pattern.size() - 1);
    return pattern == path;
}

} // namespace

bool Service::isRepeatable(std::string_view method, std::string_view path) const
{
    for (const ServiceCall &call : this->calls) {
        if (call.method == method && matchesPath(call.path, path))
            return call.repeatable;
    }
    return method == "GET" || method == "HEAD";
}

void to_json(nlohmann::json &json, const Service &service)
{
    json = {{"id", service.id},
            {"kind", service.kind == ServiceKind::Model ? modelKind : transactionalKind},
            {"latencyTarget",
             {{"firstTokenMs", service.latencyTarget.firstToken.count()},
              {"betweenTokensMs", service.latencyTarget.betweenTokens.count()}}},
            {"calls", nlohmann::json::array()},
            {"deterministic", service.deterministic},
            {"fencing", service.fencing == FencingMode::Checked ? checkedFencing : ignoredFencing}};
    for (const ServiceCall &call : service.calls)
        json["calls"].push_back({{"method", call.method}, {"path", call.path}, {"repeatable", call.repeatable}});
}

void from_json(const nlohmann::json &json, Service &service)
{
    service = {};
    json.at("id").get_to(service.id);
    service.kind = json.at("kind") == modelKind ? ServiceKind::Model : ServiceKind::Transactional;
    service.fencing =
        json.value("fencing", ignoredFencing) == checkedFencing ? FencingMode::Checked : FencingMode::Ignored;
    service.deterministic = json.value("deterministic", false);
    if (const auto target = json.find("latencyTarget"); target != json.end()) {
        LatencyTarget &latency = service.latencyTarget;
        latency.firstToken = std::chrono::milliseconds(target->value("firstTokenMs", latency.firstToken.count()));
        latency.betweenTokens =
            std::chrono::milliseconds(target->value("betweenTokensMs", latency.betweenTokens.count()));
    }
    for (const nlohmann::json &call : json.value("calls", nlohmann::json::array()))
        service.calls.push_back({call.at("method"), call.at("path"), call.at("repeatable")});
}

} // namespace hemlock
