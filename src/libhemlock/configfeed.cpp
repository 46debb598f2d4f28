#include "configfeed.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

/// Polling covers lost watches. Other nodes than watchers poll as a fallback within the 9 s that a change may take.
constexpr std::chrono::milliseconds watcherPollInterval{1000};
constexpr std::chrono::milliseconds watcherPollPerNode{10};
constexpr std::chrono::milliseconds shortestPollInterval{3000};
constexpr std::chrono::milliseconds pollIntervalPerNode{20};
/// A node without a configuration, for example after its start, asks more often.
constexpr std::chrono::milliseconds startPollInterval{300};
constexpr std::chrono::milliseconds watchRetryInterval{1000};

} // namespace

ConfigFeed::ConfigFeed(const ControlIo &io, json documentSchema, Hooks hooks)
    : io(io)
    , hooks(std::move(hooks))
    , store(io.kv, {})
    , config(std::move(documentSchema))
{
}

ConfigFeed::~ConfigFeed()
{
    if (this->cancelWatch)
        this->cancelWatch();
}

void ConfigFeed::tick(TimePoint now, const FleetRole &role)
{
    this->watch(role.isZoneWatcher, now);
    std::chrono::milliseconds interval = role.isZoneWatcher
        ? fleetInterval(role, watcherPollInterval, watcherPollPerNode)
        : fleetInterval(role, shortestPollInterval, pollIntervalPerNode);
    if (!this->isReady())
        interval = startPollInterval;
    if (!this->reads && this->poll.isDue(now, interval, this->io.random()))
        this->read();
}

void ConfigFeed::watch(bool isWatcher, TimePoint now)
{
    if (!isWatcher) {
        if (this->cancelWatch)
            std::exchange(this->cancelWatch, nullptr)();
        return;
    }
    if (this->cancelWatch || !this->watchStart.isDue(now, watchRetryInterval, this->io.random()))
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

void ConfigFeed::read()
{
    // A change during a read may be missed by it, so another read follows.
    this->readsAgain = this->reads;
    if (this->reads)
        return;
    this->reads = true;
    this->store.read(this->config.records(), [this, alive = std::weak_ptr<bool>(this->alive)](const ConfigRead &read) {
        if (alive.expired())
            return;
        this->reads = false;
        this->applyRead(read);
        if (std::exchange(this->readsAgain, false))
            this->read();
    });
}

void ConfigFeed::applyRead(const ConfigRead &read)
{
    this->storeReachable = read.status == KvStatus::Ok;
    if (!read.error.empty())
        this->io.log(LogLevel::Warning, "configuration-not-read", {{"reason", read.error}});
    if (!this->storeReachable) {
        this->recoverFromPeers();
        return;
    }
    if (read.records)
        this->report(this->config.offer(*read.records), read.records->manifest.version, "store");
    // The store's answer is the latest; no peer can have a newer configuration than it, unless its record is faulty.
    if (this->config.version() > 0 && read.records && this->config.version() >= read.records->manifest.version)
        this->isRecovered = true;
    else
        this->recoverFromPeers();
}

void ConfigFeed::recoverFromPeers()
{
    if (this->isRecovered || this->isRecovering)
        return;
    const std::vector<std::string> contacts = this->hooks.contacts();
    if (contacts.empty())
        return;
    this->isRecovering = true;
    const auto pending = std::make_shared<std::size_t>(contacts.size());
    for (const std::string &address : contacts) {
        this->pull(address, [this, pending] {
            if (--*pending > 0)
                return;
            this->isRecovering = false;
            this->isRecovered = this->config.version() > 0;
            if (this->isRecovered)
                this->hooks.applied();
        });
    }
}

void ConfigFeed::hear(std::int64_t version, const std::string &address)
{
    if (version <= this->config.version() || this->pulls || version == this->refusedVersion)
        return;
    this->pulls = true;
    this->pull(address, [this] { this->pulls = false; });
}

void ConfigFeed::pull(const std::string &address, std::function<void()> done)
{
    this->io.call(
        address,
        "configDelta",
        {{"version", this->config.version()}},
        [this, address, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
            if (alive.expired())
                return;
            try {
                if (outcome.succeeded)
                    this->report(this->config.offerDelta(outcome.result), outcome.result.at("version"), address);
            } catch (const json::exception &error) {
                this->io.log(
                    LogLevel::Warning, "configuration-not-read", {{"peer", address}, {"reason", error.what()}});
            }
            done();
        });
}

void ConfigFeed::report(ConfigKeeper::Offer offer, std::int64_t version, const std::string &source)
{
    switch (offer) {
    case ConfigKeeper::Offer::Applied:
        this->io.log(LogLevel::Info, "configuration-applied", {{"version", version}, {"source", source}});
        this->hooks.applied();
        return;
    case ConfigKeeper::Offer::Refused:
        if (std::exchange(this->refusedVersion, version) != version)
            this->io.log(LogLevel::Error,
                         "configuration-refused",
                         {{"version", version},
                          {"source", source},
                          {"inForce", this->config.version()},
                          {"reason", this->config.error()}});
        return;
    case ConfigKeeper::Offer::NotNewer:
        return;
    }
}

bool ConfigFeed::isReady() const
{
    return this->isRecovered && this->config.version() > 0;
}

const ConfigKeeper &ConfigFeed::keeper() const
{
    return this->config;
}

bool ConfigFeed::isStoreReachable() const
{
    return this->storeReachable;
}

} // namespace hemlock
