#include "activesnapshot.h"

#include "encoding.h"

#include <stdexcept>

namespace hemlock {

namespace {

template <class T>
const T *
lookUp(const std::unordered_map<std::string, std::size_t> &index, const std::vector<T> &values, const std::string &name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : &values[found->second];
}

/// Identifiers cannot contain a line feed, so different pairs never have the same key.
std::string ruleKey(const std::string &clientAccount, const std::string &service)
{
    return clientAccount + "\n" + service;
}

} // namespace

void ActiveSnapshot::apply(Snapshot snapshot)
{
    if (this->loaded && snapshot.manifestVersion < this->current.manifestVersion) {
        throw std::invalid_argument("manifest version " + std::to_string(snapshot.manifestVersion)
                                    + " is older than version " + std::to_string(this->current.manifestVersion)
                                    + " in force");
    }
    this->current = std::move(snapshot);
    this->loaded = true;
    this->accountsByKeyHash.clear();
    this->accountsById.clear();
    this->servicesById.clear();
    this->rulesByKey.clear();
    for (std::size_t i = 0; i < this->current.clientAccounts.size(); ++i) {
        this->accountsByKeyHash[this->current.clientAccounts[i].keySha256] = i;
        this->accountsById[this->current.clientAccounts[i].id] = i;
    }
    for (std::size_t i = 0; i < this->current.services.size(); ++i)
        this->servicesById[this->current.services[i].id] = i;
    for (std::size_t i = 0; i < this->current.rules.size(); ++i)
        this->rulesByKey[ruleKey(this->current.rules[i].clientAccount, this->current.rules[i].service)] = i;
}

bool ActiveSnapshot::isLoaded() const
{
    return this->loaded;
}

const Snapshot &ActiveSnapshot::snapshot() const
{
    return this->current;
}

const ClientAccount *ActiveSnapshot::accountOfKey(const std::string &key) const
{
    // Looks up the digest instead of the key, so that the timing of the look-up reveals nothing about valid keys.
    return key.empty() ? nullptr : lookUp(this->accountsByKeyHash, this->current.clientAccounts, sha256Hex(key));
}

const ClientAccount *ActiveSnapshot::findAccount(const std::string &id) const
{
    return lookUp(this->accountsById, this->current.clientAccounts, id);
}

const Service *ActiveSnapshot::findService(const std::string &id) const
{
    return lookUp(this->servicesById, this->current.services, id);
}

const AccessRule *ActiveSnapshot::findRule(const std::string &clientAccount, const std::string &service) const
{
    return lookUp(this->rulesByKey, this->current.rules, ruleKey(clientAccount, service));
}

} // namespace hemlock
