#include "entrysettings.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

Endpoint parseEndpoint(const nlohmann::json &json)
{
    return {json.at("address"), json.at("port")};
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
    settings.slots = json.value("slots", settings.slots);
    settings.unsafeIntents = json.value("unsafeIntents", settings.unsafeIntents);
    settings.maxBodyBytes = json.value("maxBodyBytes", settings.maxBodyBytes);
    settings.maxPendingBytes = json.value("maxPendingBytes", settings.maxPendingBytes);
    settings.limits.maxPromptBytes = json.value("maxPromptBytes", settings.limits.maxPromptBytes);
    settings.drainNotice = std::chrono::milliseconds(json.value("drainNoticeMs", settings.drainNotice.count()));
    return settings;
}

} // namespace hemlock
