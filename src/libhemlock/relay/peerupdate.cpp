#include "relay/peerupdate.h"

namespace hemlock {

namespace {

std::int64_t millisecondsSinceEpoch(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::chrono::system_clock::time_point timeSinceEpoch(const nlohmann::json &milliseconds)
{
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(milliseconds.get<std::int64_t>()));
}

nlohmann::json encodeLoads(const PeerLoads &loads)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[upstream, load] : loads)
        json[upstream] = {load.requests, static_cast<std::int64_t>(load.pendingTokens)};
    return json;
}

PeerLoads decodeLoads(const nlohmann::json &json)
{
    PeerLoads loads;
    for (const auto &[upstream, load] : json.items())
        loads[upstream] = {load.at(0).get<int>(), load.at(1).get<double>()};
    return loads;
}

nlohmann::json encodeUsage(const std::map<std::int64_t, UsageCounts> &windows)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[window, counts] : windows)
        json[std::to_string(window)] = counts;
    return json;
}

std::map<std::int64_t, UsageCounts> decodeUsage(const nlohmann::json &json)
{
    std::map<std::int64_t, UsageCounts> windows;
    for (const auto &[window, counts] : json.items())
        windows[std::stoll(window)] = counts.get<UsageCounts>();
    return windows;
}

/// The notices of one kind in a message, or none.
nlohmann::json noticesOf(const nlohmann::json &message, const char *kind)
{
    return message.is_object() ? message.value(kind, nlohmann::json::object()) : nlohmann::json::object();
}

} // namespace

void to_json(nlohmann::json &json, const PeerUpdate &update)
{
    nlohmann::json cached = nlohmann::json::array();
    for (const CachedParts &entry : update.cachedParts) {
        nlohmann::json parts = nlohmann::json::array();
        for (const PromptPart &part : entry.parts)
            parts.push_back({part.id, part.tokens});
        cached.push_back({entry.upstream, std::move(parts)});
    }
    json = {{"node", update.node},
            {"run", update.runId},
            {"zone", update.zone},
            {"sequence", update.sequence},
            {"cpu", update.rank.cpuShare},
            {"startedMs", millisecondsSinceEpoch(update.rank.started)},
            {"timeMs", millisecondsSinceEpoch(update.timeOfDay)},
            {"quota", update.quotaTotals},
            {"loads", encodeLoads(update.loads)},
            {"demand", update.demand},
            {"usage", encodeUsage(update.usage)},
            {"cached", std::move(cached)},
            {"quarantine", update.quarantine},
            {"limits", noticesOf(update.upstreamNotices, "limits")},
            {"leaving", noticesOf(update.upstreamNotices, "leaving")}};
}

void from_json(const nlohmann::json &json, PeerUpdate &update)
{
    json.at("node").get_to(update.node);
    json.at("run").get_to(update.runId);
    json.at("zone").get_to(update.zone);
    json.at("sequence").get_to(update.sequence);
    json.at("cpu").get_to(update.rank.cpuShare);
    update.rank.started = timeSinceEpoch(json.at("startedMs"));
    update.timeOfDay = timeSinceEpoch(json.at("timeMs"));
    json.at("quota").get_to(update.quotaTotals);
    update.loads = decodeLoads(json.at("loads"));
    json.at("demand").get_to(update.demand);
    update.usage = decodeUsage(json.at("usage"));
    for (const nlohmann::json &entry : json.at("cached")) {
        CachedParts cached{entry.at(0).get<std::string>(), {}};
        for (const nlohmann::json &part : entry.at(1))
            cached.parts.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<double>()});
        update.cachedParts.push_back(std::move(cached));
    }
    update.quarantine = json.at("quarantine");
    update.upstreamNotices = {{"limits", noticesOf(json, "limits")}, {"leaving", noticesOf(json, "leaving")}};
}

void to_json(nlohmann::json &json, const ZoneUpdate &update)
{
    json = {{"zone", update.zone},
            {"run", update.runId},
            {"sequence", update.sequence},
            {"vms", update.vms},
            {"quota", update.quotaTotals},
            {"loads", encodeLoads(update.loads)},
            {"demand", update.demand},
            {"quarantine", update.quarantine},
            {"limits", noticesOf(update.upstreamNotices, "limits")},
            {"leaving", noticesOf(update.upstreamNotices, "leaving")}};
}

void from_json(const nlohmann::json &json, ZoneUpdate &update)
{
    json.at("zone").get_to(update.zone);
    json.at("run").get_to(update.runId);
    json.at("sequence").get_to(update.sequence);
    json.at("vms").get_to(update.vms);
    json.at("quota").get_to(update.quotaTotals);
    update.loads = decodeLoads(json.at("loads"));
    json.at("demand").get_to(update.demand);
    update.quarantine = json.at("quarantine");
    update.upstreamNotices = {{"limits", noticesOf(json, "limits")}, {"leaving", noticesOf(json, "leaving")}};
}

void to_json(nlohmann::json &json, const UsageUpdate &update)
{
    json = {{"run", update.runId}, {"usage", encodeUsage(update.usage)}};
    if (!update.rolloutReport.is_null()) {
        json["rolloutReport"] = update.rolloutReport;
        json["node"] = update.node;
    }
    if (!update.rolloutAnswer.is_null())
        json["rolloutAnswer"] = update.rolloutAnswer;
}

void from_json(const nlohmann::json &json, UsageUpdate &update)
{
    json.at("run").get_to(update.runId);
    update.usage = decodeUsage(json.at("usage"));
    update.rolloutReport = json.value("rolloutReport", nlohmann::json());
    update.rolloutAnswer = json.value("rolloutAnswer", nlohmann::json());
    update.node = json.value("node", std::string());
}

} // namespace hemlock
