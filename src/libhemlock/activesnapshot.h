#pragma once

#include "snapshot.h"

#include <string>
#include <unordered_map>

namespace hemlock {

/// The current snapshot of an entry process, with indexes for the look-ups of each request.
class ActiveSnapshot
{
public:
    /// Replaces the current snapshot. Throws std::invalid_argument when the manifest is older than the current one.
    void apply(Snapshot snapshot);

    /// False until the first snapshot has been applied.
    bool isLoaded() const;

    const Snapshot &snapshot() const;

    /// Returns the client account of an API key. All look-ups return nullptr when nothing matches.
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
