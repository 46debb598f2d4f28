#pragma once

#include "kvaccess.h"
#include "metrics.h"
#include "relay/crashevidence.h"
#include "relay/relayscheduler.h"
#include "relay/relaytransport.h"
#include "rollout/rolloutdecider.h"
#include "rollout/rolloutgate.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

struct RolloutSettings
{
    std::string orderPrefix; ///< Prefix of the keys of the operators' orders.
    std::string statusPrefix; ///< Prefix of the keys that the operators read.
    std::string recordPrefix; ///< Prefix of the system's own records.
    std::optional<ExposureSettings> exposure; ///< Without it, versions of upstreams are ignored.
};

struct RelayRolloutsHooks
{
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::size_t()> vms; ///< Number of entry VMs.
    std::function<void()> versionsChanged; ///< Other upstreams than before may get requests.
    std::function<void(const nlohmann::json &report)> sendReport;
};

/// Roll-outs of new versions at one entry VM: joins the decision code with the scheduler, the store and the peers.
class RelayRollouts
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    /// Reads the versions of upstreams as @p transport decodes their entries. All references must outlive this object.
    RelayRollouts(RolloutSettings settings,
                  KvAccess kv,
                  RelayTransport &transport,
                  RelayScheduler &scheduler,
                  const std::string &runId,
                  RandomEngine random,
                  RelayRolloutsHooks hooks);

    bool isEnabled() const;

    const std::string &prefix() const;

    /// Applies a record of the store.
    void applyRecord(const std::string &key, const std::string &value);

    std::vector<Upstream> usable(const std::vector<Upstream> &listed);

    /// @p holder is the condition under which this node holds the duties, see RolloutDecider::tick().
    void tick(const std::optional<KvCompare> &holder, TimePoint now, WallTime wallTime);

    void storeRestored();

    nlohmann::json answer(const nlohmann::json &report);
    void answered(const nlohmann::json &answer);

    void attemptStarted(const std::string &request, const Upstream &upstream, bool isFirst);
    void attemptEnded(const std::string &request, const std::string &route, const AttemptEnd &end);

    void reportMetrics(Metrics &metrics) const;

private:
    RolloutDeciderHooks deciderHooks(const RelayTransport &transport);
    RolloutUpstreams
    countUpstreams(const std::string &service, const std::string &target, const std::string &inUse) const;
    void recordApplied(const std::string &service, const RolloutRecord &record);

    RolloutSettings settings;
    RelayScheduler &scheduler;
    RelayRolloutsHooks hooks;
    RolloutGate gate;
    RolloutDecider decider;
    TimePoint nextReport = TimePoint::min();
    /// Most VMs seen so far; peers that are not heard for a while still use their part of the exposure.
    std::size_t mostVms = 1;
    std::uint64_t completed = 0;
    std::uint64_t rolledBack = 0;
};

} // namespace hemlock
