#pragma once

#include "enginemodel.h"
#include "entrymodel.h"
#include "eventloop.h"
#include "placement.h"
#include "runresult.h"
#include "scenario.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hemlock {

/// Simulates one run of a scenario with one policy and seed in virtual time.
class ScenarioSimulation
{
public:
    ScenarioSimulation(const Scenario &scenario, const PolicyConfig &policy, std::uint64_t seed);

    RunResult run();

private:
    struct Vm
    {
        std::string id;
        VmOffer offer;
        VmRole role = VmRole::Starting;
        bool isSpare = false; ///< Becomes warm after its start instead of serving.
        bool isTerminated = false;
        std::unique_ptr<EngineModel> engine;
        std::set<std::uint64_t> requests;
        std::map<std::uint64_t, std::deque<EventLoop::TimePoint>> documentUses; ///< Arrival times.
        EventLoop::TimePoint costCountedFrom; ///< TimePoint::max() once the cost has been added.
    };

    // Fleet.
    Vm &addVm(const VmOffer &offer, VmRole role);
    void activateVm(Vm &vm);
    void announceLeaving(Vm &vm, EventLoop::Duration delay);
    void terminateVm(Vm &vm);
    void addVmCost(Vm &vm);
    void reclaim(Vm &vm, EventLoop::Duration notice);
    void exportState(Vm &vm, EventLoop::TimePoint deadline);
    void moveStream(Vm &vm, std::uint64_t id, Vm &target);
    void movePrefix(std::uint64_t document, Vm &target);
    void runPlacement();
    void executeOrder(const PlacementOrder &order);
    bool isStartRefused(const VmOffer &offer) const;

    // Requests.
    void send(ModelRequest &request);
    void deliver(ModelRequest &request, Vm &vm, bool hasCache);
    void handleLostRequest(ModelRequest &request);
    EngineHooks engineHooks(Vm &vm);
    EventLoop::Duration linkDelay(const AvailabilityZone &a, const AvailabilityZone &b);

    // Messages between processes.
    void reportLoads();
    void exchangeShares();
    void startEvent(const ScenarioEvent &event);

    // Metrics.
    bool isMeasured(const ModelRequest &request) const;
    void countTokens(const EngineRequest &request, std::size_t cachedBlocks, int prefillTokens);
    void countAdmittedTokens(double tokens);
    RunResult collectResult();

    const Scenario &scenario;
    const PolicyConfig &policy;
    std::uint64_t seed;
    RandomEngine random;
    EventLoop loop;
    std::deque<ModelRequest> requests;
    std::vector<std::unique_ptr<EntryModel>> entries;
    std::deque<Vm> vms;
    std::map<std::string, Vm *> vmById;
    Placement placement;
    std::vector<RefusedStart> refusals;
    std::vector<ScenarioEvent> activeRefusals; ///< "refuse-starts" events in effect.
    std::set<int> isolatedEntries; ///< Entry VMs that exchange no shares of rate limits with the others.
    std::unordered_set<std::uint64_t> computedBlocks;
    std::map<std::uint64_t, std::vector<std::uint64_t>> documentBlocks;
    /// Blocks that no serving VM in another zone held when the reclaim notice came, with the time until which
    /// recomputing them is counted in recomputedAfterReclaim.
    std::unordered_map<std::uint64_t, EventLoop::TimePoint> reclaimedBlocks;
    std::vector<double> admittedTokensBySecond;
    RunResult result;
};

} // namespace hemlock
