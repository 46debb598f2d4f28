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
    std::string entryControlAddress; ///< Address of the control interface of its entry process, "IP:PORT".
    std::string controlAddress; ///< Address of its control process, "IP:PORT".
};

/// The state that a control process sends to its entry process: the current configuration, the upstreams and the peers.
struct Snapshot
{
    std::int64_t manifestVersion = 0; ///< Version of the configuration; never decreases.
    std::int64_t sequence = 0; ///< Sequence number of the snapshot within one control process.
    std::vector<Service> services;
    std::vector<ClientAccount> clientAccounts;
    std::vector<AccessRule> rules;
    std::vector<Upstream> upstreams;
    std::vector<Peer> peers; ///< The other entry VMs, without the one that receives the snapshot.
};

void to_json(nlohmann::json &json, const Peer &peer);
void from_json(const nlohmann::json &json, Peer &peer);

/// Parameters of the method "applySnapshot".
void to_json(nlohmann::json &json, const Snapshot &snapshot);
void from_json(const nlohmann::json &json, Snapshot &snapshot);

} // namespace hemlock
