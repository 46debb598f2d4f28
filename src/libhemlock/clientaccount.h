#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hemlock {

/// A customer of the operators, known by an API key.
struct ClientAccount
{
    std::string id;
    std::string keySha256; ///< Lower-case hexadecimal SHA-256 of the API key.
    double weight = 1.0; ///< Share of contended capacity relative to other accounts.
    double tokensPerSecond = 0.0; ///< Limit over all entry VMs; 0 for none.
};

/// Grants a client account the use of a service.
struct AccessRule
{
    std::string clientAccount;
    std::string service;
    int priority = 5; ///< Highest priority that the account may ask for; 0 is the highest of all, 9 the lowest.
};

/// Fields as in the sections "clientAccounts" and "rules" of the configuration document.
void to_json(nlohmann::json &json, const ClientAccount &account);
void from_json(const nlohmann::json &json, ClientAccount &account);
void to_json(nlohmann::json &json, const AccessRule &rule);
void from_json(const nlohmann::json &json, AccessRule &rule);

} // namespace hemlock
