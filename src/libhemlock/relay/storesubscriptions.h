#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "kvaccess.h"
#include "relay/storepollrouter.h"
#include "relay/storeprobe.h"
#include "relay/storewatcher.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace hemlock {

struct StoreSubscriptionsSettings
{
    std::string configKey; ///< Key of the operators' configuration.
    std::string upstreamPrefix; ///< Prefix of the keys under which upstreams register.
    std::string ownKeyPrefix; ///< Prefix of the system's own keys.
    std::chrono::milliseconds upstreamUpdateDeadline{2000}; ///< Time by which a change of an upstream must be known.
    std::chrono::milliseconds configUpdateDeadline{2000}; ///< Time by which a new configuration must be known.
};

struct StoreSubscriptionsHooks
{
    using Values = std::map<std::string, std::string>;

    std::function<void(const Values &values)> configLoaded;
    std::function<void(const Values &values)> upstreamsLoaded;
    std::function<void(const Values &values)> ownKeysLoaded;
    std::function<void(const std::vector<KvEvent> &events)> keysChanged;
    /// As by StoreWatcherHooks, for the keys of upstreams.
    std::function<void(bool reachable, const std::string &error)> reachabilityChanged;
    /// As by StorePollRouterHooks.
    std::function<std::optional<StoreReader>(const std::set<std::string> &excluded)> reader;
    std::function<bool(std::int64_t era)> eraTold;
    std::function<std::int64_t()> era;
};

/// Keeps an entry VM up to date with the store: watches its keys, in the store or at a peer that reads the store for
/// its neighbours, and answers the polls of such neighbours.
class StoreSubscriptions
{
public:
    /// @p kv uses @p http.
    StoreSubscriptions(asio::io_context &loop,
                       HttpClient &http,
                       KvAccess kv,
                       StoreSubscriptionsSettings settings,
                       StoreSubscriptionsHooks hooks);

    StoreSubscriptions(const StoreSubscriptions &) = delete;
    StoreSubscriptions &operator=(const StoreSubscriptions &) = delete;

    void start();
    void tick();

    /// Reads the entries of all upstreams anew.
    void reloadUpstreams();

    /// Reads everything anew after the store was restored from an older copy.
    void reload();

    /// Answers a poll of a peer; see storePollPath.
    void handlePoll(const HttpRequest &request, const HttpResponderPtr &responder);

    const StoreWatcher &upstreams() const;
    const StoreWatcher &ownKeys() const;
    const StorePollRouter &router() const;

private:
    StorePollRouterHooks makeRouterHooks(HttpClient &http);
    StoreWatcherHooks watcherHooks(const std::string &prefix,
                                   const std::function<void(const StoreSubscriptionsHooks::Values &values)> &keysLoaded,
                                   StoreWatcher &watcher);
    void storeFailed(const std::string &error);
    void restartPolls();

    StoreSubscriptionsSettings settings;
    StoreSubscriptionsHooks hooks;
    StorePollRouter pollRouter;
    StoreWatcher configWatcher;
    StoreWatcher upstreamWatcher;
    StoreWatcher ownKeysWatcher;
    StoreProbe probe;
};

} // namespace hemlock
