#pragma once

#include "leaderrole.h"
#include "logger.h"
#include "placement.h"
#include "upstream.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// Response of the cloud API; the HTTP status is 0 if it is unknown whether the call took effect.
struct CloudAnswer
{
    int status = 0;
    nlohmann::json body;
    std::string error;
};

/// External services, clock and log of a placer; tests replace them by simulated ones.
struct PlacerIo
{
    /// Sends a request to the cloud API.
    std::function<void(const std::string &method,
                       const std::string &path,
                       const nlohmann::json &body,
                       std::function<void(const CloudAnswer &)> done)>
        cloud;
    /// Reads the number of requests in progress and waiting that an upstream reports; empty if it does not answer.
    std::function<void(const std::string &address, std::function<void(std::optional<double>)> done)> readLoad;
    std::function<double()> random; ///< Uniform in [0, 1).
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<void(LogLevel level, std::string_view event, const nlohmann::json &fields)> log;
};

/// Operator settings for the placement of one service, from the field "placement" of the configuration document.
struct PlacementRule
{
    std::string service;
    std::size_t minimum = 0; ///< Minimum number of upstreams.
    std::size_t maximum = 0; ///< Maximum number of upstreams; 0 for no limit.
    std::set<std::string> classes; ///< Allowed VM classes; all if empty.
    std::set<std::string> zones; ///< Names of the allowed availability zones; all if empty.
};

/// Throws nlohmann::json::exception if the service is missing or a field has the wrong type.
void from_json(const nlohmann::json &json, PlacementRule &rule);

/// Starts and stops the VMs of upstreams while this node holds the placer role.
///
/// Before an order is sent, a transaction records it and compares the holder's claim, so a placer that was paused until
/// its lease expired sends no more orders. The cloud API does not check fencing tokens: an order that was recorded and
/// then delayed can still arrive after the next holder has taken over. The next holder therefore waits for
/// takeoverDelay, which is longer than an order's timeout, and reads the records of pending orders and the list of VMs
/// before it plans.
class Placer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    Placer(KvAccess kv, std::string self, PlacerIo io, PlacementSettings settings = {});

    /// Claims the role if @p mayClaim is set, and plans at regular intervals while this node holds it.
    void tick(bool mayClaim, const std::vector<PlacementRule> &rules, const std::vector<Upstream> &upstreams);

    /// Whether this node holds the placer role.
    bool isHeld() const;

    /// Releases the role for a graceful shutdown.
    void release();

private:
    struct Round;

    /// A started VM that the list of VMs does not contain yet.
    struct PendingStart
    {
        PlacedVm vm;
        std::string service;
        TimePoint since;
    };

    void beginTerm();
    void readRecords();
    void beginRound(const std::vector<PlacementRule> &rules, const std::vector<Upstream> &upstreams);
    void readList(const std::string &path, std::function<void(const nlohmann::json &body)> read);
    void readPrices(const std::shared_ptr<Round> &round);
    void readVms(const std::shared_ptr<Round> &round);
    void readLoads(const std::shared_ptr<Round> &round);
    void plan(const std::shared_ptr<Round> &round);
    PlacementInput makeInput(const Round &round, const PlacementRule &rule);
    double demand(const Round &round, const PlacementRule &rule, std::size_t serving) const;
    void record(const PlacementOrder &order);
    void send(const PlacementOrder &order);
    void startVm(const PlacementOrder &order);
    void stopVm(const PlacementOrder &order);
    void dropPendingStarts(const std::set<std::string> &listed);
    void recordRefusal(const PlacementOrder &order);

    LeaderRole role;
    KvAccess kv;
    PlacerIo io;
    PlacementSettings settings;
    PeriodicTask planTask;
    std::int64_t term = 0; ///< Fencing token of the term of the placer role to which the members below belong.
    std::optional<TimePoint> planningStart; ///< End of the wait after a takeover; empty until the records are read.
    bool isPlanning = false;
    std::map<std::string, Placement> placements; ///< By service.
    std::map<std::string, PendingStart>
        pendingStarts; ///< By VM identifier, or by order identifier until that is known.
    std::map<std::string, std::vector<RefusedStart>> refusals; ///< By service.
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
