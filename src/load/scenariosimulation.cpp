#include "scenariosimulation.h"

#include "prefixindex.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

constexpr int tokensPerBlock = static_cast<int>(prefixBlockBytes / bytesPerToken);
constexpr auto shareExchangeInterval = std::chrono::milliseconds(500);
constexpr auto placementInterval = std::chrono::seconds(5);
constexpr auto peerDelay = std::chrono::milliseconds(3);

} // namespace

ScenarioSimulation::ScenarioSimulation(const Scenario &scenario, const PolicyConfig &policy, std::uint64_t seed)
    : scenario(scenario)
    , policy(policy)
    , seed(seed)
    , random(seed)
    , placement(1)
{
    this->loop.runUntil(EventLoop::TimePoint(std::chrono::hours(1)));
    for (int i = 0; i < scenario.entryVms; ++i) {
        this->entries.push_back(std::make_unique<EntryModel>(
            this->loop, scenario, policy, i, seed, [this](ModelRequest &request) { this->send(request); }));
    }
    // Lets the shares of the rate limits reach their steady size, within one lease, before the scenario starts.
    this->loop.runUntil(this->loop.now() + std::chrono::seconds(10));
    this->admittedTokensBySecond.resize(static_cast<std::size_t>(scenario.durationS) + 2);
}

RunResult ScenarioSimulation::run()
{
    const EventLoop::TimePoint start = this->loop.now();
    if (this->policy.placement == "none") {
        for (int i = 0; i < this->scenario.workers; ++i) {
            VmOffer offer;
            offer.zone.name = this->scenario.zones[static_cast<std::size_t>(i) % this->scenario.zones.size()];
            this->activateVm(this->addVm(offer, VmRole::Starting));
        }
    } else {
        this->runPlacement();
        for (Vm &vm : this->vms) {
            if (vm.role == VmRole::Starting)
                vm.isSpare ? void(vm.role = VmRole::Warm) : this->activateVm(vm);
        }
        this->loop.every(placementInterval, [this] { this->runPlacement(); });
    }
    std::uint64_t nextId = 0;
    for (const TrafficRequest &traffic :
         generateTraffic(this->scenario, this->seed, this->policy.loadFactor, !this->policy.quiet)) {
        this->loop.at(start + fromSeconds(traffic.atS), [this, traffic, id = ++nextId] {
            ModelRequest &request = this->requests.emplace_back();
            request.id = id;
            request.traffic = traffic;
            request.prompt = promptText(traffic);
            request.blocks = prefixBlocks(request.prompt);
            request.promptTokens = traffic.documentTokens + traffic.questionTokens;
            request.arrived = this->loop.now();
            if (traffic.document != 0) {
                auto &blocks = this->documentBlocks[traffic.document];
                blocks = request.blocks;
                blocks.resize(static_cast<std::size_t>(traffic.documentTokens / tokensPerBlock));
            }
            this->entries[static_cast<std::size_t>(traffic.entryVm)]->receiveRequest(request);
            if (!request.isRefused)
                this->countAdmittedTokens(request.cost());
        });
    }
    for (const ScenarioEvent &event : this->scenario.events)
        this->loop.at(start + fromSeconds(event.atS), [this, event] { this->startEvent(event); });
    this->loop.every(fromSeconds(this->scenario.loadReportS), [this] { this->reportLoads(); });
    this->loop.every(shareExchangeInterval, [this] { this->exchangeShares(); });
    constexpr auto pumpInterval = std::chrono::milliseconds(20);
    this->loop.every(pumpInterval, [this] {
        for (const auto &entry : this->entries)
            entry->dispatchQueued();
    });
    this->loop.runUntil(start + fromSeconds(this->scenario.durationS));
    for (Vm &vm : this->vms)
        this->addVmCost(vm);
    // Gives the last requests time to complete; otherwise they would count as unfinished.
    constexpr auto completionGracePeriod = std::chrono::seconds(30);
    this->loop.runUntil(this->loop.now() + completionGracePeriod);
    return this->collectResult();
}

void ScenarioSimulation::send(ModelRequest &request)
{
    Vm *vm = this->vmById.at(request.upstream);
    const EntryModel &entry = *this->entries[static_cast<std::size_t>(request.traffic.entryVm)];
    const int attempt = request.attempts;
    this->loop.after(this->linkDelay(entry.zone, vm->offer.zone), [this, &request, vm, attempt] {
        if (attempt == request.attempts)
            this->deliver(request, *vm, false);
    });
}

void ScenarioSimulation::deliver(ModelRequest &request, Vm &vm, bool hasCache)
{
    if (vm.isTerminated) {
        this->handleLostRequest(request);
        return;
    }
    EngineRequest engineRequest;
    engineRequest.id = request.id;
    engineRequest.blocks = request.blocks;
    engineRequest.promptTokens = request.promptTokens + request.emitted;
    engineRequest.answerTokens = request.traffic.answerTokens - request.emitted;
    engineRequest.priority = this->scenario.traffic[request.traffic.sourceIndex].priority;
    engineRequest.hasCache = hasCache;
    vm.requests.insert(request.id);
    if (request.traffic.document != 0)
        vm.documentUses[request.traffic.document].push_back(this->loop.now());
    vm.engine->submit(std::move(engineRequest));
}

void ScenarioSimulation::handleLostRequest(ModelRequest &request)
{
    // The loss is detected at once by the broken connection, or by the lack of progress.
    constexpr auto detectionDelay = std::chrono::milliseconds(50);
    EntryModel &entry = *this->entries[static_cast<std::size_t>(request.traffic.entryVm)];
    this->loop.after(detectionDelay, [&entry, &request] { entry.replay(request); });
}

EngineHooks ScenarioSimulation::engineHooks(Vm &vm)
{
    EngineHooks hooks;
    hooks.token = [this, &vm](std::uint64_t id) {
        ModelRequest &request = this->requests[id - 1];
        EntryModel &entry = *this->entries[static_cast<std::size_t>(request.traffic.entryVm)];
        request.lastToken = this->loop.now() + this->linkDelay(vm.offer.zone, entry.zone);
        if (++request.emitted == 1) {
            request.firstToken = request.lastToken;
            entry.recordFirstToken(request);
        }
    };
    hooks.done = [this, &vm](std::uint64_t id) {
        ModelRequest &request = this->requests[id - 1];
        vm.requests.erase(id);
        request.isDone = true;
        this->entries[static_cast<std::size_t>(request.traffic.entryVm)]->requestEnded(request);
    };
    hooks.admitted = [this](const EngineRequest &request, std::size_t cachedBlocks, int prefillTokens) {
        this->countTokens(request, cachedBlocks, prefillTokens);
    };
    hooks.cached = [this, &vm](const std::vector<std::uint64_t> &blocks) {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        for (const auto &entry : this->entries) {
            if (chance(this->random) < this->scenario.cacheEventLoss)
                continue;
            this->loop.after(fromSeconds(this->scenario.cacheEventLagS), [&vm, &entry, blocks] {
                if (vm.role == VmRole::Serving)
                    entry->router.noteCached(vm.id, blocks);
            });
        }
    };
    hooks.evicted = [this, &vm](std::uint64_t block) {
        for (const auto &entry : this->entries) {
            this->loop.after(fromSeconds(this->scenario.cacheEventLagS),
                             [&vm, &entry, block] { entry->router.noteEvicted(vm.id, block); });
        }
    };
    return hooks;
}

EventLoop::Duration ScenarioSimulation::linkDelay(const AvailabilityZone &a, const AvailabilityZone &b)
{
    double milliseconds = this->scenario.sameZoneMs;
    if (a.name != b.name) {
        milliseconds = this->scenario.crossZoneMs;
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        if (this->scenario.linkLoss > 0.0 && chance(this->random) < this->scenario.linkLoss)
            milliseconds += this->scenario.crossZoneRetryMs;
    }
    return fromSeconds(milliseconds / 1000.0);
}

void ScenarioSimulation::reportLoads()
{
    const EventLoop::Duration lag = fromSeconds(this->scenario.loadLagS);
    for (Vm &vm : this->vms) {
        if (vm.role != VmRole::Serving)
            continue;
        const int load = vm.engine->load();
        for (const auto &entry : this->entries) {
            this->loop.after(lag, [&entry, id = vm.id, load, ownInFlight = entry->inFlight(vm.id), lag] {
                entry->loadReported(id, load, ownInFlight, lag);
            });
        }
    }
}

void ScenarioSimulation::exchangeShares()
{
    for (std::size_t from = 0; from < this->entries.size(); ++from) {
        if (this->isolatedEntries.count(static_cast<int>(from)) > 0)
            continue;
        for (const ShareRequest &request : this->entries[from]->limiter.createRequests(this->loop.now())) {
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (to == from || this->isolatedEntries.count(static_cast<int>(to)) > 0)
                    continue;
                this->loop.after(peerDelay, [this, from, to, request] {
                    const auto grant = this->entries[to]->limiter.grantLoan(request, this->loop.now());
                    if (!grant || this->isolatedEntries.count(static_cast<int>(from)) > 0)
                        return;
                    this->loop.after(peerDelay, [this, from, grant] {
                        this->entries[from]->limiter.acceptLoan(*grant, this->loop.now());
                    });
                });
            }
        }
    }
}

bool ScenarioSimulation::isMeasured(const ModelRequest &request) const
{
    return request.traffic.atS >= this->scenario.measureFromS && request.traffic.atS < this->scenario.measureToS;
}

void ScenarioSimulation::countTokens(const EngineRequest &engineRequest, std::size_t cachedBlocks, int prefillTokens)
{
    const ModelRequest &request = this->requests[engineRequest.id - 1];
    int recomputed = 0;
    int recomputedAfterReclaimTokens = 0;
    if (!engineRequest.hasCache) {
        for (std::size_t i = 0; i < engineRequest.blocks.size(); ++i) {
            if (this->computedBlocks.insert(engineRequest.blocks[i]).second || i < cachedBlocks)
                continue;
            recomputed += tokensPerBlock;
            const auto reclaimed = this->reclaimedBlocks.find(engineRequest.blocks[i]);
            if (reclaimed != this->reclaimedBlocks.end() && this->loop.now() < reclaimed->second)
                recomputedAfterReclaimTokens += tokensPerBlock;
        }
        // The lost upstream had computed the emitted tokens and the last, partial block of the prompt.
        if (request.attempts > 1) {
            recomputed += request.emitted + request.promptTokens % tokensPerBlock;
            recomputedAfterReclaimTokens += request.emitted + request.promptTokens % tokensPerBlock;
        }
    }
    if (!this->isMeasured(request))
        return;
    this->result.prefillTokens += prefillTokens;
    this->result.recomputedTokens += recomputed;
    this->result.recomputedAfterReclaim += recomputedAfterReclaimTokens;
}

void ScenarioSimulation::countAdmittedTokens(double tokens)
{
    const auto second = static_cast<std::size_t>(this->requests.back().traffic.atS);
    this->admittedTokensBySecond[std::min(second, this->admittedTokensBySecond.size() - 1)] += tokens;
}

RunResult ScenarioSimulation::collectResult()
{
    RunResult &runResult = this->result;
    runResult.policy = this->policy.name;
    runResult.seed = this->seed;
    runResult.windowS = this->scenario.measureToS - this->scenario.measureFromS;
    for (const ModelRequest &request : this->requests) {
        if (!this->isMeasured(request))
            continue;
        const TrafficSource &source = this->scenario.traffic[request.traffic.sourceIndex];
        AccountResult &account = runResult.accounts[source.clientAccount];
        account.isFlood = account.isFlood || source.isFlood;
        account.weight = source.weight;
        ++account.offered;
        account.offeredTokens += request.cost();
        if (request.isRefused) {
            ++account.refused;
            continue;
        }
        if (!request.isDone) {
            ++runResult.unfinished;
            continue;
        }
        ++account.completed;
        account.servedTokens += request.cost();
        const double timeToFirstTokenMs = toSeconds(request.firstToken - request.arrived) * 1000.0;
        const double gaps = std::max(1, request.traffic.answerTokens - 1);
        const double betweenMs = toSeconds(request.lastToken - request.firstToken) * 1000.0 / gaps;
        account.firstTokenMs.push_back(timeToFirstTokenMs);
        runResult.betweenTokensMs.push_back(betweenMs);
        if (timeToFirstTokenMs <= this->scenario.firstTokenMs && betweenMs <= this->scenario.betweenTokensMs)
            ++account.inTime;
    }
    constexpr std::size_t overshootWindowS = 10;
    if (this->scenario.limitTokensPerS > 0.0) {
        const auto from = static_cast<std::size_t>(this->scenario.measureFromS);
        const auto to = static_cast<std::size_t>(this->scenario.measureToS);
        for (std::size_t first = from; first + overshootWindowS <= to; ++first) {
            double admittedTokens = 0.0;
            for (std::size_t second = first; second < first + overshootWindowS; ++second)
                admittedTokens += this->admittedTokensBySecond[second];
            const double allowed = this->scenario.limitTokensPerS * overshootWindowS;
            runResult.limitOvershoot = std::max(runResult.limitOvershoot, admittedTokens / allowed - 1.0);
        }
    }
    return runResult;
}

} // namespace hemlock
