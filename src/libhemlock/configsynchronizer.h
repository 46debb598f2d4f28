#pragma once

#include "activeconfig.h"
#include "controlio.h"
#include "periodictask.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Keeps the configuration up to date: from the store by a watch or by polling, and from peers that have a newer one.
class ConfigSynchronizer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Hooks
    {
        std::function<void()> applied; ///< A newer configuration is in force.
        std::function<std::vector<std::string>()> peerAddresses; ///< Control addresses of all known peers.
    };

    ConfigSynchronizer(const ControlIo &io, nlohmann::json documentSchema, Hooks hooks);
    ~ConfigSynchronizer();

    void tick(TimePoint now, const FleetRole &role);

    /// A peer said which version it has; a newer one is fetched from it.
    void handlePeerVersion(std::int64_t version, const std::string &address);

    /// Whether the configuration may be served: after a start, the store or all reachable peers have been asked first.
    bool isReady() const;

    const ActiveConfig &activeConfig() const;

    /// Whether the last read of the store succeeded.
    bool isStoreReachable() const;

private:
    void updateWatch(bool isWatcher, TimePoint now);
    void read();
    void applyRead(const ConfigRead &read);
    void recoverFromPeers();
    void fetchDelta(const std::string &address, std::function<void()> done);
    void handleApplyResult(ActiveConfig::ApplyResult result, std::int64_t version, const std::string &source);

    const ControlIo &io;
    Hooks hooks;
    ConfigStore store;
    ActiveConfig currentConfig;
    PeriodicTask pollTask;
    PeriodicTask watchRetryTask;
    std::function<void()> cancelWatch;
    bool isReading = false;
    bool isRereadNeeded = false;
    bool isFetching = false;
    bool isRecovered = false;
    bool isRecovering = false;
    bool isLastReadOk = false;
    std::int64_t rejectedVersion = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
