#include "entrysettings.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

Endpoint parseEndpoint(const nlohmann::json &json)
{
    return {json.at("address"), json.at("port")};
}

IntentLogSettings parseIntents(const nlohmann::json &json)
{
    IntentLogSettings settings;
    settings.retention = std::chrono::seconds(json.value("retentionSeconds", settings.retention.count()));
    settings.leaseTtl = std::chrono::seconds(json.value("leaseSeconds", settings.leaseTtl.count()));
    settings.commitInterval =
        std::chrono::milliseconds(json.value("commitIntervalMs", settings.commitInterval.count()));
    settings.completionDelay =
        std::chrono::milliseconds(json.value("completionDelayMs", settings.completionDelay.count()));
    settings.unreachableGrace =
        std::chrono::milliseconds(json.value("unreachableGraceMs", settings.unreachableGrace.count()));
    settings.segmentBytes = json.value("segmentBytes", settings.segmentBytes);
    settings.commitsSingly = json.value("commitsSingly", settings.commitsSingly);
    return settings;
}

} // namespace

EntrySettings parseEntrySettings(const nlohmann::json &json)
{
    EntrySettings settings;
    json.at("id").get_to(settings.id);
    json.at("zone").get_to(settings.zone.name);
    settings.listen = parseEndpoint(json.at("listen"));
    settings.control = parseEndpoint(json.at("control"));
    json.at("controlKey").get_to(settings.controlKey);
    settings.store = json.value("store", settings.store);
    settings.policy = json.value("policy", settings.policy);
    settings.intents = parseIntents(json.value("intents", nlohmann::json::object()));
    settings.intents.slotCount = json.value("slots", settings.intents.slotCount);
    settings.releaseLimit = std::chrono::milliseconds(json.value("releaseLimitMs", settings.releaseLimit.count()));
    settings.unsafeIntents = json.value("unsafeIntents", settings.unsafeIntents);
    settings.maxBodyBytes = json.value("maxBodyBytes", settings.maxBodyBytes);
    settings.maxPendingBytes = json.value("maxPendingBytes", settings.maxPendingBytes);
    settings.limits.maxPromptBytes = json.value("maxPromptBytes", settings.limits.maxPromptBytes);
    settings.drainNotice = std::chrono::milliseconds(json.value("drainNoticeMs", settings.drainNotice.count()));
    return settings;
}

} // namespace hemlock
