#include "scenariosimulation.h"

#include "prefixindex.h"
#include "reclaimplan.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr double secondsPerHour = 3600.0;
// The announcement that an upstream leaves is sent to all entry VMs directly; the target is 2 s.
constexpr auto leaveAnnouncementDelay = std::chrono::milliseconds(200);
// Tokens recomputed up to this long after the deadline of a reclaim are attributed to it.
constexpr auto recomputationWindow = std::chrono::seconds(20);

} // namespace

ScenarioSimulation::Vm &ScenarioSimulation::addVm(const VmOffer &offer, VmRole role)
{
    Vm &vm = this->vms.emplace_back();
    vm.id = "vm-" + std::to_string(this->vms.size());
    vm.offer = offer;
    vm.role = role;
    vm.costCountedFrom = this->loop.now();
    vm.engine = std::make_unique<EngineModel>(this->loop, this->scenario.engine, this->engineHooks(vm));
    this->vmById[vm.id] = &vm;
    if (offer.reclaimable && offer.reclaimsPerHour > 0.0) {
        std::exponential_distribution<double> hours(offer.reclaimsPerHour);
        constexpr auto notice = std::chrono::seconds(30);
        this->loop.after(fromSeconds(hours(this->random) * secondsPerHour),
                         [this, &vm, notice] { this->reclaim(vm, notice); });
    }
    return vm;
}

void ScenarioSimulation::activateVm(Vm &vm)
{
    vm.role = VmRole::Serving;
    for (const auto &entry : this->entries)
        entry->upstreamJoined(vm.id, vm.offer.zone);
}

void ScenarioSimulation::announceLeaving(Vm &vm, EventLoop::Duration delay)
{
    vm.role = VmRole::Leaving;
    this->loop.after(delay, [this, &vm] {
        for (const auto &entry : this->entries)
            entry->upstreamLeft(vm.id);
    });
}

void ScenarioSimulation::terminateVm(Vm &vm)
{
    if (vm.isTerminated)
        return;
    vm.isTerminated = true;
    this->addVmCost(vm);
    vm.engine->stop();
    if (vm.role != VmRole::Leaving)
        this->announceLeaving(vm, leaveAnnouncementDelay);
    for (const std::uint64_t id : std::exchange(vm.requests, {}))
        this->handleLostRequest(this->requests[id - 1]);
}

void ScenarioSimulation::addVmCost(Vm &vm)
{
    if (vm.costCountedFrom == EventLoop::TimePoint::max())
        return;
    this->result.cost += vm.offer.pricePerHour * toSeconds(this->loop.now() - vm.costCountedFrom) / secondsPerHour;
    vm.costCountedFrom = EventLoop::TimePoint::max();
}

void ScenarioSimulation::reclaim(Vm &vm, EventLoop::Duration notice)
{
    if (vm.role == VmRole::Leaving || vm.isTerminated)
        return;
    const EventLoop::TimePoint deadline = this->loop.now() + notice;
    this->announceLeaving(vm, leaveAnnouncementDelay);
    for (const std::uint64_t block : vm.engine->cachedBlocks()) {
        const bool isCachedInOtherZone = std::any_of(this->vms.begin(), this->vms.end(), [&](const Vm &other) {
            return other.role == VmRole::Serving && other.offer.zone.name != vm.offer.zone.name
                && other.engine->holds(block);
        });
        if (!isCachedInOtherZone)
            this->reclaimedBlocks[block] = deadline + recomputationWindow;
    }
    if (this->policy.reclaim == "export")
        this->loop.after(leaveAnnouncementDelay, [this, &vm, deadline] { this->exportState(vm, deadline); });
    this->loop.at(deadline, [this, &vm] { this->terminateVm(vm); });
}

void ScenarioSimulation::exportState(Vm &vm, EventLoop::TimePoint deadline)
{
    ReclaimInput input;
    input.zone = vm.offer.zone;
    input.bytesPerSecond = this->scenario.exportBytesPerS;
    input.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - this->loop.now());
    const double cacheBytesPerToken = this->scenario.bytesPerCachedToken;
    std::map<std::string, std::uint64_t> documents;
    for (const auto &[document, uses] : vm.documentUses) {
        const auto &blocks = this->documentBlocks[document];
        if (blocks.empty() || !vm.engine->holds(blocks.back()))
            continue;
        CacheItem item;
        item.id = "d" + std::to_string(document);
        const double tokens = static_cast<double>(blocks.size()) * prefixBlockBytes / hemlock::bytesPerToken;
        // A document without recent requests is unlikely to be requested again.
        const auto recent = std::count_if(uses.begin(), uses.end(), [this](EventLoop::TimePoint at) {
            constexpr auto recentUseWindow = std::chrono::seconds(20);
            return this->loop.now() - at < recentUseWindow;
        });
        item.savedTokens = tokens * static_cast<double>(recent);
        item.bytes = tokens * cacheBytesPerToken;
        documents[item.id] = document;
        input.items.push_back(item);
    }
    for (const std::uint64_t id : vm.requests) {
        const ModelRequest &request = this->requests[id - 1];
        CacheItem item;
        item.id = std::to_string(id);
        item.isStream = true;
        const std::string prefix = "d" + std::to_string(request.traffic.document);
        const bool hasPrefix = documents.count(prefix) > 0;
        item.savedTokens = request.emitted + (hasPrefix ? request.traffic.questionTokens : request.promptTokens);
        item.bytes = item.savedTokens * cacheBytesPerToken;
        item.prefix = hasPrefix ? prefix : std::string();
        const int left = request.traffic.answerTokens - request.emitted;
        item.timeToFinish = std::chrono::milliseconds(static_cast<int>(left * this->scenario.betweenTokensMs));
        item.priority = this->scenario.traffic[request.traffic.sourceIndex].priority;
        input.items.push_back(item);
    }
    for (const Vm &other : this->vms) {
        if (other.role != VmRole::Serving)
            continue;
        // Half of each cache is assumed to be available for imports.
        const double freeTokens = this->scenario.engine.cacheTokens * 0.5;
        input.targets.push_back(
            {other.id, other.offer.zone, freeTokens * cacheBytesPerToken, static_cast<double>(other.engine->load())});
    }
    std::map<std::string, double> bytesByItem;
    for (const CacheItem &item : input.items)
        bytesByItem[item.id] = item.bytes;
    EventLoop::TimePoint at = this->loop.now();
    for (const ReclaimStep &step : planReclaim(input)) {
        if (step.action != ReclaimAction::Export)
            continue;
        at += fromSeconds(bytesByItem[step.item] / input.bytesPerSecond) + input.timePerExport;
        Vm *target = this->vmById.at(step.target);
        // The process that orders the export informs the entry VMs immediately, so that requests that arrive before the
        // import is complete are routed to the target as well.
        const auto document = documents.find(step.item);
        if (document != documents.end()) {
            for (const auto &entry : this->entries)
                entry->router.noteCached(target->id, this->documentBlocks[document->second]);
            this->loop.at(at, [this, id = document->second, target] { this->movePrefix(id, *target); });
            continue;
        }
        this->loop.at(at, [this, &vm, id = std::stoull(step.item), target] { this->moveStream(vm, id, *target); });
    }
}

void ScenarioSimulation::moveStream(Vm &vm, std::uint64_t id, Vm &target)
{
    ModelRequest &request = this->requests[id - 1];
    if (vm.isTerminated || request.isDone || vm.requests.count(id) == 0 || target.role != VmRole::Serving)
        return;
    vm.engine->cancel(id);
    vm.requests.erase(id);
    request.upstream = target.id;
    ++request.attempts;
    this->entries[static_cast<std::size_t>(request.traffic.entryVm)]->requestMoved(vm.id, target.id);
    this->deliver(request, target, true);
}

void ScenarioSimulation::movePrefix(std::uint64_t document, Vm &target)
{
    if (target.role != VmRole::Serving)
        return;
    target.engine->importBlocks(this->documentBlocks[document]);
}

void ScenarioSimulation::startEvent(const ScenarioEvent &event)
{
    if (event.kind == "refuse-starts") {
        this->activeRefusals.push_back(event);
        this->loop.after(fromSeconds(event.untilS - event.atS),
                         [this] { this->activeRefusals.erase(this->activeRefusals.begin()); });
        return;
    }
    if (event.kind == "cut-off") {
        this->isolatedEntries.insert(event.entryVm);
        this->loop.after(fromSeconds(event.untilS - event.atS),
                         [this, entry = event.entryVm] { this->isolatedEntries.erase(entry); });
        return;
    }
    for (Vm &vm : this->vms) {
        if (vm.offer.zone.name != event.zone || vm.isTerminated)
            continue;
        if (event.kind == "lose-zone")
            this->terminateVm(vm);
        else if (vm.offer.reclaimable)
            this->reclaim(vm, fromSeconds(event.noticeS));
    }
}

bool ScenarioSimulation::isStartRefused(const VmOffer &offer) const
{
    return std::any_of(
        this->activeRefusals.begin(), this->activeRefusals.end(), [&offer](const ScenarioEvent &refusal) {
            return refusal.zone.empty() ? offer.reclaimable : refusal.zone == offer.zone.name;
        });
}

void ScenarioSimulation::runPlacement()
{
    PlacementInput input;
    input.service = "model";
    input.demand = this->scenario.demandWorkers;
    input.refusals = this->refusals;
    for (const VmOffer &offer : this->scenario.offers) {
        if (this->policy.placement == "mixed" || !offer.reclaimable)
            input.offers.push_back(offer);
    }
    for (const Vm &vm : this->vms) {
        if (!vm.isTerminated)
            input.vms.push_back({vm.id, vm.offer, vm.role, vm.isSpare});
    }
    for (const PlacementOrder &order : this->placement.plan(input, this->loop.now()))
        this->executeOrder(order);
}

void ScenarioSimulation::executeOrder(const PlacementOrder &order)
{
    switch (order.kind) {
    case OrderKind::Start:
    case OrderKind::Warm: {
        if (this->isStartRefused(order.offer)) {
            const auto existing =
                std::find_if(this->refusals.begin(), this->refusals.end(), [&](const RefusedStart &refusedStart) {
                    return refusedStart.zone.name == order.offer.zone.name
                        && refusedStart.vmClass == order.offer.vmClass
                        && refusedStart.reclaimable == order.offer.reclaimable;
                });
            if (existing == this->refusals.end()) {
                this->refusals.push_back(
                    {order.offer.zone, order.offer.vmClass, order.offer.reclaimable, this->loop.now()});
            } else {
                existing->at = this->loop.now();
                ++existing->consecutiveRefusals;
            }
            return;
        }
        std::erase_if(this->refusals, [&](const RefusedStart &refusedStart) {
            return refusedStart.zone.name == order.offer.zone.name && refusedStart.vmClass == order.offer.vmClass
                && refusedStart.reclaimable == order.offer.reclaimable;
        });
        Vm &vm = this->addVm(order.offer, VmRole::Starting);
        vm.isSpare = order.kind == OrderKind::Warm;
        this->loop.after(fromSeconds(this->scenario.startS), [this, &vm] {
            if (vm.isTerminated || vm.role != VmRole::Starting)
                return;
            if (vm.isSpare)
                vm.role = VmRole::Warm;
            else
                this->activateVm(vm);
        });
        return;
    }
    case OrderKind::Activate:
        this->activateVm(*this->vmById.at(order.vm));
        return;
    case OrderKind::Stop: {
        Vm &vm = *this->vmById.at(order.vm);
        constexpr auto drainTime = std::chrono::seconds(30);
        this->announceLeaving(vm, leaveAnnouncementDelay);
        this->loop.after(drainTime, [this, &vm] { this->terminateVm(vm); });
        return;
    }
    }
}

} // namespace hemlock
