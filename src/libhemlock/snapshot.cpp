#include "snapshot.h"

#include <nlohmann/json.hpp>

namespace hemlock {

void to_json(nlohmann::json &json, const Peer &peer)
{
    json = {{"id", peer.id},
            {"zone", peer.zone.name},
            {"entryControlAddress", peer.entryControlAddress},
            {"controlAddress", peer.controlAddress}};
}

void from_json(const nlohmann::json &json, Peer &peer)
{
    json.at("id").get_to(peer.id);
    json.at("zone").get_to(peer.zone.name);
    json.at("entryControlAddress").get_to(peer.entryControlAddress);
    json.at("controlAddress").get_to(peer.controlAddress);
}

void to_json(nlohmann::json &json, const Snapshot &snapshot)
{
    json = {{"manifestVersion", snapshot.manifestVersion},
            {"sequence", snapshot.sequence},
            {"services", snapshot.services},
            {"clientAccounts", snapshot.clientAccounts},
            {"rules", snapshot.rules},
            {"upstreams", snapshot.upstreams},
            {"peers", snapshot.peers}};
}

void from_json(const nlohmann::json &json, Snapshot &snapshot)
{
    json.at("manifestVersion").get_to(snapshot.manifestVersion);
    json.at("sequence").get_to(snapshot.sequence);
    json.at("services").get_to(snapshot.services);
    json.at("clientAccounts").get_to(snapshot.clientAccounts);
    json.at("rules").get_to(snapshot.rules);
    json.at("upstreams").get_to(snapshot.upstreams);
    json.at("peers").get_to(snapshot.peers);
}

} // namespace hemlock
