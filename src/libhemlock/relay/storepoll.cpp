#include "relay/storepoll.h"

#include <nlohmann/json.hpp>

namespace hemlock {

const char *const storePollPath = "/store-changes";

std::string encodeStorePoll(const StorePoll &poll)
{
    return nlohmann::json{
        {"prefix", poll.prefix}, {"revision", poll.revision}, {"era", poll.era}, {"waitMs", poll.wait.count()}}
        .dump();
}

StorePoll decodeStorePoll(const std::string &body)
{
    const auto json = nlohmann::json::parse(body);
    StorePoll poll;
    json.at("prefix").get_to(poll.prefix);
    json.at("revision").get_to(poll.revision);
    poll.wait = std::chrono::milliseconds(json.at("waitMs").get<std::int64_t>());
    poll.era = json.value("era", std::int64_t{0});
    return poll;
}

std::string encodeStoreChanges(const KvChanges &changes)
{
    nlohmann::json events = nlohmann::json::array();
    for (const KvEvent &event : changes.events)
        events.push_back({event.isDelete, event.entry.key, event.entry.value, event.entry.modRevision});
    // CBOR, since values may hold any bytes.
    std::string body;
    nlohmann::json::to_cbor(
        {{"compacted", changes.isCompacted}, {"revision", changes.revision}, {"era", changes.era}, {"events", events}},
        body);
    return body;
}

PeerPollResult decodePeerPollResult(int status, const std::string &body)
{
    PeerPollResult result;
    if (status == storeLostStatus) {
        result.status = PeerPollResult::Status::StoreLost;
        result.error = "the peer has lost the store";
        return result;
    }
    if (status != 200) {
        result.error = "the peer answered with status " + std::to_string(status);
        return result;
    }
    try {
        const auto json = nlohmann::json::from_cbor(body);
        json.at("compacted").get_to(result.changes.isCompacted);
        json.at("revision").get_to(result.changes.revision);
        result.changes.era = json.value("era", std::int64_t{0});
        for (const nlohmann::json &item : json.at("events")) {
            KvEvent event;
            item.at(0).get_to(event.isDelete);
            item.at(1).get_to(event.entry.key);
            item.at(2).get_to(event.entry.value);
            item.at(3).get_to(event.entry.modRevision);
            result.changes.events.push_back(std::move(event));
        }
        result.changes.status = KvStatus::Ok;
        result.status = PeerPollResult::Status::Answered;
    } catch (const std::exception &error) {
        result.changes = {};
        result.error = error.what();
    }
    return result;
}

} // namespace hemlock
