#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hemlock {

/// A customer of the operators, authenticated by an API key.
struct ClientAccount
{
    std::string id;
    std::string keySha256; ///< Lower-case hexadecimal SHA-256 of the API key.
    double weight = 1.0; ///< Share of contended capacity relative to other accounts.
    double tokensPerSecond = 0.0; ///< Rate limit over all entry VMs; 0 for no limit.
};

/// Allows a client account to use a service.
struct AccessRule
{
    std::string clientAccount;
    std::string service;
    int priority = 5; ///< Highest priority that the account may request; 0 is the highest, 9 the lowest.
};

/// JSON fields are those of the sections "clientAccounts" and "rules" of the configuration document.
void to_json(nlohmann::json &json, const ClientAccount &account);
void from_json(const nlohmann::json &json, ClientAccount &account);
void to_json(nlohmann::json &json, const AccessRule &rule);
void from_json(const nlohmann::json &json, AccessRule &rule);

} // namespace hemlock
