#include "relaysoak.h"

#include "soakbounds.h"

#include <algorithm>
#include <csignal>

namespace hemlock {

void RelaySoak::injectFault()
{
    const auto vm = static_cast<std::size_t>(this->below(static_cast<int>(this->vms.size())));
    const auto index = static_cast<std::size_t>(this->below(static_cast<int>(this->upstreams.size())));
    SoakUpstream &upstream = *this->upstreams[index];
    constexpr int plannedCases = 9; ///< The first ones are planned work.
    constexpr int allCases = 26;
    const int number = this->below(this->isPlannedOnly ? plannedCases : allCases);
    switch (number) {
    case 0:
    case 1:
        return this->terminateVm(vm);
    case 2:
        // Before a process has reached its main function, nothing in it can handle the signal.
        if (this->vms[vm].process && (this->vms[vm].isReady || this->vms[vm].terminated)) {
            this->vms[vm].process->signal(SIGHUP);
            this->count("reload");
        }
        return;
    case 3:
    case 4:
        return this->retireUpstream(index, this->chance(50));
    case 5:
    case 6:
    case 7:
        return this->rotateKey();
    case 8:
        return this->announceLeaving(upstream);
    default:
        return this->injectOtherFault(number - plannedCases, vm, upstream);
    }
}

void RelaySoak::injectOtherFault(int number, std::size_t vm, SoakUpstream &upstream)
{
    switch (number) {
    case 0:
        this->disturbVm(vm, {});
        return this->killVm(vm);
    case 1:
    case 2:
        return this->pauseVm(vm);
    case 3:
    case 4:
        return this->cutStore(vm);
    case 5:
        return this->chance(50) ? this->failStore() : this->restoreStore();
    case 6:
    case 7:
        return this->disturbConnections(upstream);
    case 8:
    case 9:
    case 10: {
        this->count("answers repeated");
        // Connections may carry their copies much later.
        this->disturbUpstream(upstream, std::chrono::hours(1));
        constexpr FaultProxy::Copy copies[] = {
            FaultProxy::Copy::BeforeNext, FaultProxy::Copy::AfterNext, FaultProxy::Copy::Idle};
        return upstream.proxy().repeatAnswers(copies[this->below(3)]);
    }
    case 11:
        return this->nameLimit(upstream);
    case 12:
        return this->crashUpstream(upstream);
    case 13:
    case 14:
        return this->askForPause(upstream);
    case 15:
        return this->chance(50) ? this->killAll() : this->replaceVm(vm);
    default:
        return this->failService(upstream.service, std::chrono::milliseconds(1000 + this->below(4000)));
    }
}

void RelaySoak::planStorm(Time start)
{
    Time next = start + std::chrono::milliseconds(this->below(1000));
    this->at(next, [this] {
        this->failService(this->chance(50) ? plainService : streamService,
                          std::chrono::milliseconds(9000 + this->below(2000)));
    });
    next += std::chrono::milliseconds(1000);
    for (int restarts = 2 + this->below(2); restarts > 0; --restarts) {
        next += std::chrono::milliseconds(1000 + this->below(2500));
        this->at(next, [this] { this->restartAll(); });
    }
}

void RelaySoak::restartAll()
{
    if (!this->isPlannedOnly && this->chance(70))
        this->killAll();
    else if (this->chance(50))
        this->rotateKey();
    for (std::size_t i = 0; i < this->vms.size(); ++i)
        this->terminateVm(i);
    if (!this->isPlannedOnly && this->chance(30))
        this->replaceVm(static_cast<std::size_t>(this->below(static_cast<int>(this->vms.size()))));
}

bool RelaySoak::isFailing(const std::string &service) const
{
    return this->failingServices.contains(service);
}

void RelaySoak::failService(const std::string &service, std::chrono::milliseconds time)
{
    if (this->isFailing(service))
        return;
    this->count("service fails");
    const Time end = std::min(this->faultEnd, std::chrono::steady_clock::now() + time);
    this->failingServices[service] = end;
    this->at(end, [this, service] { this->failingServices.erase(service); });
}

void RelaySoak::disturbVm(std::size_t index, std::chrono::milliseconds time)
{
    Vm &vm = this->vms[index];
    vm.disturbedUntil = std::max(vm.disturbedUntil, std::chrono::steady_clock::now() + time);
    for (const auto &[id, call] : this->calls) {
        if (!call->ended && call->vm == index)
            call->isDisturbed = true;
    }
}

void RelaySoak::disturbUpstream(SoakUpstream &upstream, std::chrono::milliseconds time)
{
    upstream.disturbedUntil = std::max(upstream.disturbedUntil, std::chrono::steady_clock::now() + time);
    for (const auto &[id, call] : this->calls) {
        if (!call->ended && call->upstream == &upstream)
            call->isDisturbed = true;
    }
}

void RelaySoak::terminateVm(std::size_t index)
{
    Vm &vm = this->vms[index];
    if (!vm.process || vm.terminated)
        return;
    this->count("SIGTERM");
    vm.terminated = std::chrono::steady_clock::now();
    vm.isReady = false;
    vm.process->signal(SIGTERM);
}

void RelaySoak::killVm(std::size_t index)
{
    Vm &vm = this->vms[index];
    if (!vm.process)
        return;
    this->count("SIGKILL");
    vm.process->kill();
    vm.process = nullptr;
    vm.isReady = false;
    vm.isPaused = false;
    this->at(std::chrono::steady_clock::now() + restartDelay, [this, index] { this->startVm(index); });
}

void RelaySoak::killAll()
{
    this->count("all VMs killed");
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        this->disturbVm(i, {});
        this->killVm(i);
    }
}

void RelaySoak::replaceVm(std::size_t index)
{
    if (!this->vms[index].process)
        return;
    this->count("VM replaced");
    this->disturbVm(index, {});
    this->killVm(index);
    this->identifyVm(index);
}

void RelaySoak::pauseVm(std::size_t index)
{
    Vm &vm = this->vms[index];
    if (!vm.process || vm.isPaused)
        return;
    this->count("pause");
    const std::chrono::milliseconds time(200 + this->below(4000));
    this->disturbVm(index, time);
    vm.process->signal(SIGSTOP);
    vm.isPaused = true;
    this->notices.forgetVm(vm.name);
    this->at(std::chrono::steady_clock::now() + time, [this, index, process = vm.process] {
        Vm &paused = this->vms[index];
        if (paused.process != process)
            return;
        paused.process->signal(SIGCONT);
        paused.isPaused = false;
        paused.resumed = std::chrono::steady_clock::now();
        this->notices.forgetVm(paused.name);
    });
}

void RelaySoak::cutStore(std::size_t index)
{
    this->count("store cut off");
    constexpr FaultProxy::Mode modes[] = {FaultProxy::Mode::SilentToServer,
                                          FaultProxy::Mode::SilentToClient,
                                          FaultProxy::Mode::Refusing,
                                          FaultProxy::Mode::Delayed};
    FaultProxy &proxy = *this->vms[index].storeProxy;
    const std::chrono::milliseconds time(300 + this->below(3000));
    this->disturbVm(index, time);
    proxy.setMode(modes[this->below(4)], std::chrono::milliseconds(50 + this->below(200)));
    if (this->chance(30))
        proxy.resetConnections();
    this->at(std::chrono::steady_clock::now() + time, [&proxy] { proxy.setMode(FaultProxy::Mode::Pass); });
}

void RelaySoak::failStore()
{
    this->count("store failure");
    const std::chrono::milliseconds time(300 + this->below(2500));
    const Time end = std::chrono::steady_clock::now() + time;
    this->storeDisturbedUntil = std::max(this->storeDisturbedUntil, end);
    constexpr SoakStore::Fault faults[] = {
        SoakStore::Fault::Refuses, SoakStore::Fault::Silent, SoakStore::Fault::LosesAnswers};
    if (this->chance(25))
        return this->store.compact();
    this->store.setFault(faults[this->below(3)]);
    this->at(end, [this] { this->store.setFault(SoakStore::Fault::None); });
}

void RelaySoak::restoreStore()
{
    this->count("store restored");
    const Time back = std::chrono::steady_clock::now() + std::chrono::milliseconds(200 + this->below(2000));
    const Time complete = back + std::chrono::milliseconds(this->below(1500));
    this->storeDisturbedUntil = std::max(this->storeDisturbedUntil, complete);
    this->copyTimes.emplace_back(back - copyMargin, complete + copyMargin);
    this->store.setFault(SoakStore::Fault::Refuses);
    this->at(back, [this, age = std::chrono::milliseconds(500 + this->below(10000))] {
        this->store.restore(age);
        this->store.setFault(SoakStore::Fault::None);
    });
    this->at(complete, [this] { this->store.writeAgain(); });
}

void RelaySoak::disturbConnections(SoakUpstream &upstream)
{
    this->count("connection fault");
    FaultProxy &proxy = upstream.proxy();
    const std::chrono::milliseconds time(200 + this->below(1500));
    this->notices.forgetTurnedAway(upstream.id);
    switch (this->below(4)) {
    case 0:
        this->disturbUpstream(upstream, {});
        return proxy.resetConnections();
    case 1:
        this->disturbUpstream(upstream, time);
        upstream.cutUntil = std::max(upstream.cutUntil, std::chrono::steady_clock::now() + time);
        proxy.setMode(FaultProxy::Mode::Delayed, std::chrono::milliseconds(20 + this->below(200)));
        break;
    default:
        // Connections that fell silent stay so, and may be used much later.
        this->disturbUpstream(upstream, std::chrono::hours(1));
        upstream.cutUntil = upstream.disturbedUntil;
        proxy.setMode(this->chance(50) ? FaultProxy::Mode::SilentToServer : FaultProxy::Mode::SilentToClient);
    }
    this->at(std::chrono::steady_clock::now() + time, [&proxy] { proxy.setMode(FaultProxy::Mode::Pass); });
}

void RelaySoak::crashUpstream(SoakUpstream &upstream)
{
    this->count("upstream crash");
    const std::chrono::milliseconds time(300 + this->below(2000));
    this->disturbUpstream(upstream, time);
    this->notices.forgetTurnedAway(upstream.id);
    upstream.proxy().setMode(FaultProxy::Mode::Refusing);
    upstream.proxy().resetConnections();
    this->at(std::chrono::steady_clock::now() + time, [this, &upstream] {
        upstream.proxy().setMode(FaultProxy::Mode::Pass);
        if (this->leftUpstreams.contains(upstream.id))
            return;
        ++upstream.born;
        upstream.isLeaving = false;
        this->notices.forgetUpstream(upstream.id);
        this->store.put("servers/" + upstream.id, upstream.record("ready"));
    });
}

void RelaySoak::retireUpstream(std::size_t index, bool announces)
{
    this->count(announces ? "upstream drained" : "upstream removed");
    std::unique_ptr<SoakUpstream> leaving = std::move(this->upstreams[index]);
    this->upstreams.erase(this->upstreams.begin() + static_cast<std::ptrdiff_t>(index));
    const std::string service = leaving->service;
    const std::string key = "servers/" + leaving->id;
    leaving->isLeaving = leaving->isLeaving || announces;
    if (announces)
        this->store.put(key, leaving->record("draining"));
    else
        this->store.remove(key);
    const Time now = std::chrono::steady_clock::now();
    this->leftUpstreams[leaving->id] = now;
    const Time end = now + drainBound + std::chrono::milliseconds(200 + this->below(2000));
    SoakUpstream &left = *leaving;
    this->retired.push_back(std::move(leaving));
    this->at(end, [this, &left, key] {
        this->store.remove(key);
        this->disturbUpstream(left, std::chrono::hours(1));
        left.proxy().setMode(FaultProxy::Mode::Refusing);
        left.proxy().resetConnections();
    });
    // Another upstream takes over the address of this one after a while.
    this->at(now + std::chrono::milliseconds(300), [this, service] { this->addUpstream(service); });
}

void RelaySoak::announceLeaving(SoakUpstream &upstream)
{
    const bool isAnyLeaving =
        std::any_of(this->upstreams.begin(), this->upstreams.end(), [&upstream](const auto &other) {
            return other->isLeaving && other->service == upstream.service;
        });
    if (isAnyLeaving)
        return;
    this->count("upstream says that it leaves");
    upstream.isLeaving = true;
    const std::chrono::milliseconds time(3000 + this->below(3000));
    this->at(std::chrono::steady_clock::now() + time, [this, &upstream] {
        const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(), [&upstream](const auto &other) {
            return other.get() == &upstream;
        });
        if (found != this->upstreams.end())
            this->retireUpstream(static_cast<std::size_t>(found - this->upstreams.begin()), this->chance(50));
    });
}

void RelaySoak::askForPause(SoakUpstream &upstream)
{
    if (upstream.pause().count() > 0)
        return;
    this->count("upstream asks for a pause");
    upstream.pausedUntil = std::chrono::steady_clock::now() + std::chrono::milliseconds(1000 + this->below(3000));
}

void RelaySoak::rotateKey()
{
    this->count("key rotated");
    const Time now = std::chrono::steady_clock::now();
    for (auto &[key, entry] : this->keys) {
        if (!permanentKeys.contains(key) && !entry.withdrawn)
            entry.withdrawn = now;
    }
    this->rotatingKeys.push_back("rotating-" + std::to_string(this->configVersion));
    this->keys[this->rotatingKeys.back()] = {rotatingAccount, now, {}};
    this->writeConfig();
}

void RelaySoak::nameLimit(SoakUpstream &upstream)
{
    if (upstream.rateLimit > 0.0)
        return;
    this->count("limit named");
    constexpr double limitsPerSecond[] = {0.5, 1.0, 2.5, 10.0};
    upstream.rateLimit = limitsPerSecond[this->below(4)];
    const Time now = std::chrono::steady_clock::now();
    this->limits[upstream.id] = {now, {}, {}};
    this->at(now + std::chrono::milliseconds(7000 + this->below(4000)), [this, &upstream] {
        upstream.rateLimit = 0.0;
        this->limits.erase(upstream.id);
    });
}

} // namespace hemlock
