#include "controlfleet.h"

#include "settings.h"

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds callTimeout{1000};
/// Size of the HTTP header, signature, envelope, and TCP and IP headers of a JSON-RPC call and of its response.
constexpr std::int64_t callOverheadBytes = 370;
constexpr std::int64_t answerOverheadBytes = 240;

std::string nodeName(int index)
{
    std::string digits = std::to_string(index);
    return "entry-" + std::string(4 - digits.size(), '0') + digits;
}

json section(const std::string &service)
{
    return {{"team", "team"}, {"services", {{{"id", service}, {"kind", "model"}}}}};
}

} // namespace

ControlFleet::ControlFleet(const FleetSettings &settings)
    : now(std::chrono::hours(1))
    , documentSchema(readJsonFile(HEMLOCK_SOURCE_DIR "/schemas/document.json"))
    , settings(settings)
    , engine(settings.seed)
    , chart(readJsonFile(HEMLOCK_SOURCE_DIR "/charts/upstream.json"))
{
    for (int zone = 0; zone < settings.zones; ++zone) {
        for (int i = 0; i < settings.vmsPerZone; ++i) {
            const std::string id = "worker-" + std::to_string(zone) + "-" + std::to_string(i);
            this->listed.push_back({{"id", id},
                                    {"zone", "zone-" + std::to_string(zone)},
                                    {"service", "chat"},
                                    {"state", "live"},
                                    {"address", id}});
        }
    }
    for (int i = 0; i < settings.nodes; ++i) {
        const std::string id = nodeName(i);
        this->vms[id].self = {id, {"zone-" + std::to_string(i % settings.zones)}, "entry:" + id, "control:" + id};
    }
    this->commit("models", section("chat"));
    for (const auto &[id, vm] : this->vms)
        this->start(id);
}

ControlFleet::~ControlFleet()
{
    // The destructor of a node cancels its watches, so the nodes must be destroyed before the watches of the fleet.
    for (auto &[id, vm] : this->vms)
        vm.node.reset();
}

void ControlFleet::start(const std::string &id)
{
    const int generation = ++this->generations[id];
    Vm &vm = this->vms.at(id);
    ControlNodeSettings nodeSettings{vm.self, vm.seeds, this->documentSchema, this->chart};
    vm.node.reset();
    vm.node = std::make_unique<ControlNode>(std::move(nodeSettings), this->nodeIo(id, generation));
    // Random start times, since real processes do not start simultaneously.
    const auto offset = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 500)(this->engine));
    this->schedule(offset, [this, id, generation] { this->tickNode(id, generation); });
}

void ControlFleet::stop(const std::string &id)
{
    ++this->generations[id];
    this->vms.at(id).node.reset();
}

void ControlFleet::tickNode(const std::string &id, int generation)
{
    if (this->generations.at(id) != generation)
        return;
    this->vms.at(id).node->tick();
    this->schedule(this->settings.tick, [this, id, generation] { this->tickNode(id, generation); });
}

void ControlFleet::schedule(std::chrono::milliseconds delay, Event event)
{
    this->events.emplace(this->now + delay, std::move(event));
}

bool ControlFleet::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const TimePoint end = this->now + limit;
    // Conditions examine the whole fleet, so they are checked only when the simulated time has advanced.
    TimePoint lastCheck;
    while (lastCheck == this->now || !condition()) {
        lastCheck = this->now;
        if (this->events.empty() || this->events.begin()->first > end) {
            this->now = end;
            return false;
        }
        auto next = this->events.extract(this->events.begin());
        this->now = next.key();
        next.mapped()();
    }
    return true;
}

void ControlFleet::run(std::chrono::milliseconds duration)
{
    this->runUntil([] { return false; }, duration);
}

KvAccess ControlFleet::kvAccessOf(const std::string &id)
{
    const auto isOut = [this, id] {
        const auto vm = this->vms.find(id);
        return this->store.isUnavailable || (vm != this->vms.end() && vm->second.isStoreCut);
    };
    const auto delay = [this, id, isOut] {
        if (const auto vm = this->vms.find(id); vm != this->vms.end())
            ++vm->second.storeCalls;
        return isOut() ? callTimeout : this->settings.latency * 2;
    };
    KvAccess access;
    access.range = [=, this](const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
        this->schedule(delay(), [=, this] {
            done(isOut() ? KvRangeResult{KvStatus::Unknown, 0, {}, "outage"} : this->store.executeRange(key, prefix));
        });
    };
    access.txn = [=, this](const KvTxn &txn, std::function<void(const KvTxnResult &)> done) {
        this->schedule(delay(), [=, this] {
            const KvTxnResult result =
                isOut() ? KvTxnResult{KvStatus::NotApplied, false, 0, {}, "outage"} : this->store.executeTxn(txn);
            this->notifyWatchers();
            done(result);
        });
    };
    access.grantLease = [=, this](std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done) {
        this->schedule(delay(), [=, this] {
            done(isOut() ? KvLeaseResult{KvStatus::NotApplied, 0, {}, "outage"}
                         : this->store.makeLeaseResult(++this->store.lastLease, ttl));
        });
    };
    access.keepLeaseAlive = [=, this](std::int64_t lease, std::function<void(const KvLeaseResult &)> done) {
        this->schedule(delay(), [=, this] {
            done(isOut() ? KvLeaseResult{KvStatus::NotApplied, 0, {}, "outage"}
                         : this->store.makeLeaseResult(lease, std::chrono::seconds(10)));
        });
    };
    access.watch = [=, this](const std::string &, const KvClient::WatchHooks &hooks) {
        delay();
        const int watch = ++this->lastWatch;
        if (isOut())
            this->schedule(callTimeout, [hooks] { hooks.ended("outage"); });
        else
            this->watches[watch] = hooks;
        return [this, watch] { this->watches.erase(watch); };
    };
    return access;
}

void ControlFleet::notifyWatchers()
{
    const auto manifest = this->store.entries.find(std::string(manifestKey));
    if (manifest == this->store.entries.end() || manifest->second.modRevision == this->watchedRevision)
        return;
    this->watchedRevision = manifest->second.modRevision;
    for (const auto &[watch, hooks] : this->watches)
        this->schedule(this->settings.latency, [this, watch = watch] {
            if (const auto match = this->watches.find(watch); match != this->watches.end())
                match->second.changed({}, 0);
        });
}

ControlIo ControlFleet::nodeIo(const std::string &id, int generation)
{
    ControlIo io;
    io.kv = this->kvAccessOf(id);
    io.cloudGet = [this, id](const std::string &path, const ControlIo::JsonCallback &done) {
        ++this->vms.at(id).cloudCalls;
        this->schedule(this->settings.latency * 2, [this, id, path, done] {
            if (this->vms.at(id).isCloudCut)
                return done({}, "cut off");
            if (path == "/cloud/v1/vms")
                return done({{"vms", this->listed}}, "");
            const std::int64_t after = std::stoll(path.substr(path.find('=') + 1));
            json list = json::array();
            for (const json &notice : this->notices) {
                if (notice.at("seq") > after)
                    list.push_back(notice);
            }
            done({{"notices", list}}, "");
        });
    };
    io.call = [this, id, generation](const std::string &address,
                                     const std::string &method,
                                     const json &params,
                                     const std::function<void(const RpcOutcome &)> &done) {
        this->call(id, address, method, params, [this, id, generation, done](const RpcOutcome &outcome) {
            if (this->generations.at(id) == generation)
                done(outcome);
        });
    };
    io.probe = [this](const std::string &address, const std::function<void(bool)> &done) {
        this->schedule(this->settings.latency * 2,
                       [this, address, done] { done(!this->deadUpstreams.contains(address)); });
    };
    io.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); };
    io.now = [this] { return this->now; };
    io.wallClock = [this] { return std::chrono::system_clock::time_point(this->now.time_since_epoch()); };
    io.log = [](LogLevel, std::string_view, const json &) {};
    return io;
}

void ControlFleet::call(const std::string &from,
                        const std::string &address,
                        const std::string &method,
                        const json &params,
                        std::function<void(const RpcOutcome &)> done)
{
    const std::string target = address.substr(address.find(':') + 1);
    const bool isEntry = address.starts_with("entry:");
    const auto fail = [this, done] { this->schedule(callTimeout, [done] { done({false, {}, "no answer"}); }); };
    if (!isEntry)
        this->vms.at(from).bytesSent += static_cast<std::int64_t>(params.dump().size()) + callOverheadBytes;
    const auto delay = isEntry ? std::chrono::milliseconds(0) : this->settings.latency;
    this->schedule(delay, [=, this] {
        Vm &vm = this->vms.at(target);
        if (this->brokenLinks.contains({from, target}) || (!isEntry && !vm.node))
            return fail();
        RpcOutcome outcome{true, {}, {}};
        try {
            outcome.result = isEntry ? this->answerEntry(vm, method, params) : vm.node->answer(method, params);
        } catch (const std::exception &error) {
            outcome = {false, {}, error.what()};
        }
        if (!isEntry) {
            const auto answered = static_cast<std::int64_t>(outcome.result.dump().size()) + answerOverheadBytes;
            vm.bytesReceived += static_cast<std::int64_t>(params.dump().size()) + callOverheadBytes;
            vm.bytesSent += answered;
            this->vms.at(from).bytesReceived += answered;
        }
        if (this->brokenLinks.contains({target, from}))
            return fail();
        this->schedule(delay, [done, outcome] { done(outcome); });
    });
}

json ControlFleet::answerEntry(Vm &vm, const std::string &method, const json &params)
{
    if (method == "report") {
        json report = {{"failures", vm.failures}};
        vm.failures.clear();
        return report;
    }
    if (method != "applySnapshot")
        return json::object();
    vm.applied = params.get<Snapshot>();
    ++vm.snapshots;
    vm.hasConfigRegressed = vm.hasConfigRegressed || vm.applied.manifestVersion < vm.highestVersion;
    vm.highestVersion = std::max(vm.highestVersion, vm.applied.manifestVersion);
    return json::object();
}

ConfigStore ControlFleet::configEditor()
{
    ConfigStore::Hooks hooks;
    hooks.wait = [this](std::chrono::milliseconds delay, Event next) { this->schedule(delay, std::move(next)); };
    hooks.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); };
    return ConfigStore(this->kvAccessOf("editor"), hooks);
}

CommitOutcome ControlFleet::commit(const std::string &section, const json &content)
{
    std::optional<CommitOutcome> outcome;
    const std::string id = section + "-" + std::to_string(++this->revisions[section]);
    this->configEditor().commit({{{section, content, this->revisions[section] - 1}}, id, "test", "", false},
                                this->documentSchema,
                                [&outcome](const CommitOutcome &result) { outcome = result; });
    this->runUntil([&outcome] { return outcome.has_value(); }, std::chrono::minutes(1));
    return *outcome;
}

bool ControlFleet::isConfigActive(std::int64_t version) const
{
    return std::all_of(this->vms.begin(), this->vms.end(), [version](const auto &item) {
        return !item.second.node || item.second.applied.manifestVersion >= version;
    });
}

std::optional<UpstreamState> ControlFleet::stateAt(const std::string &vm, const std::string &upstream) const
{
    for (const Upstream &known : this->vms.at(vm).applied.upstreams) {
        if (known.id == upstream)
            return known.state;
    }
    return {};
}

bool ControlFleet::isUnused(const std::string &upstream) const
{
    return std::none_of(this->vms.begin(), this->vms.end(), [&](const auto &item) {
        return item.second.node && this->stateAt(item.first, upstream) == UpstreamState::Serving;
    });
}

bool ControlFleet::isServing(const std::string &upstream) const
{
    return std::all_of(this->vms.begin(), this->vms.end(), [&](const auto &item) {
        return !item.second.node || this->stateAt(item.first, upstream) == UpstreamState::Serving;
    });
}

void ControlFleet::addNotice(const std::string &vm, std::chrono::milliseconds left)
{
    const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>((this->now + left).time_since_epoch());
    this->notices.push_back({{"seq", this->notices.size() + 1}, {"vm", vm}, {"deadlineMs", deadline.count()}});
}

} // namespace hemlock
