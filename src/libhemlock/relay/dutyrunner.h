#pragma once

#include "kvaccess.h"
#include "leaderrole.h"
#include "relay/relaytransport.h"
#include "relay/usageledger.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

struct DutySettings
{
    std::string holder; ///< Name of this node.
    std::string runId; ///< Of this process; differs between two starts of the node.
    std::string keyPrefix; ///< Of all records of the duties, such as "hemlock/duties".
    std::chrono::seconds leaseTtl{3};
    /// A new holder waits so long before its first call: calls of the holder before may still be on their way.
    std::chrono::milliseconds takeoverDelay{300};
    /// The first holder reports windows from so long before.
    std::chrono::milliseconds initialLookback{3000};
    /// Rest of the lease that a call needs to arrive in.
    std::chrono::milliseconds minLeaseRemaining{1000};
    /// After the end of a window the last counts of peers arrive.
    std::chrono::milliseconds peerCountDelay{2000};
    std::string countsKey; ///< Where the counts of running windows are saved.
    /// Counts of windows that still run are saved so often, for a successor after a stop of all VMs.
    std::chrono::milliseconds saveInterval{400};
};

/// Acts for the whole system while this node holds the role: reports usage and orders upstreams.
///
/// What a call says is written to the store first, under the condition that this node holds the role. A successor
/// finds it there and repeats it exactly. A node that stops lets its lease lapse rather than give the role up, so that
/// two holders never act in turn within the time of a lease.
class DutyRunner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    DutyRunner(KvAccess kv, DutySettings settings, const RelayTransport &transport, UsageLedger &usage);

    /// Which duties the platform asks for.
    void setEnabledDuties(bool reportsUsage, bool ordersUpstreams);

    /// Record of the role's holder in the store changed; empty when there is none.
    void updateHolder(const std::string &record);

    /// Node that holds the role by its record; empty when there is none.
    const std::string &holder() const;

    /// Wanted orders; only what differs from the last accepted order is sent.
    void setWantedOrders(const std::set<UpstreamOrder> &orders);

    /// Calls @p hook when the platform refused an order.
    void setOrderRefusedHandler(std::function<void(const UpstreamOrder &order)> handler);

    /// Whether this node may act now.
    bool isActing(TimePoint now) const;

    void tick(TimePoint now, WallTime wallTime, double random);

    std::string holderKey() const;

private:
    std::string usageKey() const;
    void saveCounts(TimePoint now, WallTime wallTime);
    void countsLoaded(const KvRangeResult &result);
    void loadRecord();
    void recordLoaded(const KvRangeResult &result);
    void reportNextWindow(WallTime wallTime);
    void sendReport(std::int64_t window);
    void sendNextOrder(TimePoint now);

    KvAccess kv;
    DutySettings settings;
    const RelayTransport &transport;
    UsageLedger &usage;
    LeaderRole role;
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    bool hasHolder = false;
    std::string currentHolder;
    std::optional<TimePoint> roleHeldSince;
    TimePoint now;
    bool isRecordLoaded = false;
    bool isLoadingRecord = false;
    bool isSaving = false;
    TimePoint nextSave;
    std::string savedCounts;
    bool isReporting = false;
    bool isOrdering = false;
    std::map<std::int64_t, UsageCounts> recordedCounts; ///< Windows whose counts stand in the store.
    std::set<std::int64_t> unsentWindows; ///< Recorded windows that the platform has not accepted from this node.
    std::optional<std::int64_t> oldestSavedWindow; ///< Oldest window whose running counts the holder before saved.
    std::optional<std::int64_t> nextWindow;
    std::set<UpstreamOrder> wantedOrders;
    std::function<void(const UpstreamOrder &order)> orderRefused;
    std::map<std::tuple<std::string, std::string, bool>, int> acceptedOrderCounts;
    std::map<std::tuple<std::string, std::string, bool>, TimePoint> refusedAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
