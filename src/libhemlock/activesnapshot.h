#pragma once

#include "snapshot.h"

#include <string>
#include <unordered_map>

namespace hemlock {

/// The snapshot in force in an entry process, with the look-ups that each request needs.
class ActiveSnapshot
{
public:
    /// Puts a snapshot in force. Throws std::invalid_argument when its manifest is older than the one in force.
    void apply(Snapshot snapshot);

    /// False until the first snapshot has arrived.
    bool isLoaded() const;

    const Snapshot &snapshot() const;

    /// The client account of an API key, or nullptr.
    const ClientAccount *accountOfKey(const std::string &key) const;

    const ClientAccount *findAccount(const std::string &id) const;
    const Service *findService(const std::string &id) const;
    const AccessRule *findRule(const std::string &clientAccount, const std::string &service) const;

private:
    Snapshot current;
    bool loaded = false;
    std::unordered_map<std::string, std::size_t> accountsByKeyHash;
    std::unordered_map<std::string, std::size_t> accountsById;
    std::unordered_map<std::string, std::size_t> servicesById;
    std::unordered_map<std::string, std::size_t> rulesByKey;
};

} // namespace hemlock
