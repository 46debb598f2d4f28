#include "scenario.h"

#include "settings.h"

#include <nlohmann/json.hpp>

#include <set>

namespace hemlock {

namespace {

using Json = nlohmann::json;

/// Reads the fields of one object and reports those that nothing asked for.
class Fields
{
public:
    Fields(const Json &json, std::string place)
        : json(json)
        , place(std::move(place))
    {
        if (!json.is_object())
            throw SettingsError(this->place + " must be an object");
    }

    template <class T>
    Fields &read(const std::string &name, T &value)
    {
        this->known.insert(name);
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return *this;
        try {
            found->get_to(value);
        } catch (const Json::exception &) {
            throw SettingsError(this->place + "/" + name + " has the wrong type: " + found->dump());
        }
        return *this;
    }

    template <class T>
    Fields &readList(const std::string &name, std::vector<T> &list, T (*readItem)(const Json &, const std::string &))
    {
        this->known.insert(name);
        const auto found = this->json.find(name);
        if (found == this->json.end())
            return *this;
        for (std::size_t i = 0; i < found->size(); ++i)
            list.push_back(readItem((*found)[i], this->place + "/" + name + "/" + std::to_string(i)));
        return *this;
    }

    void finish() const
    {
        for (const auto &[name, value] : this->json.items()) {
            if (this->known.count(name) == 0)
                throw SettingsError(this->place + "/" + name + " is unknown");
        }
    }

private:
    const Json &json;
    std::string place;
    std::set<std::string> known;
};

TrafficRow readTraffic(const Json &json, const std::string &place)
{
    TrafficRow row;
    Fields(json, place)
        .read("clientAccount", row.clientAccount)
        .read("weight", row.weight)
        .read("fromS", row.fromS)
        .read("toS", row.toS)
        .read("ratePerS", row.ratePerS)
        .read("priority", row.priority)
        .read("documents", row.documents)
        .read("questionsPerDocument", row.questionsPerDocument)
        .read("documentTokens", row.documentTokens)
        .read("questionTokens", row.questionTokens)
        .read("answerTokens", row.answerTokens)
        .read("entryVm", row.entryVm)
        .read("isFlood", row.isFlood)
        .finish();
    return row;
}

ScenarioEvent readEvent(const Json &json, const std::string &place)
{
    ScenarioEvent event;
    Fields(json, place)
        .read("kind", event.kind)
        .read("atS", event.atS)
        .read("untilS", event.untilS)
        .read("zone", event.zone)
        .read("noticeS", event.noticeS)
        .read("entryVm", event.entryVm)
        .finish();
    return event;
}

PolicyRow readPolicy(const Json &json, const std::string &place)
{
    PolicyRow row;
    Fields(json, place)
        .read("name", row.name)
        .read("routing", row.routing)
        .read("tokensPerRequest", row.tokensPerRequest)
        .read("loadBound", row.loadBound)
        .read("boundSlack", row.boundSlack)
        .read("assumedAlike", row.assumedAlike)
        .read("homeCredit", row.homeCredit)
        .read("queue", row.queue)
        .read("reclaim", row.reclaim)
        .read("placement", row.placement)
        .read("loadFactor", row.loadFactor)
        .read("quiet", row.quiet)
        .finish();
    return row;
}

Comparison readComparison(const Json &json, const std::string &place)
{
    Comparison row;
    Fields(json, place)
        .read("figure", row.figure)
        .read("policy", row.policy)
        .read("against", row.against)
        .read("atMost", row.atMost)
        .read("atLeast", row.atLeast)
        .read("clientAccount", row.clientAccount)
        .finish();
    return row;
}

VmOffer readOffer(const Json &json, const std::string &place)
{
    VmOffer offer;
    Fields(json, place)
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
    Fields(json, "")
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
    Fields(engine, "/engine")
        .read("maxBatch", scenario.engine.maxBatch)
        .read("stepMs", scenario.engine.stepMs)
        .read("stepMsPerSequence", scenario.engine.stepMsPerSequence)
        .read("stepMsPerPrefillToken", scenario.engine.stepMsPerPrefillToken)
        .read("prefillTokensPerStep", scenario.engine.prefillTokensPerStep)
        .read("cacheTokens", scenario.engine.cacheTokens)
        .finish();
    if (scenario.zones.empty() || scenario.policies.empty() || scenario.entryVms < 1)
        throw SettingsError("a scenario needs zones, policies and entry VMs");
    if (scenario.measureToS <= 0.0)
        scenario.measureToS = scenario.durationS;
    for (TrafficRow &row : scenario.traffic) {
        if (row.toS <= 0.0)
            row.toS = scenario.durationS;
    }
    return scenario;
}

} // namespace hemlock
