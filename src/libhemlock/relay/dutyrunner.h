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
    std::string runId; ///< Unique for each start of the process.
    std::string keyPrefix; ///< Prefix of all keys of the duties, such as "hemlock/duties".
    std::chrono::seconds leaseTtl{3};
    /// Delay before a new holder's first call, since calls of the previous holder may still be in flight.
    std::chrono::milliseconds takeoverDelay{300};
    /// The first holder reports windows from this long before its first report.
    std::chrono::milliseconds initialLookback{3000};
    /// Lease time that must remain when a call is sent, so that it arrives before the lease ends.
    std::chrono::milliseconds minLeaseRemaining{1000};
    /// Delay after the end of a window within which the last counts of peers arrive.
    std::chrono::milliseconds peerCountDelay{2000};
    std::string countsKey; ///< Key under which the counts of unfinished windows are saved.
    /// How often the counts of unfinished windows are saved, for a successor after all VMs stopped at once.
    std::chrono::milliseconds saveInterval{400};
    /// As by LeaderRoleSettings.
    std::function<std::int64_t()> storeEra;
    bool isFirstStart = false; ///< As by LeaderRoleSettings.
};

/// Performs the duties that only one node at a time may perform, while this node holds the leader role: reporting usage
/// and ordering upstreams.
///
/// The content of a usage report is written to the store first, on condition that this node holds the role. A successor
/// reads it there and sends exactly the same report again. A node that stops lets its lease expire instead of releasing
/// the role, so that two holders never alternate within one lease time.
///
/// A store that is restored from an older copy may lose reports that the platform has. The last holder knows them; any
/// other one reports no window that a lost report may have covered.
class DutyRunner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    DutyRunner(KvAccess kv, DutySettings settings, const RelayTransport &transport, UsageLedger &usage);

    /// Sets which duties this node performs while it holds the role.
    void setEnabledDuties(bool reportsUsage, bool ordersUpstreams);

    /// Sets whether this node claims the role while there is no holder. Initially it does.
    void setClaimsRole(bool claims);

    /// Called when the holder's record in the store changed; @p record is empty when there is no holder.
    void updateHolder(const std::string &record);

    /// Name of the node that holds the role according to its record; empty when there is none.
    const std::string &holder() const;

    /// Sets the wanted orders; only those that differ from the last accepted order are sent.
    void setWantedOrders(const std::set<UpstreamOrder> &orders);

    /// Sets the function that is called when the platform refused an order.
    void setOrderRefusedHandler(std::function<void(const UpstreamOrder &order)> handler);

    /// Whether this node holds the role and may send calls at @p now.
    bool isActing(TimePoint now) const;

    /// Called when the store was restored from an older copy.
    void storeRestored(TimePoint now);

    /// Renews or claims the role and sends calls that are due; @p random is in [0, 1).
    void tick(TimePoint now, WallTime wallTime, double random);

    /// Store key of the holder's record.
    std::string holderKey() const;

private:
    /// Each window has a record of its own, so that a late write of one cannot replace that of a newer one.
    std::string recordKey(std::int64_t window) const;
    void saveCounts(TimePoint now, WallTime wallTime);
    void countsLoaded(const KvRangeResult &result);
    void loadRecords();
    void recordsLoaded(const KvRangeResult &result);
    /// Replaces what is known of earlier reports by the record of the store, unless this node knows more.
    void applyRecords(const std::vector<KvEntry> &entries);
    /// Skips the windows that a holder whose record was lost may have reported.
    void skipReportableWindows();
    void reportNextWindow(WallTime wallTime);
    /// Writes the counts of a window to the store, from where they are reported.
    void recordWindow(std::int64_t window);
    void windowRecorded(const std::map<std::int64_t, UsageCounts> &windowCounts,
                        const std::vector<std::int64_t> &removedWindows,
                        LeaderRole::CommitResult result);
    void sendReport(std::int64_t window);
    void sendNextOrder(TimePoint now);

    /// Counts of a window that were sent to the store.
    struct RecordAttempt
    {
        std::int64_t window = 0;
        std::int64_t fencingToken = 0;
        UsageCounts counts;
    };

    KvAccess kv;
    DutySettings settings;
    const RelayTransport &transport;
    UsageLedger &usage;
    LeaderRole role;
    bool reportsUsage = false;
    bool ordersUpstreams = false;
    bool claimsRole = true;
    bool hasHolder = false;
    std::string currentHolder;
    std::optional<TimePoint> roleHeldSince;
    TimePoint now;
    WallTime wallTime;
    /// The store was restored, and this node was the holder until then. Holds until a record of a later era is found.
    bool knowsAllReports = false;
    bool areRecordsLoaded = false;
    bool isLoadingRecords = false;
    bool isSaving = false;
    TimePoint nextSave;
    std::string savedCounts;
    bool isReporting = false;
    bool isOrdering = false;
    std::map<std::int64_t, UsageCounts> recordedCounts; ///< Windows whose final counts are in the store.
    std::map<std::int64_t, std::string> storedRecords; ///< Keys of the records in the store, by window.
    std::optional<RecordAttempt> recordAttempt; ///< The latest write of a record.
    std::set<std::int64_t> unsentWindows; ///< Recorded windows that the platform has not accepted from this node.
    std::optional<std::int64_t> oldestSavedWindow; ///< Oldest window with counts saved by the previous holder.
    std::optional<std::int64_t> nextWindow;
    std::set<UpstreamOrder> wantedOrders;
    std::function<void(const UpstreamOrder &order)> orderRefused;
    std::map<std::tuple<std::string, std::string, bool>, int> acceptedOrderCounts;
    std::map<std::tuple<std::string, std::string, bool>, TimePoint> refusedAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
