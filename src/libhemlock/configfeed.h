#pragma once

#include "configkeeper.h"
#include "controlio.h"
#include "periodictask.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Keeps the configuration up to date: from the store by a watch or by polling, and from peers that have a newer one.
class ConfigFeed
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Hooks
    {
        std::function<void()> applied; ///< A newer configuration is in force.
        std::function<std::vector<std::string>()> contacts; ///< Control addresses of all known peers.
    };

    ConfigFeed(const ControlIo &io, nlohmann::json documentSchema, Hooks hooks);
    ~ConfigFeed();

    void tick(TimePoint now, const FleetRole &role);

    /// A peer said which version it has; a newer one is fetched from it.
    void hear(std::int64_t version, const std::string &address);

    /// Whether the configuration may be served: after a start, the store or all reachable peers have been asked first.
    bool isReady() const;

    const ConfigKeeper &keeper() const;

    /// Whether the last read of the store succeeded.
    bool isStoreReachable() const;

private:
    void watch(bool isWatcher, TimePoint now);
    void read();
    void applyRead(const ConfigRead &read);
    void recoverFromPeers();
    void pull(const std::string &address, std::function<void()> done);
    void report(ConfigKeeper::Offer offer, std::int64_t version, const std::string &source);

    const ControlIo &io;
    Hooks hooks;
    ConfigStore store;
    ConfigKeeper config;
    PeriodicTask poll;
    PeriodicTask watchStart;
    std::function<void()> cancelWatch;
    bool reads = false;
    bool readsAgain = false;
    bool pulls = false;
    bool isRecovered = false;
    bool isRecovering = false;
    bool storeReachable = false;
    std::int64_t refusedVersion = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
