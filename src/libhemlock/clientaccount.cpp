#include "clientaccount.h"

#include <nlohmann/json.hpp>

namespace hemlock {

void to_json(nlohmann::json &json, const ClientAccount &account)
{
    json = {{"id", account.id},
            {"keySha256", account.keySha256},
            {"weight", account.weight},
            {"tokensPerSecond", account.tokensPerSecond}};
}

void from_json(const nlohmann::json &json, ClientAccount &account)
{
    account = {};
    json.at("id").get_to(account.id);
    json.at("keySha256").get_to(account.keySha256);
    account.weight = json.value("weight", account.weight);
    account.tokensPerSecond = json.value("tokensPerSecond", account.tokensPerSecond);
}

void to_json(nlohmann::json &json, const AccessRule &rule)
{
    json = {{"clientAccount", rule.clientAccount}, {"service", rule.service}, {"priority", rule.priority}};
}

void from_json(const nlohmann::json &json, AccessRule &rule)
{
    rule = {};
    json.at("clientAccount").get_to(rule.clientAccount);
    json.at("service").get_to(rule.service);
    rule.priority = json.value("priority", rule.priority);
}

} // namespace hemlock
