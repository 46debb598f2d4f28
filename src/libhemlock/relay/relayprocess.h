#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "latewriteguard.h"
#include "metrics.h"
#include "relay/departuretimes.h"
#include "relay/dutyrunner.h"
#include "relay/fleetplanner.h"
#include "relay/medianclock.h"
#include "relay/peerexchange.h"
#include "relay/peerregistry.h"
#include "relay/relaycall.h"
#include "relay/retrycapacity.h"
#include "relay/shutdownprogress.h"
#include "relay/storeera.h"
#include "relay/storeoutages.h"
#include "relay/storesubscriptions.h"
#include "relay/suspectrecords.h"
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
    double cpuShare = 0.0; ///< Processor cores of this VM.
    std::size_t memoryBytes = 0; ///< Memory of this VM; 0 if it is not known.
    std::size_t maxSockets = 0; ///< Descriptors of this VM that are not for files; 0 if that is not known.
    AvailabilityZone zone;
    std::string callerAddress; ///< "IP:PORT" on which callers' requests arrive.
    std::string readinessAddress; ///< "IP:PORT" of the load balancer's readiness check; any path.
    std::string controlAddress; ///< "IP:PORT" for metrics and for polls of other entry VMs.
    std::string peerAddress; ///< "IP:PORT" for datagrams of other entry VMs.
    std::string configKey; ///< Key of the operators' configuration in the store.
    std::string upstreamPrefix; ///< Prefix of the keys under which upstreams register.
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    std::chrono::milliseconds usageWindow{5000};
    std::chrono::milliseconds drainTime{8000}; ///< From SIGTERM to the exit of the process.
    std::chrono::milliseconds dutyLease{3000};
    /// Time after an upstream announced its shutdown by which no request may be sent to it any more.
    std::chrono::milliseconds upstreamUpdateDeadline{2000};
    /// Time after which a new configuration must be applied.
    std::chrono::milliseconds configUpdateDeadline{2000};
    /// Upstreams write their entries once in this time; an entry lapses after three times as long without a write.
    std::chrono::milliseconds upstreamHeartbeat{1200};
    QuotaSettings quota;
    RetryBudgetSettings retries; ///< Of one entry VM; maxRetries follows from totalRetryCapacity.
    double totalRetryCapacity = 30.0; ///< Retries that all entry VMs together may save up.
    std::chrono::milliseconds retryWindow{10000}; ///< Retries count against their limit for this long.
    bool startsWithRetries = true; ///< False after a restart, since retries may have been sent shortly before it.
    bool isFirstStart = true; ///< The whole system starts for the first time.
    std::size_t expectedVms = 6; ///< Entry VMs assumed to share a limit until more are known.
};

/// Entry process that relays calls unchanged to the upstreams; one runs on each entry VM.
class RelayProcess
{
public:
    /// @p kv and the functions of @p transport use @p http.
    RelayProcess(
        asio::io_context &loop, RelaySettings settings, HttpClient &http, const KvAccess &kv, RelayTransport transport);

    void start();

    /// Applies the settings that may change at run time: the duties, the drain time and the quota settings.
    /// QuotaSettings::startsFull keeps its value from the start of the process.
    void applySettings(const RelaySettings &changed);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    TimePoint now() const;
    std::chrono::system_clock::time_point wallTime();
    double randomFraction();
    void handleCallerRequest(HttpRequest request, const HttpResponderPtr &responder);
    void handleReadiness(const HttpResponderPtr &responder) const;
    void handleControl(const HttpRequest &request, const HttpResponderPtr &responder);

    UpstreamListFreshness upstreamListFreshness() const;
    StoreSubscriptionsHooks storeHooks();
    void storeReachabilityChanged(bool reachable, const std::string &error);
    void storeRestored();
    void loadUpstreams(const std::map<std::string, std::string> &values);
    void loadOwnKeys(const std::map<std::string, std::string> &values);
    void applyChanges(const std::vector<KvEvent> &events);
    void applyEntry(const std::string &key, const std::string &value);
    void removeEntry(const std::string &key);
    void updateDutyHolder(const std::string &record);
    void applyConfig(const std::string &value);
    void applyUpstreamEntry(const std::string &key, const std::string &value);
    void applyUpstreams();

    void tick();
    void reportHealth(TimePoint now, std::chrono::nanoseconds lateness);
    void recordConnectionFailure(const Upstream &upstream);
    /// Gives up requests that would reach upstreams after the update deadline, once a broken path works again.
    void giveUpUnreceivedRequests(TimePoint now);
    bool claimsDuties(TimePoint now) const;
    /// Number of other entry VMs; the expected one until their records were read.
    std::size_t peerCount(TimePoint now) const;
    void updateRetryCapacity(TimePoint now);
    void planUpstreams();
    FleetPlanner::Supply upstreamSupply(const std::string &service);

    void awaitSignal();
    void drain();
    void checkDrained();

    asio::io_context &loop;
    RelaySettings settings;
    RelayTransport transport;
    StoreOutages storeOutages;
    StoreEra storeEra;
    LateWriteGuard writeGuard;
    KvAccess kv;
    std::string runId; ///< Unique for each start of the process.
    RandomEngine random;
    RelayScheduler scheduler;
    DepartureTimes departures;
    AccountQuota quota;
    RetryBudget retries;
    RetryCapacity retryCapacity;
    Quarantine quarantine;
    SuspectRecords suspectRecords;
    UsageLedger usage;
    Metrics metrics;
    MedianClock clock;
    UpstreamDirectory directory;
    PeerRegistry registry;
    DutyRunner duties;
    FleetPlanner planner;
    RelayContext context;
    StoreSubscriptions store;
    HttpServer callerServer;
    HttpServer readinessServer;
    HttpServer controlServer;
    PeerExchange peerExchange;
    asio::signal_set signals;
    asio::steady_timer tickTimer;
    asio::steady_timer drainTimer;

    std::map<std::string, UpstreamState> upstreamStates; ///< States that were last logged, by upstream id.
    std::set<std::shared_ptr<RelayCall>> calls;
    std::map<std::string, std::vector<TimePoint>> recentConnectionFailures; ///< By upstream id.
    std::map<std::string, std::string> unreadableEntries; ///< Invalid values that were logged, by key.
    PeriodicTask planTask;
    TimePoint startTime;
    TimePoint lastReadBeforeLoss; ///< Latest successful read of the upstreams before the store counted as lost.
    TimePoint firstClaimTime; ///< The duties are not claimed before.
    TimePoint lastHealthReport;
    std::chrono::nanoseconds maxLateness{0}; ///< Of the event loop since lastHealthReport.
    PeerTraffic reportedTraffic;
    ShutdownProgress shutdown;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets queued callbacks detect the destruction.
};

} // namespace hemlock
