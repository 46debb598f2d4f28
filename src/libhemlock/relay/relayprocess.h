#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "metrics.h"
#include "relay/dutyrunner.h"
#include "relay/fleetclock.h"
#include "relay/fleetplanner.h"
#include "relay/peerexchange.h"
#include "relay/peerregistry.h"
#include "relay/relaycall.h"
#include "relay/storefollower.h"
#include "relay/storeprobe.h"
#include "relay/upstreamdirectory.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace hemlock {

struct RelaySettings
{
    std::string node; ///< Name of this entry VM.
    AvailabilityZone zone;
    std::string callers; ///< "IP:PORT" for callers.
    std::string readiness; ///< "IP:PORT" for the load balancer's question; its path is of no matter.
    std::string control; ///< "IP:PORT" for metrics.
    std::string peers; ///< "IP:PORT" for datagrams of other entry VMs.
    std::string configKey; ///< Key of the operators' configuration in the store.
    std::string upstreamPrefix; ///< Prefix of the keys under which upstreams register.
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    std::chrono::milliseconds usageWindow{5000};
    std::chrono::milliseconds drainTime{8000}; ///< Between SIGTERM and the end.
    std::chrono::milliseconds dutyLease{3000};
    /// Time after an upstream announced its leave by which no request is sent to it any more.
    std::chrono::milliseconds upstreamNewsBound{2000};
    /// Time after which a new configuration is in force.
    std::chrono::milliseconds configNewsBound{2000};
    QuotaSettings quota;
    RetryBudgetSettings retries; ///< Of one entry VM but for the number of kept retries.
    double keptRetries = 30.0; ///< Of all entry VMs together.
    std::size_t expectedVms = 6; ///< Entry VMs that share a limit until more are known.
};

/// The entry process of a deployment whose calls are relayed as they are: one on each entry VM.
class RelayProcess
{
public:
    /// @p kv and the hooks of @p transport use @p http.
    RelayProcess(
        asio::io_context &loop, RelaySettings settings, HttpClient &http, KvAccess kv, RelayTransport transport);

    void start();

    /// Takes over what may change while the process runs: the duties, the drain time and the tolerance of quotas.
    void applySettings(const RelaySettings &changed);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    TimePoint now() const;
    std::chrono::system_clock::time_point wallTime();
    double randomPart();
    void handleCaller(HttpRequest request, const HttpResponderPtr &responder);
    void handleReadiness(const HttpResponderPtr &responder) const;
    void handleControl(const HttpRequest &request, const HttpResponderPtr &responder) const;

    UpstreamListFreshness upstreamListFreshness() const;
    StoreFollowerHooks followerHooks(std::function<void(const std::map<std::string, std::string> &)> loaded);
    void storeSilent(const std::string &error);
    void storeAnswersAgain();
    void storeReachabilityChanged(bool reachable, const std::string &error);
    void upstreamsLoaded(const std::map<std::string, std::string> &values);
    void ownKeysLoaded(const std::map<std::string, std::string> &values);
    void storeChanged(const std::vector<KvEvent> &events);
    void entrySeen(const std::string &key, const std::string &value);
    void entryRemoved(const std::string &key);
    void dutyHolderSeen(const std::string &record);
    void applyConfig(const std::string &value);
    void upstreamSeen(const std::string &key, const std::string &value);
    void applyUpstreams();

    void tick();
    void reportHealth(TimePoint now, std::chrono::nanoseconds lateness);
    void brokenOff(const Upstream &upstream, const std::string &fingerprint);
    double retriesOfOneVm(TimePoint now) const;
    void plan();
    FleetPlanner::Supply supplyOf(const std::string &service);

    bool accepts(CallKind kind) const;
    void awaitSignal();
    void drain();
    void checkDrained();

    asio::io_context &loop;
    RelaySettings settings;
    RelayTransport transport;
    std::string run; ///< Differs between two starts of this VM.
    RandomEngine random;
    RelayScheduler scheduler;
    AccountQuota quota;
    RetryBudget retries;
    Quarantine quarantine;
    UsageLedger usage;
    Metrics metrics;
    FleetClock clock;
    UpstreamDirectory directory;
    PeerRegistry registry;
    DutyRunner duties;
    FleetPlanner planner;
    RelayContext context;
    StoreFollower configStore;
    StoreFollower upstreamStore;
    StoreFollower ownStore;
    StoreProbe storeProbe;
    HttpServer callers;
    HttpServer readiness;
    HttpServer control;
    PeerExchange peers;
    asio::signal_set signals;
    asio::steady_timer ticker;
    asio::steady_timer drainTimer;

    std::map<std::string, UpstreamState> upstreamStates; ///< As logged.
    std::set<std::shared_ptr<RelayCall>> calls;
    std::map<std::string, std::vector<std::pair<TimePoint, std::string>>> broken; ///< By upstream.
    std::map<std::string, std::string> unreadable; ///< Values that were reported once, by key.
    PeriodicTask planTask;
    TimePoint healthReported;
    std::chrono::nanoseconds worstLateness{0}; ///< Of the loop since then.
    PeerTraffic reportedTraffic;
    bool isDraining = false;
    TimePoint drainBegan;
    TimePoint lastRequest;
};

} // namespace hemlock
