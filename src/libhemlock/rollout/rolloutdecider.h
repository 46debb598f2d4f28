#pragma once

#include "kvaccess.h"
#include "rollout/rolloutplan.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hemlock {

struct RolloutDeciderSettings
{
    std::string orderPrefix; ///< Of the operators' orders; followed by the service.
    std::string statusPrefix; ///< Of what the operators read; followed by the service.
    std::string recordPrefix; ///< Of the records, which all VMs watch; followed by the service.
    RolloutPlanSettings plan;
    /// How often the orders are read. Only the duty holder reads them.
    std::chrono::milliseconds readInterval{300};
    /// After a node became the decider, the counts of all VMs arrive within this time.
    std::chrono::milliseconds collectTime{800};
};

/// Serving upstreams of a service.
struct RolloutUpstreams
{
    std::size_t target = 0;
    std::size_t inUse = 0;
    double targetSlots = 0.0;
    double inUseSlots = 0.0;
};

struct RolloutDeciderHooks
{
    /// Throws std::exception for an order that cannot be read.
    std::function<RolloutOrder(const std::string &value)> decodeOrder;
    std::function<std::string(RolloutPhase phase, const std::string &target)> encodeStatus;
    std::function<RolloutUpstreams(const std::string &service, const std::string &target, const std::string &inUse)>
        upstreams;
    std::function<std::string(const std::string &service)> versionInUse;
    /// Versions in use by service; recorded while there is no order, so that a VM that starts later knows them.
    std::function<std::map<std::string, std::string>()> versionsInUse;
    /// The latest record that this VM knows, which a restored store may have lost.
    std::function<std::optional<RolloutRecord>(const std::string &service)> knownRecord;
    std::function<void(const std::string &service, const RolloutRecord &record)> recordWritten;
};

/// Follows the operators' orders and writes the phases and verdicts, while this node holds the duties.
///
/// Each write compares the order, the record, the status and the holder's record, so that one of an earlier holder that
/// is executed late changes nothing. An order that has a verdict is left alone; if a restored store lost the verdict,
/// the same one is written again.
class RolloutDecider
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    RolloutDecider(KvAccess kv, RolloutDeciderSettings settings, RolloutDeciderHooks hooks);

    /// Reads orders and takes due decisions. @p holder is the condition under which this node holds the duties, or
    /// empty if it does not.
    void tick(const std::optional<KvCompare> &holder, TimePoint now, WallTime wallTime);

    /// Merges a VM's report, as by RolloutGate::report(), and returns the permissions for it; null if this node does
    /// not decide. Throws nlohmann::json::exception for a malformed report.
    nlohmann::json answer(const nlohmann::json &report);

    /// The store was restored from an older copy.
    void storeRestored();

private:
    struct Stored
    {
        std::string value;
        std::int64_t revision = 0; ///< 0 for an absent key.
    };

    struct Service
    {
        Stored order;
        Stored record;
        Stored status;
        std::optional<RolloutRecord> current; ///< Content of record.
        std::map<std::string, RolloutCounts> countsByRun;
        RolloutCounts countsAtPhase;
        std::optional<RolloutPhase> verdict; ///< Decided by this node and not yet known to be written.
        double share = 0.0;
        bool isWriting = false;
    };

    using Values = std::map<std::string, Stored>; ///< By service.

    void reset();
    void readOrders();
    /// Reads the keys below @p prefix and calls @p done unless the call failed.
    void read(const std::string &prefix, std::function<void(Values values)> done);
    void readStored(Values orders);
    void ordersRead(Values orders);
    void follow(const std::string &name, Service &service);
    void decide(const std::string &name, Service &service);
    void write(const std::string &name, Service &service, const RolloutRecord &record, const std::string &reason);
    void written(const std::string &name, const RolloutRecord &record, const Stored &status, const KvTxnResult &result);

    KvAccess kv;
    RolloutDeciderSettings settings;
    RolloutDeciderHooks hooks;
    RolloutPlan plan;
    std::map<std::string, Service> services;
    std::map<std::string, std::string> refusedOrders; ///< Unreadable ones that were logged, by service.
    std::map<std::string, std::string> loggedWrites; ///< Records of the latest writes, by service.
    std::optional<KvCompare> holder;
    TimePoint now;
    WallTime wallTime;
    TimePoint nextRead = TimePoint::min();
    TimePoint decidesFrom = TimePoint::max();
    WallTime takenAt;
    std::int64_t era = 0; ///< Of the last read of the orders.
    int generation = 0; ///< Rises with each reset, so that results of earlier calls are ignored.
    bool isReading = false;
    bool isSynchronized = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
