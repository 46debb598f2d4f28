#pragma once

#include "randomengine.h"
#include "rollout/exposurelimit.h"
#include "rollout/rolloutcounts.h"
#include "rollout/rolloutrecord.h"
#include "rollout/versioninuse.h"
#include "upstream.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// Decides at one VM which upstreams a request may be sent to while the versions of a service change, and counts the
/// responses of both versions.
class RolloutGate
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    RolloutGate(ExposureSettings exposure, std::string runId, RandomEngine random);

    /// Applies a record of the store. One that is older than the known one, as a restored store lists it, is ignored.
    void applyRecord(const std::string &service, const RolloutRecord &record);

    std::optional<RolloutRecord> record(const std::string &service) const;

    /// Sets the version of an upstream; empty if its entry has none.
    void setVersion(const std::string &upstream, const std::string &version);

    const std::string &versionOf(const std::string &upstream) const;

    /// Version in use of a service; empty if none is known.
    std::string versionInUse(const std::string &service) const;

    /// Versions in use of all services that have one.
    std::map<std::string, std::string> versionsInUse() const;

    /// The upstreams that may get requests: those of the version in use, and of the target while it is exposed.
    std::vector<Upstream> usable(const std::vector<Upstream> &listed);

    /// Adds the upstreams of the version that a request must not be sent to. @p tried holds the upstreams of its
    /// earlier attempts, @p excluded those that cannot get it anyway.
    void exclude(const std::string &requestId,
                 const std::string &service,
                 const std::set<std::string> &tried,
                 std::size_t vms,
                 std::set<std::string> &excluded,
                 TimePoint now) const;

    void attemptStarted(const std::string &requestId, const Upstream &upstream, bool isFirst, TimePoint now);

    /// Counts the response to an attempt. The delay of a stream is taken for each of its @p writes.
    void
    attemptEnded(const std::string &requestId, const std::string &route, bool isFailure, int writes, TimePoint now);

    /// Counts of all running roll-outs for the decider; null if there are none.
    nlohmann::json report(TimePoint now);

    /// Applies the decider's answer to a report, as by RolloutDecider::answer(). Throws nlohmann::json::exception for a
    /// malformed one.
    void applyAnswer(const nlohmann::json &answer);

    /// Requests sent to the targets of roll-outs since the start of the process.
    std::uint64_t exposedRequests() const;

private:
    struct Service
    {
        std::optional<RolloutRecord> record;
        VersionInUse versions;
        ExposureLimit limit;
        RolloutCounts counts;
        std::set<std::string> targets; ///< Serving upstreams of the target.
        std::set<std::string> others; ///< Other serving upstreams that may get requests.
    };

    struct Attempt
    {
        std::string service;
        bool isTarget = false;
        TimePoint started;
    };

    ExposureSettings exposure;
    std::string runId;
    RandomEngine random;
    std::map<std::string, Service> services;
    std::map<std::string, std::string> versions; ///< By upstream.
    std::map<std::string, Attempt> attempts; ///< By request.
    std::map<std::int64_t, TimePoint> reportTimes; ///< When the latest reports were made, by sequence.
    std::int64_t sequence = 0;
    std::uint64_t exposed = 0;
};

} // namespace hemlock
