#pragma once

#include "quarantine.h"
#include "relay/accountquota.h"
#include "relay/medianclock.h"
#include "relay/peerlink.h"
#include "relay/peerregistry.h"
#include "relay/peerupdate.h"
#include "relay/relayscheduler.h"
#include "relay/runningtotals.h"
#include "relay/suspectupdates.h"
#include "relay/usageledger.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

struct PeerExchangeSettings
{
    std::string node;
    std::string runId; ///< Differs between two starts of the node.
    std::string zone;
    std::string address; ///< "IP:PORT" for datagrams.
};

/// State of an entry VM that is synchronized with its peers. The references must outlive the exchange.
struct SharedState
{
    AccountQuota &quota;
    UsageLedger &usage;
    Quarantine &quarantine;
    RelayScheduler &scheduler;
    MedianClock &clock;
    PeerRegistry &registry;
};

/// Sends the state of this entry VM to its peers in periodic datagrams and applies theirs.
///
/// In a small fleet each VM sends to all others. In a large one it sends to those of its availability zone; two VMs per
/// zone also send the zone's sums to one VM of each other zone, a different one each time, which forwards them within
/// its zone. A VM's traffic then grows with the size of its zone and the number of zones, not with the fleet, and few
/// bytes cross zone boundaries.
class PeerExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    PeerExchange(asio::io_context &loop,
                 PeerExchangeSettings settings,
                 SharedState shared,
                 std::function<TimePoint()> now,
                 std::function<std::chrono::system_clock::time_point()> wallTime);

    /// Sends the first update and starts the timer.
    void start();

    /// Sends an update now instead of at the next interval. Does nothing in a large fleet, or right after another
    /// update.
    void expedite();

    /// Sets the node that reports the usage of the fleet, or an empty name when there is none. In a large fleet the
    /// usage is sent to it alone.
    void setDutyHolder(const std::string &node);

    struct RolloutHooks
    {
        std::function<nlohmann::json(const nlohmann::json &report)> answer; ///< As by RolloutDecider::answer().
        std::function<void(const nlohmann::json &answer)> answered; ///< As by RolloutGate::applyAnswer().
    };

    /// Sets the functions that handle messages of roll-outs; without them such messages are ignored.
    void setRolloutHooks(RolloutHooks hooks);

    /// Sends a report to the duty holder, or has it answered here if that is this node.
    void sendRolloutReport(const nlohmann::json &report);

    /// Prompt tokens that requests at other entry VMs needed computed, by service. A VM (in another zone: the zone)
    /// counts from the first update that this process received of it.
    const std::map<std::string, double> &demand() const;

    const PeerTraffic &traffic() const;

private:
    /// Last update received from one process, for itself or as a reporter of its zone.
    struct Source
    {
        std::int64_t sequence = 0;
        std::map<std::string, double> quotaTotals;
        std::map<std::string, double> demand;
    };

    struct ReportedLoads
    {
        PeerLoads loads;
        TimePoint receivedAt;
    };

    /// Totals of another availability zone, merged from its reporters.
    struct ZoneTotals
    {
        RunningTotals quota;
        RunningTotals demand;
        std::map<std::string, double> lastDemand; ///< Result of the last merge of demand.
    };

    bool isLargeFleet(TimePoint now) const;
    bool isZoneReporter(TimePoint now) const;
    std::chrono::milliseconds exchangeInterval(TimePoint now) const;
    void exchange();
    void sendPeerUpdate(TimePoint now);
    void sendZoneUpdate(TimePoint now);
    void sendUsageUpdate(TimePoint now);
    void updateLoads(TimePoint now);
    PeerLoads ownLoads();
    void collectCachedParts();

    void handleDatagram(std::string_view datagram);
    void applyPeerUpdate(const PeerUpdate &update, TimePoint now);
    void applyRolloutMessage(const UsageUpdate &update);
    void applyZoneUpdate(const ZoneUpdate &update, std::string_view datagram, bool isForwarded, TimePoint now);

    asio::io_context &loop;
    PeerExchangeSettings settings;
    SharedState shared;
    std::function<TimePoint()> now;
    std::function<std::chrono::system_clock::time_point()> wallTime;
    PeerLink link;
    asio::steady_timer timer;
    std::string dutyHolder;
    RolloutHooks rolloutHooks;

    std::int64_t sequence = 0;
    TimePoint lastUpdateSent;
    TimePoint lastUsageSent;
    SuspectUpdates suspectUpdates;
    std::vector<CachedParts> recentCachedParts;
    std::deque<std::size_t> partCounts; ///< Number of recentCachedParts that each message added, the oldest first.
    std::size_t nextReceiver = 0; ///< Rotates the receivers in the other zones.

    std::map<std::string, std::string> runs; ///< Latest run identifier of each peer.
    std::set<std::string> endedRuns; ///< Identifiers of runs that a later run of the same node replaced.
    std::map<std::string, Source> sources; ///< By run identifier, or by "zone/runId" for a reporter of another zone.
    std::map<std::string, ReportedLoads> loads; ///< By node, or by name of another zone.
    std::map<std::string, ZoneTotals> zones;

    // Neighbours are the peers whose own updates this process receives: all of a small fleet, in a large one those of
    // the zone. They count from their first update.
    std::map<std::string, double> neighbourQuota; ///< Units that neighbours admitted, by client account.
    std::map<std::string, double> neighbourDemand; ///< Prompt tokens at neighbours, by service.
    std::map<std::string, double> totalDemand; ///< As by demand().
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets queued callbacks detect the destruction.
};

} // namespace hemlock
