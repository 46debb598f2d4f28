#include "relay/peernews.h"

namespace hemlock {

void to_json(nlohmann::json &json, const PeerNews &news)
{
    nlohmann::json loads = nlohmann::json::object();
    for (const auto &[upstream, load] : news.loads)
        loads[upstream] = {load.requests, load.pendingTokens};
    nlohmann::json usage = nlohmann::json::object();
    for (const auto &[window, counts] : news.usage)
        usage[std::to_string(window)] = counts;
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
        {"sequence", news.sequence},
        {"timeMs", std::chrono::duration_cast<std::chrono::milliseconds>(news.timeOfDay.time_since_epoch()).count()},
        {"quota", news.quotaTotals},
        {"loads", std::move(loads)},
        {"work", news.work},
        {"usage", std::move(usage)},
        {"cached", std::move(cached)},
        {"quarantine", news.quarantine}};
}

void from_json(const nlohmann::json &json, PeerNews &news)
{
    json.at("node").get_to(news.node);
    json.at("run").get_to(news.run);
    json.at("sequence").get_to(news.sequence);
    news.timeOfDay =
        std::chrono::system_clock::time_point(std::chrono::milliseconds(json.at("timeMs").get<std::int64_t>()));
    json.at("quota").get_to(news.quotaTotals);
    for (const auto &[upstream, load] : json.at("loads").items())
        news.loads[upstream] = {load.at(0).get<int>(), load.at(1).get<double>()};
    json.at("work").get_to(news.work);
    for (const auto &[window, counts] : json.at("usage").items())
        news.usage[std::stoll(window)] = counts.get<UsageCounts>();
    for (const nlohmann::json &sent : json.at("cached")) {
        CachedParts cached{sent.at(0).get<std::string>(), {}};
        for (const nlohmann::json &part : sent.at(1))
            cached.parts.push_back({part.at(0).get<std::uint64_t>(), part.at(1).get<double>()});
        news.cachedParts.push_back(std::move(cached));
    }
    news.quarantine = json.at("quarantine");
}

} // namespace hemlock
