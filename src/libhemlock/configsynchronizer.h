#pragma once

#include "activeconfig.h"
#include "controlio.h"
#include "periodictask.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Keeps a node's active configuration up to date: reads the store, prompted by a watch or by polling, and fetches
/// newer versions from peers.
class ConfigSynchronizer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Hooks
    {
        std::function<void()> applied; ///< Called after a newer configuration became active.
        std::function<std::vector<std::string>()> peerAddresses; ///< Control addresses of all known peers.
    };

    ConfigSynchronizer(const ControlIo &io, nlohmann::json documentSchema, Hooks hooks);
    ~ConfigSynchronizer();

    /// Starts or ends the watch and reads the store when the next poll is due; call it periodically.
    void tick(TimePoint now, const FleetRole &role);

    /// Handles the configuration version that a peer at @p address ("IP:PORT") reports; fetches it if it is newer.
    void handlePeerVersion(std::int64_t version, const std::string &address);

    /// Whether the active configuration may be served. After a start, this needs an answer from the store or from all
    /// reachable peers, so that a restarted node does not serve an outdated version.
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
    void handleApplyResult(ActiveConfig::ApplyResult applyResult, std::int64_t version, const std::string &source);

    const ControlIo &io;
    Hooks hooks;
    ConfigStore store;
    ActiveConfig currentConfig;
    PeriodicTask pollTask;
    PeriodicTask watchRetryTask;
    std::function<void()> cancelWatch;
    bool isReading = false; ///< A read of the store is running.
    bool isRereadNeeded = false; ///< A change was reported during the running read.
    bool isFetching = false; ///< A fetch that handlePeerVersion() started is running.
    bool isRecovered = false; ///< The store or all peers were asked since the start, and a version is active.
    bool isRecovering = false; ///< Peers are being asked for their configuration.
    bool isLastReadOk = false; ///< Whether the last read of the store succeeded.
    std::int64_t rejectedVersion = 0; ///< Latest invalid version, which is not fetched again; 0 for none.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets callbacks detect that this was destroyed.
};

} // namespace hemlock
