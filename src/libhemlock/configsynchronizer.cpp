#include "configsynchronizer.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

/// Polling finds changes that a broken watch missed. Nodes without a watch poll as a fallback, within the 9 s that a
/// change may take to reach all nodes.
constexpr std::chrono::milliseconds watcherPollInterval{1000};
constexpr std::chrono::milliseconds watcherPollPerNode{10};
constexpr std::chrono::milliseconds minPollInterval{3000};
constexpr std::chrono::milliseconds pollIntervalPerNode{20};
/// Used until the node is ready to serve a configuration, for example after its start.
constexpr std::chrono::milliseconds initialPollInterval{300};
constexpr std::chrono::milliseconds watchRetryInterval{1000};

} // namespace

ConfigSynchronizer::ConfigSynchronizer(const ControlIo &io, json documentSchema, Hooks hooks)
    : io(io)
    , hooks(std::move(hooks))
    , store(io.kv, {})
    , currentConfig(std::move(documentSchema))
{
}

ConfigSynchronizer::~ConfigSynchronizer()
{
    if (this->cancelWatch)
        this->cancelWatch();
}

void ConfigSynchronizer::tick(TimePoint now, const FleetRole &role)
{
    this->updateWatch(role.isZoneWatcher, now);
    std::chrono::milliseconds interval = role.isZoneWatcher
        ? fleetInterval(role, watcherPollInterval, watcherPollPerNode)
        : fleetInterval(role, minPollInterval, pollIntervalPerNode);
    if (!this->isReady())
        interval = initialPollInterval;
    if (!this->isReading && this->pollTask.isDue(now, interval, this->io.random()))
        this->read();
}

void ConfigSynchronizer::updateWatch(bool isWatcher, TimePoint now)
{
    if (!isWatcher) {
        if (this->cancelWatch)
            std::exchange(this->cancelWatch, nullptr)();
        return;
    }
    if (this->cancelWatch || !this->watchRetryTask.isDue(now, watchRetryInterval, this->io.random()))
        return;
    KvClient::WatchHooks watchHooks;
    watchHooks.changed = [this, alive = std::weak_ptr<bool>(this->alive)](const std::vector<KvEvent> &, std::int64_t) {
        if (!alive.expired())
            this->read();
    };
    watchHooks.ended = [this, alive = std::weak_ptr<bool>(this->alive)](const std::string &) {
        if (!alive.expired())
            this->cancelWatch = nullptr;
    };
    this->cancelWatch = this->io.kv.watch(std::string(manifestKey), std::move(watchHooks));
}

void ConfigSynchronizer::read()
{
    // A running read may miss a change that is made meanwhile, so another read follows it.
    this->isRereadNeeded = this->isReading;
    if (this->isReading)
        return;
    this->isReading = true;
    this->store.read(this->currentConfig.records(),
                     [this, alive = std::weak_ptr<bool>(this->alive)](const ConfigRead &read) {
                         if (alive.expired())
                             return;
                         this->isReading = false;
                         this->applyRead(read);
                         if (std::exchange(this->isRereadNeeded, false))
                             this->read();
                     });
}

void ConfigSynchronizer::applyRead(const ConfigRead &read)
{
    this->isLastReadOk = read.status == KvStatus::Ok;
    if (!read.error.empty())
        this->io.log(LogLevel::Warning, "configuration-not-read", {{"reason", read.error}});
    if (!this->isLastReadOk) {
        this->recoverFromPeers();
        return;
    }
    if (read.records)
        this->handleApplyResult(
            this->currentConfig.applyIfNewer(*read.records), read.records->manifest.version, "store");
    // The store holds the latest version, so peers need not be asked, unless the stored version is invalid.
    if (this->currentConfig.version() > 0 && read.records
        && this->currentConfig.version() >= read.records->manifest.version)
        this->isRecovered = true;
    else
        this->recoverFromPeers();
}

void ConfigSynchronizer::recoverFromPeers()
{
    if (this->isRecovered || this->isRecovering)
        return;
    const std::vector<std::string> peerAddresses = this->hooks.peerAddresses();
    if (peerAddresses.empty())
        return;
    this->isRecovering = true;
    const auto pending = std::make_shared<std::size_t>(peerAddresses.size());
    for (const std::string &address : peerAddresses) {
        this->fetchDelta(address, [this, pending] {
            if (--*pending > 0)
                return;
            this->isRecovering = false;
            this->isRecovered = this->currentConfig.version() > 0;
            if (this->isRecovered)
                this->hooks.applied();
        });
    }
}

void ConfigSynchronizer::handlePeerVersion(std::int64_t version, const std::string &address)
{
    if (version <= this->currentConfig.version() || this->isFetching || version == this->rejectedVersion)
        return;
    this->isFetching = true;
    this->fetchDelta(address, [this] { this->isFetching = false; });
}

void ConfigSynchronizer::fetchDelta(const std::string &address, std::function<void()> done)
{
    this->io.call(
        address,
        "configDelta",
        {{"version", this->currentConfig.version()}},
        [this, address, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
            if (alive.expired())
                return;
            try {
                if (outcome.succeeded)
                    this->handleApplyResult(
                        this->currentConfig.applyDeltaIfNewer(outcome.result), outcome.result.at("version"), address);
            } catch (const json::exception &error) {
                this->io.log(
                    LogLevel::Warning, "configuration-not-read", {{"peer", address}, {"reason", error.what()}});
            }
            done();
        });
}

void ConfigSynchronizer::handleApplyResult(ActiveConfig::ApplyResult applyResult,
                                           std::int64_t version,
                                           const std::string &source)
{
    switch (applyResult) {
    case ActiveConfig::ApplyResult::Applied:
        this->io.log(LogLevel::Info, "configuration-applied", {{"version", version}, {"source", source}});
        this->hooks.applied();
        return;
    case ActiveConfig::ApplyResult::Rejected:
        if (std::exchange(this->rejectedVersion, version) != version)
            this->io.log(LogLevel::Error,
                         "configuration-refused",
                         {{"version", version},
                          {"source", source},
                          {"inForce", this->currentConfig.version()},
                          {"reason", this->currentConfig.error()}});
        return;
    case ActiveConfig::ApplyResult::NotNewer:
        return;
    }
}

bool ConfigSynchronizer::isReady() const
{
    return this->isRecovered && this->currentConfig.version() > 0;
}

const ActiveConfig &ConfigSynchronizer::activeConfig() const
{
    return this->currentConfig;
}

bool ConfigSynchronizer::isStoreReachable() const
{
    return this->isLastReadOk;
}

} // namespace hemlock
