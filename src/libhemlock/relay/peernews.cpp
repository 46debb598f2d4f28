#include "relay/peernews.h"

namespace hemlock {

namespace {

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

} // namespace

void to_json(nlohmann::json &json, const PeerNews &news)
{
    nlohmann::json cached = nlohmann::json::array();
    for (const CachedParts &sent : news.cachedParts) {
        nlohmann::json parts = nlohmann::json::array();
        for (const PromptPart &part : sent.parts)
            parts.push_back({part.id, part.tokens});
        cached.push_back({sent.upstream, std::move(parts)});
    }
    json = {
        {"node", news.node},
        {"run", news.run},
        {"zone", news.zone},
        {"sequence", news.sequence},
        {"timeMs", std::chrono::duration_cast<std::chrono::milliseconds>(news.timeOfDay.time_since_epoch()).count()},
        {"quota", news.quotaTotals},
        {"loads", encodeLoads(news.loads)},
        {"demand", news.demand},
        {"usage", encodeUsage(news.usage)},
        {"cached", std::move(cached)},
        {"quarantine", news.quarantine}};
}

void from_json(const nlohmann::json &json, PeerNews &news)
{
    json.at("node").get_to(news.node);
    json.at("run").get_to(news.run);
    json.at("zone").get_to(news.zone);
    json.at("sequence").get_to(news.sequence);
    news.timeOfDay =
        std::chrono::system_clock::time_point(std::chrono::milliseconds(json.at("timeMs").get<std::int64_t>()));
    json.at("quota").get_to(news.quotaTotals);
    news.loads = decodeLoads(json.at("loads"));
    json.at("demand").get_to(news.demand);
    news.usage = decodeUsage(json.at("usage"));
    for (const nlohmann::json &sent : json.at("cached")) {
        CachedParts cached{sent.at(0).get<std::string>(), {}};
        for (const nlohmann::json &part : sent.at(1))
            cached.parts.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<double>()});
        news.cachedParts.push_back(std::move(cached));
    }
    news.quarantine = json.at("quarantine");
}

void to_json(nlohmann::json &json, const ZoneNews &news)
{
    json = {{"zone", news.zone},
            {"run", news.run},
            {"sequence", news.sequence},
            {"vms", news.vms},
            {"quota", news.quotaTotals},
            {"loads", encodeLoads(news.loads)},
            {"demand", news.demand},
            {"quarantine", news.quarantine}};
}

void from_json(const nlohmann::json &json, ZoneNews &news)
{
    json.at("zone").get_to(news.zone);
    json.at("run").get_to(news.run);
    json.at("sequence").get_to(news.sequence);
    json.at("vms").get_to(news.vms);
    json.at("quota").get_to(news.quotaTotals);
    news.loads = decodeLoads(json.at("loads"));
    json.at("demand").get_to(news.demand);
    news.quarantine = json.at("quarantine");
}

void to_json(nlohmann::json &json, const UsageNews &news)
{
    json = {{"run", news.run}, {"usage", encodeUsage(news.usage)}};
}

void from_json(const nlohmann::json &json, UsageNews &news)
{
    json.at("run").get_to(news.run);
    news.usage = decodeUsage(json.at("usage"));
}

} // namespace hemlock
