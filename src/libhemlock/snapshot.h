#pragma once

#include "clientaccount.h"
#include "service.h"
#include "upstream.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlock {

/// Another entry VM.
struct Peer
{
    std::string id;
    AvailabilityZone zone;
    std::string entryControlAddress; ///< Control address of its entry process, "IP:PORT".
    std::string controlAddress; ///< Address of its control process, "IP:PORT".
};

/// All that a control process tells its entry process: the configuration in force, the upstreams and the peers.
struct Snapshot
{
    std::int64_t manifestVersion = 0; ///< Version of the configuration; never decreases.
    std::int64_t sequence = 0; ///< Counts the snapshots of one control process.
    std::vector<Service> services;
    std::vector<ClientAccount> clientAccounts;
    std::vector<AccessRule> rules;
    std::vector<Upstream> upstreams;
    std::vector<Peer> peers; ///< Without the VM itself.
};

void to_json(nlohmann::json &json, const Peer &peer);
void from_json(const nlohmann::json &json, Peer &peer);

/// Parameters of the method "applySnapshot".
void to_json(nlohmann::json &json, const Snapshot &snapshot);
void from_json(const nlohmann::json &json, Snapshot &snapshot);

} // namespace hemlock
