#include "rollout/rolloutcodec.h"

#include <algorithm>
#include <array>

namespace hemlock {

namespace {

/// A route takes up to some 150 bytes of a datagram.
constexpr std::size_t maxRoutes = 16;

std::int64_t toMilliseconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::chrono::system_clock::time_point toTime(const nlohmann::json &milliseconds)
{
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(milliseconds.get<std::int64_t>()));
}

/// Number of failures, then pairs of a bucket and its number of responses.
nlohmann::json encodeVersion(const VersionCounts &counts)
{
    nlohmann::json json = nlohmann::json::array({static_cast<std::int64_t>(counts.failed)});
    for (std::size_t i = 0; i < counts.delays.size(); ++i) {
        if (counts.delays.at(i) == 0.0)
            continue;
        json.push_back(i);
        json.push_back(static_cast<std::int64_t>(counts.delays.at(i)));
    }
    return json;
}

VersionCounts decodeVersion(const nlohmann::json &json)
{
    VersionCounts counts;
    counts.failed = std::max(0.0, json.at(0).get<double>());
    for (std::size_t i = 1; i + 1 < json.size(); i += 2) {
        const auto bucket = json.at(i).get<std::size_t>();
        counts.delays.at(std::min(bucket, VersionCounts::bucketCount - 1)) +=
            std::max(0.0, json.at(i + 1).get<double>());
    }
    return counts;
}

RolloutPhase phaseOf(const std::string &name)
{
    constexpr std::array phases{RolloutPhase::Trial,
                                RolloutPhase::Probe,
                                RolloutPhase::Promoted,
                                RolloutPhase::Completed,
                                RolloutPhase::RolledBack};
    const auto found = std::find_if(
        phases.begin(), phases.end(), [&name](RolloutPhase phase) { return name == rolloutPhaseName(phase); });
    return found == phases.end() ? RolloutPhase::None : *found;
}

} // namespace

std::string encodeRolloutRecord(const RolloutRecord &record)
{
    return nlohmann::json{{"service", record.order.service},
                          {"target", record.order.target},
                          {"durationMs", record.order.duration.count()},
                          {"text", record.order.text},
                          {"revision", record.order.revision},
                          {"era", record.order.era},
                          {"phase", rolloutPhaseName(record.phase)},
                          {"inUse", record.versionInUse},
                          {"firstSeenMs", toMilliseconds(record.firstSeen)},
                          {"phaseBeganMs", toMilliseconds(record.phaseBegan)}}
        .dump();
}

RolloutRecord decodeRolloutRecord(const std::string &text)
{
    const auto json = nlohmann::json::parse(text);
    RolloutRecord record;
    json.at("service").get_to(record.order.service);
    json.at("target").get_to(record.order.target);
    record.order.duration = std::chrono::milliseconds(json.at("durationMs").get<std::int64_t>());
    json.at("text").get_to(record.order.text);
    json.at("revision").get_to(record.order.revision);
    json.at("era").get_to(record.order.era);
    record.phase = phaseOf(json.at("phase").get<std::string>());
    json.at("inUse").get_to(record.versionInUse);
    record.firstSeen = toTime(json.at("firstSeenMs"));
    record.phaseBegan = toTime(json.at("phaseBeganMs"));
    return record;
}

nlohmann::json encodeRolloutCounts(const RolloutCounts &counts)
{
    RolloutCounts sent;
    for (const auto &[route, versions] : counts) {
        const std::string &name = sent.size() < maxRoutes ? route : std::string();
        sent[name].inUse += versions.inUse;
        sent[name].target += versions.target;
    }
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[route, versions] : sent)
        json[route] = {encodeVersion(versions.inUse), encodeVersion(versions.target)};
    return json;
}

RolloutCounts decodeRolloutCounts(const nlohmann::json &json)
{
    RolloutCounts counts;
    for (const auto &[route, versions] : json.items())
        counts[route] = {decodeVersion(versions.at(0)), decodeVersion(versions.at(1))};
    return counts;
}

} // namespace hemlock
