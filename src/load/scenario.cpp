#include "scenario.h"

#include "settings.h"

#include <nlohmann/json.hpp>

#include <set>

namespace hemlock {

namespace {

using Json = nlohmann::json;

/// Reads the fields of a JSON object and rejects unknown ones.
class ObjectReader
{
public:
    ObjectReader(const Json &json, std::string jsonPath)
        : json(json)
        , jsonPath(std::move(jsonPath))
    {
        if (!json.is_object())
            throw SettingsError(this->jsonPath + " must be an object");
    }

    template <class T>
    ObjectReader &read(const std::string &name, T &value)
    {
        this->knownNames.insert(name);
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return *this;
        try {
            found->get_to(value);
        } catch (const Json::exception &) {
            throw SettingsError(this->jsonPath + "/" + name + " has the wrong type: " + found->dump());
        }
        return *this;
    }

    template <class T>
    ObjectReader &
    readList(const std::string &name, std::vector<T> &list, T (*readItem)(const Json &, const std::string &))
    {
        this->knownNames.insert(name);
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return *this;
        for (std::size_t i = 0; i < found->size(); ++i)
            list.push_back(readItem((*found)[i], this->jsonPath + "/" + name + "/" + std::to_string(i)));
        return *this;
    }

    void finish() const
    {
        for (const auto &[name, value] : this->json.items()) {
            if (this->knownNames.count(name) == 0)
                throw SettingsError(this->jsonPath + "/" + name + " is unknown");
        }
    }

private:
    const Json &json;
    std::string jsonPath;
    std::set<std::string> knownNames;
};

TrafficSource readTraffic(const Json &json, const std::string &jsonPath)
{
    TrafficSource source;
    ObjectReader(json, jsonPath)
        .read("clientAccount", source.clientAccount)
        .read("weight", source.weight)
        .read("fromS", source.fromS)
        .read("toS", source.toS)
        .read("ratePerS", source.ratePerS)
        .read("priority", source.priority)
        .read("documents", source.documents)
        .read("questionsPerDocument", source.questionsPerDocument)
        .read("documentTokens", source.documentTokens)
        .read("questionTokens", source.questionTokens)
        .read("answerTokens", source.answerTokens)
        .read("entryVm", source.entryVm)
        .read("isFlood", source.isFlood)
        .finish();
    return source;
}

ScenarioEvent readEvent(const Json &json, const std::string &jsonPath)
{
    ScenarioEvent event;
    ObjectReader(json, jsonPath)
        .read("kind", event.kind)
        .read("atS", event.atS)
        .read("untilS", event.untilS)
        .read("zone", event.zone)
        .read("noticeS", event.noticeS)
        .read("entryVm", event.entryVm)
        .finish();
    return event;
}

PolicyConfig readPolicy(const Json &json, const std::string &jsonPath)
{
    PolicyConfig policyConfig;
    ObjectReader(json, jsonPath)
        .read("name", policyConfig.name)
        .read("routing", policyConfig.routing)
        .read("tokensPerRequest", policyConfig.tokensPerRequest)
        .read("loadBound", policyConfig.loadBound)
        .read("boundSlack", policyConfig.boundSlack)
        .read("assumedAlike", policyConfig.assumedAlike)
        .read("homeCredit", policyConfig.homeCredit)
        .read("queue", policyConfig.queue)
        .read("reclaim", policyConfig.reclaim)
        .read("placement", policyConfig.placement)
        .read("loadFactor", policyConfig.loadFactor)
        .read("quiet", policyConfig.quiet)
        .finish();
    return policyConfig;
}

Comparison readComparison(const Json &json, const std::string &jsonPath)
{
    Comparison comparison;
    ObjectReader(json, jsonPath)
        .read("figure", comparison.figure)
        .read("policy", comparison.policy)
        .read("against", comparison.against)
        .read("atMost", comparison.atMost)
        .read("atLeast", comparison.atLeast)
        .read("clientAccount", comparison.clientAccount)
        .finish();
    return comparison;
}

VmOffer readOffer(const Json &json, const std::string &jsonPath)
{
    VmOffer offer;
    ObjectReader(json, jsonPath)
        .read("zone", offer.zone.name)
        .read("class", offer.vmClass)
        .read("reclaimable", offer.reclaimable)
        .read("pricePerHour", offer.pricePerHour)
        .read("reclaimsPerHour", offer.reclaimsPerHour)
        .finish();
    return offer;
}

} // namespace

Scenario readScenario(const std::filesystem::path &file)
{
    const Json json = readJsonFile(file);
    Scenario scenario;
    Json engine = Json::object();
    ObjectReader(json, "")
        .read("name", scenario.name)
        .read("durationS", scenario.durationS)
        .read("measureFromS", scenario.measureFromS)
        .read("measureToS", scenario.measureToS)
        .read("zones", scenario.zones)
        .read("workers", scenario.workers)
        .read("entryVms", scenario.entryVms)
        .read("sameZoneMs", scenario.sameZoneMs)
        .read("crossZoneMs", scenario.crossZoneMs)
        .read("linkLoss", scenario.linkLoss)
        .read("crossZoneRetryMs", scenario.crossZoneRetryMs)
        .read("loadReportS", scenario.loadReportS)
        .read("loadLagS", scenario.loadLagS)
        .read("cacheEventLagS", scenario.cacheEventLagS)
        .read("cacheEventLoss", scenario.cacheEventLoss)
        .read("firstTokenMs", scenario.firstTokenMs)
        .read("betweenTokensMs", scenario.betweenTokensMs)
        .read("exportBytesPerS", scenario.exportBytesPerS)
        .read("bytesPerCachedToken", scenario.bytesPerCachedToken)
        .read("demandWorkers", scenario.demandWorkers)
        .read("startS", scenario.startS)
        .read("limitTokensPerS", scenario.limitTokensPerS)
        .read("engine", engine)
        .readList("traffic", scenario.traffic, readTraffic)
        .readList("events", scenario.events, readEvent)
        .readList("policies", scenario.policies, readPolicy)
        .readList("comparisons", scenario.comparisons, readComparison)
        .readList("offers", scenario.offers, readOffer)
        .finish();
    ObjectReader(engine, "/engine")
        .read("maxBatch", scenario.engine.maxBatch)
        .read("stepMs", scenario.engine.stepMs)
        .read("stepMsPerSequence", scenario.engine.stepMsPerSequence)
        .read("stepMsPerPrefillToken", scenario.engine.stepMsPerPrefillToken)
        .read("prefillTokensPerStep", scenario.engine.prefillTokensPerStep)
        .read("cacheTokens", scenario.engine.cacheTokens)
        .finish();
    if (scenario.zones.empty() || scenario.policies.empty() || scenario.entryVms < 1)
        throw SettingsError("a scenario needs at least one zone, one policy and one entry VM");
    if (scenario.measureToS <= 0.0)
        scenario.measureToS = scenario.durationS;
    for (TrafficSource &source : scenario.traffic) {
        if (source.toS <= 0.0)
            source.toS = scenario.durationS;
    }
    return scenario;
}

} // namespace hemlock
