#pragma once

#include "quarantine.h"
#include "relay/accountquota.h"
#include "relay/fleetclock.h"
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
#include <set>
#include <string>
#include <vector>

namespace hemlock {

struct PeerExchangeSettings
{
    std::string node;
    std::string run; ///< Differs between two starts of the node.
    std::string zone;
    std::string address; ///< "IP:PORT" for datagrams.
};

/// What an entry VM shares with its peers.
struct SharedState
{
    AccountQuota &quota;
    UsageLedger &usage;
    Quarantine &quarantine;
    RelayScheduler &scheduler;
    FleetClock &clock;
    PeerRegistry &registry;
};

/// Tells the other entry VMs what this one does and takes over what they say.
///
/// In a small fleet each VM tells each other one. In a large one it tells those of its availability zone; two of them
/// send the zone's sums to one VM of each other zone, a different one each time, which passes them on there. A VM's
/// messages then grow with its zone and the number of zones, not with the fleet, and few bytes leave a zone.
class PeerExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    PeerExchange(asio::io_context &loop,
                 PeerExchangeSettings settings,
                 SharedState shared,
                 std::function<TimePoint()> now,
                 std::function<std::chrono::system_clock::time_point()> wallTime);

    void start();

    /// Tells the peers at once, if there are few.
    void expedite();

    /// Who reports the usage; empty when nobody does.
    void setDutyHolder(const std::string &node);

    /// Prompt tokens that requests at other entry VMs needed computed since this process heard of them, by service.
    const std::map<std::string, double> &demand() const;

    const PeerTraffic &traffic() const;

private:
    /// What is known of one process of a peer or, as a witness, of a zone.
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

    struct ZoneTotals
    {
        RunningTotals quota;
        RunningTotals demand;
        std::map<std::string, double> lastDemand;
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

    void datagramReceived(std::string_view datagram);
    void applyPeerUpdate(const PeerUpdate &update, TimePoint now);
    void applyZoneUpdate(const ZoneUpdate &update, std::string_view datagram, bool isForwarded, TimePoint now);

    asio::io_context &loop;
    PeerExchangeSettings settings;
    SharedState shared;
    std::function<TimePoint()> now;
    std::function<std::chrono::system_clock::time_point()> wallTime;
    PeerLink link;
    asio::steady_timer timer;
    std::string dutyHolder;

    std::int64_t sequence = 0;
    TimePoint lastUpdateSent;
    TimePoint lastUsageSent;
    SuspectUpdates suspectUpdates;
    std::vector<CachedParts> recentCachedParts;
    std::deque<std::size_t> partCounts; ///< Of lastCachedParts, by message.
    std::size_t nextReceiver = 0;

    std::map<std::string, std::string> runs; ///< Latest run of each peer.
    std::set<std::string> endedRuns; ///< Runs of peers that a later one followed.
    std::map<std::string, Source> sources; ///< By run.
    std::map<std::string, ReportedLoads> loads; ///< By peer, or by zone.
    std::map<std::string, ZoneTotals> zones;
    std::map<std::string, double> neighbourQuota; ///< Units admitted by the peers since this process heard of them.
    std::map<std::string, double> neighbourDemand;
    std::map<std::string, double> totalDemand;
};

} // namespace hemlock
