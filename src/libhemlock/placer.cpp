#include "placer.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::string_view roleKey = "roles/placer";
constexpr std::string_view recordPrefix = "placement/";
constexpr std::chrono::milliseconds planInterval{2000};
/// Longer than the timeout of a call to the cloud API, so that no order of the previous holder is still in transit.
constexpr std::chrono::seconds takeoverDelay{8};
/// The list of VMs lags behind; a start that it does not show within this time is considered failed.
constexpr std::chrono::seconds pendingStartTimeout{120};
/// Concurrent requests that one upstream can process within the latency target.
constexpr double requestsPerUpstream = 8.0;
/// Above this utilisation requests queue in the entry processes, where the placer does not see them, so the demand
/// estimate is multiplied by saturatedDemandFactor.
constexpr double highUtilisation = 0.85;
constexpr double saturatedDemandFactor = 1.5;
/// Maximum number of upstreams per service whose load is read in one round; the load of larger services is estimated
/// from a random sample.
constexpr std::size_t maxSampledUpstreams = 64;
constexpr double assumedReclaimsPerHour = 0.05;

json encodeOffer(const VmOffer &offer)
{
    return {{"zone", offer.zone.name},
            {"class", offer.vmClass},
            {"reclaimable", offer.reclaimable},
            {"pricePerHour", offer.pricePerHour}};
}

VmOffer decodeOffer(const json &object)
{
    VmOffer offer;
    object.at("zone").get_to(offer.zone.name);
    object.at("class").get_to(offer.vmClass);
    object.at("reclaimable").get_to(offer.reclaimable);
    offer.pricePerHour = object.value("pricePerHour", 0.0);
    offer.capacity = requestsPerUpstream;
    offer.reclaimsPerHour = offer.reclaimable ? assumedReclaimsPerHour : 0.0;
    return offer;
}

bool isAllowed(const std::set<std::string> &allowed, const std::string &name)
{
    return allowed.empty() || allowed.contains(name);
}

std::string orderId(const PlacementOrder &order)
{
    return "order-" + std::to_string(order.fencingToken) + "-" + std::to_string(order.sequence);
}

} // namespace

void from_json(const json &object, PlacementRule &rule)
{
    rule = {};
    object.at("service").get_to(rule.service);
    rule.minimum = object.value("minimum", rule.minimum);
    rule.maximum = object.value("maximum", rule.maximum);
    rule.classes = object.value("classes", rule.classes);
    rule.zones = object.value("zones", rule.zones);
}

/// Data that one round of planning has read so far.
struct Placer::Round
{
    std::vector<PlacementRule> rules;
    std::map<std::string, UpstreamState> states; ///< By VM identifier.
    std::vector<VmOffer> offers;
    json vms = json::array();
    std::map<std::string, std::vector<double>> loads; ///< Of the sampled upstreams, by service.
    std::size_t pendingReads = 0;
};

Placer::Placer(KvAccess kv, std::string self, PlacerIo io, PlacementSettings settings)
    : role(kv, {std::string(roleKey), std::move(self), std::chrono::seconds(15)})
    , kv(std::move(kv))
    , io(std::move(io))
    , settings(settings)
{
}

void Placer::tick(bool mayClaim, const std::vector<PlacementRule> &rules, const std::vector<Upstream> &upstreams)
{
    if (mayClaim || this->role.isHeld())
        this->role.tick(this->io.now(), this->io.random());
    if (!this->role.isHeld())
        return;
    if (this->role.fencingToken() != this->term)
        this->beginTerm();
    const TimePoint now = this->io.now();
    if (this->isPlanning || !this->planningStart || now < *this->planningStart)
        return;
    if (!rules.empty() && this->planTask.isDue(now, planInterval, this->io.random()))
        this->beginRound(rules, upstreams);
}

bool Placer::isHeld() const
{
    return this->role.isHeld();
}

void Placer::release()
{
    this->role.release();
}

void Placer::beginTerm()
{
    this->term = this->role.fencingToken();
    this->placements.clear();
    this->pendingStarts.clear();
    this->refusals.clear();
    this->planningStart.reset();
    this->io.log(LogLevel::Info, "placer-elected", {{"fencingToken", this->term}});
    this->readRecords();
}

void Placer::readRecords()
{
    this->kv.range(
        std::string(recordPrefix),
        true,
        [this, readTerm = this->term, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired() || readTerm != this->term)
                return;
            const TimePoint now = this->io.now();
            if (result.status != KvStatus::Ok) {
                this->term = 0; // The next tick calls beginTerm() again.
                return;
            }
            for (const KvEntry &entry : result.entries) {
                const json record = json::parse(entry.value, nullptr, false);
                if (!record.is_object() || record.value("kind", "") != orderKindName(OrderKind::Start))
                    continue;
                PendingStart start;
                start.service = record.value("service", "");
                start.vm.id = record.value("order", "");
                start.vm.offer = decodeOffer(record.at("offer"));
                start.since = now;
                this->pendingStarts[start.vm.id] = start;
            }
            this->planningStart = now + takeoverDelay;
        });
}

void Placer::beginRound(const std::vector<PlacementRule> &rules, const std::vector<Upstream> &upstreams)
{
    this->isPlanning = true;
    const auto round = std::make_shared<Round>();
    round->rules = rules;
    for (const Upstream &upstream : upstreams)
        round->states[upstream.id] = upstream.state;
    this->readPrices(round);
}

void Placer::readList(const std::string &path, std::function<void(const json &body)> read)
{
    this->io.cloud("GET",
                   path,
                   nullptr,
                   [this, read = std::move(read), alive = std::weak_ptr<bool>(this->alive)](const CloudAnswer &answer) {
                       if (alive.expired())
                           return;
                       if (answer.status == 200)
                           read(answer.body);
                       else
                           this->isPlanning = false;
                   });
}

void Placer::readPrices(const std::shared_ptr<Round> &round)
{
    this->readList("/cloud/v1/prices", [this, round](const json &body) {
        for (const json &price : body.value("prices", json::array()))
            round->offers.push_back(decodeOffer(price));
        this->readVms(round);
    });
}

void Placer::readVms(const std::shared_ptr<Round> &round)
{
    this->readList("/cloud/v1/vms", [this, round](const json &body) {
        round->vms = body.value("vms", json::array());
        this->readLoads(round);
    });
}

void Placer::readLoads(const std::shared_ptr<Round> &round)
{
    std::vector<std::pair<std::string, std::string>> sample; ///< Service and address.
    for (const PlacementRule &rule : round->rules) {
        std::vector<std::string> addresses;
        for (const json &vm : round->vms) {
            if (vm.at("service") == rule.service && round->states[vm.at("id")] == UpstreamState::Serving)
                addresses.push_back(vm.at("address"));
        }
        while (addresses.size() > maxSampledUpstreams) {
            const auto dropped = static_cast<std::size_t>(this->io.random() * static_cast<double>(addresses.size()));
            std::swap(addresses[dropped], addresses.back());
            addresses.pop_back();
        }
        for (const std::string &address : addresses)
            sample.emplace_back(rule.service, address);
    }
    if (sample.empty())
        return this->plan(round);
    round->pendingReads = sample.size();
    for (const auto &[service, address] : sample) {
        this->io.readLoad(
            address,
            [this, round, service = service, alive = std::weak_ptr<bool>(this->alive)](std::optional<double> load) {
                if (alive.expired())
                    return;
                if (load)
                    round->loads[service].push_back(*load);
                if (--round->pendingReads == 0)
                    this->plan(round);
            });
    }
}

void Placer::plan(const std::shared_ptr<Round> &round)
{
    this->isPlanning = false;
    if (!this->role.isHeld() || this->role.fencingToken() != this->term)
        return;
    std::set<std::string> listed;
    for (const json &vm : round->vms)
        listed.insert(vm.at("id").get<std::string>());
    this->dropPendingStarts(listed);
    for (const PlacementRule &rule : round->rules) {
        PlacementInput input = this->makeInput(*round, rule);
        auto &placement = this->placements.try_emplace(rule.service, this->term, this->settings).first->second;
        std::size_t running = input.vms.size();
        for (const PlacementOrder &order : placement.plan(input, this->io.now())) {
            const bool isStart = order.kind == OrderKind::Start;
            if (isStart && rule.maximum != 0 && running >= rule.maximum)
                continue;
            if (order.kind == OrderKind::Stop && running <= rule.minimum)
                continue;
            if (!isStart && order.kind != OrderKind::Stop)
                continue;
            running = isStart ? running + 1 : running - 1;
            this->record(order);
        }
    }
}

PlacementInput Placer::makeInput(const Round &round, const PlacementRule &rule)
{
    PlacementInput input;
    input.service = rule.service;
    input.refusals = this->refusals[rule.service];
    for (const VmOffer &offer : round.offers) {
        if (isAllowed(rule.classes, offer.vmClass) && isAllowed(rule.zones, offer.zone.name))
            input.offers.push_back(offer);
    }
    std::size_t serving = 0;
    for (const json &vm : round.vms) {
        if (vm.at("service") != rule.service)
            continue;
        PlacedVm placed;
        placed.id = vm.at("id");
        placed.offer = decodeOffer(vm);
        const auto state = round.states.find(placed.id);
        const bool isLeaving = vm.value("state", "") == "leaving"
            || (state != round.states.end()
                && (state->second == UpstreamState::Leaving || state->second == UpstreamState::Gone));
        const bool isServing = state != round.states.end() && state->second == UpstreamState::Serving;
        placed.role = isLeaving ? VmRole::Leaving : isServing ? VmRole::Serving : VmRole::Starting;
        serving += isServing && !isLeaving ? 1 : 0;
        input.vms.push_back(placed);
    }
    for (const auto &[id, start] : this->pendingStarts) {
        if (start.service == rule.service)
            input.vms.push_back(start.vm);
    }
    input.demand = this->demand(round, rule, serving);
    return input;
}

double Placer::demand(const Round &round, const PlacementRule &rule, std::size_t serving) const
{
    const double minimumDemand = static_cast<double>(rule.minimum) * requestsPerUpstream;
    const auto loads = round.loads.find(rule.service);
    if (loads == round.loads.end() || loads->second.empty())
        return minimumDemand;
    double sum = 0.0;
    for (const double load : loads->second)
        sum += load;
    const double mean = sum / static_cast<double>(loads->second.size());
    const double estimate = mean * static_cast<double>(serving);
    const bool isSaturated = mean >= highUtilisation * requestsPerUpstream;
    return std::max(minimumDemand, isSaturated ? estimate * saturatedDemandFactor : estimate);
}

void Placer::record(const PlacementOrder &order)
{
    const json record = {{"order", orderId(order)},
                         {"kind", orderKindName(order.kind)},
                         {"service", order.service},
                         {"vm", order.vm},
                         {"offer", encodeOffer(order.offer)},
                         {"fencingToken", order.fencingToken}};
    if (order.kind == OrderKind::Start) {
        PlacedVm vm;
        vm.id = orderId(order);
        vm.offer = order.offer;
        this->pendingStarts[vm.id] = {vm, order.service, this->io.now()};
    }
    // Keys are reused, so that the store keeps a bounded number of recent orders per service.
    constexpr std::int64_t recordSlots = 32;
    const std::string key =
        std::string(recordPrefix) + order.service + "/" + std::to_string(order.sequence % recordSlots);
    this->role.commit({{key, record.dump(), 0}},
                      [this, order, alive = std::weak_ptr<bool>(this->alive)](LeaderRole::CommitResult result) {
                          if (alive.expired())
                              return;
                          // An order is not sent if it is unknown whether it was recorded; the next round plans it
                          // again.
                          if (result == LeaderRole::CommitResult::Committed)
                              return this->send(order);
                          this->pendingStarts.erase(orderId(order));
                          this->io.log(LogLevel::Warning,
                                       "placement-not-recorded",
                                       {{"order", orderId(order)}, {"service", order.service}});
                      });
}

void Placer::send(const PlacementOrder &order)
{
    this->io.log(LogLevel::Info,
                 "placement",
                 {{"order", orderId(order)},
                  {"kind", orderKindName(order.kind)},
                  {"service", order.service},
                  {"vm", order.vm},
                  {"offer", encodeOffer(order.offer)},
                  {"reason", order.reason}});
    if (order.kind == OrderKind::Start)
        return this->startVm(order);
    this->stopVm(order);
}

void Placer::startVm(const PlacementOrder &order)
{
    json body = encodeOffer(order.offer);
    body["service"] = order.service;
    this->io.cloud("POST",
                   "/cloud/v1/vms",
                   body,
                   [this, order, alive = std::weak_ptr<bool>(this->alive)](const CloudAnswer &answer) {
                       if (alive.expired())
                           return;
                       const auto found = this->pendingStarts.find(orderId(order));
                       if (found == this->pendingStarts.end())
                           return;
                       const PendingStart start = found->second;
                       // If the outcome is unknown the order stays pending, so that no second VM is started for it.
                       if (answer.status == 0)
                           return;
                       this->pendingStarts.erase(found);
                       if (answer.status >= 400)
                           return this->recordRefusal(order);
                       this->refusals[order.service].clear();
                       const std::string id = answer.body.value("id", start.vm.id);
                       this->pendingStarts[id] = start;
                       this->pendingStarts[id].vm.id = id;
                   });
}

void Placer::stopVm(const PlacementOrder &order)
{
    this->io.cloud("DELETE", "/cloud/v1/vms/" + order.vm, nullptr, [](const CloudAnswer &) {});
}

void Placer::dropPendingStarts(const std::set<std::string> &listed)
{
    const TimePoint now = this->io.now();
    std::erase_if(this->pendingStarts, [&](const auto &entry) {
        return listed.contains(entry.first) || now - entry.second.since > pendingStartTimeout;
    });
}

void Placer::recordRefusal(const PlacementOrder &order)
{
    std::vector<RefusedStart> &serviceRefusals = this->refusals[order.service];
    const auto same =
        std::find_if(serviceRefusals.begin(), serviceRefusals.end(), [&order](const RefusedStart &refusal) {
            return refusal.zone == order.offer.zone && refusal.vmClass == order.offer.vmClass
                && refusal.reclaimable == order.offer.reclaimable;
        });
    this->io.log(LogLevel::Warning, "start-refused", {{"order", orderId(order)}, {"offer", encodeOffer(order.offer)}});
    if (same == serviceRefusals.end()) {
        serviceRefusals.push_back({order.offer.zone, order.offer.vmClass, order.offer.reclaimable, this->io.now(), 1});
        return;
    }
    same->at = this->io.now();
    ++same->consecutiveRefusals;
}

} // namespace hemlock
