#pragma once

#include "admission/admissionsettings.h"
#include "admission/arrivalforecast.h"
#include "admission/minimumshares.h"
#include "admission/roomrate.h"
#include "fairqueue.h"
#include "metrics.h"
#include "randomengine.h"
#include "verdict.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A request that is refused, with the figures that decide when its caller should return.
struct AdmissionRefusal
{
    std::string service;
    std::string clientAccount;
    std::string code;
    std::string message;
    ArrivalForecast forecast;
    std::optional<std::chrono::milliseconds> pauseLeft; ///< If all upstreams pause; takes precedence.
    std::optional<std::chrono::milliseconds> deadlineLeft; ///< Time that the caller has left, if known.
};

/// Decisions on admission and order of the requests of one entry VM; the interface that RelayScheduler uses.
class RequestAdmission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RequestAdmission(AdmissionSettings settings = {});

    void setFirstToken(FirstTokenHook hook);

    MinimumShares &shares(const std::string &service);

    /// Order of a request among those of its account: by latest start, then by arrival. 0 stands for arrival only.
    std::uint64_t queueOrder(TimePoint latestStart);

    /// Measured rate at which queued requests start or first tokens arrive.
    std::optional<double> roomPerSecond(const std::string &service, TimePoint now);

    void setWaiting(const std::string &service, bool isWaiting, TimePoint now);
    void queuedStarted(const std::string &service, TimePoint now);
    void firstTokenArrived(const std::string &service, TimePoint now);

    /// Judges a request by the upstreams that may take it; never too late when the rule is switched off.
    ArrivalForecast forecast(const ArrivalQuery &query, const std::vector<UpstreamView> &upstreams) const;

    /// Whether an upstream is expected to give the first token in time, with a margin, or no upstream could. Prompts
    /// beyond that would be late themselves and delay others.
    bool isTimely(const ArrivalQuery &query, const UpstreamView &upstream) const;

    /// Time after which a refused caller should return. @p fraction is random, 0 to 1.
    static std::chrono::milliseconds retryAfter(const AdmissionRefusal &refusal, double fraction);

    /// Counts and logs a refusal. Returns the error for the caller.
    RequestError refuse(const AdmissionRefusal &refusal, RandomEngine &random);

    /// Number of refusals by code.
    const std::map<std::string, std::uint64_t> &refusals() const;

private:
    struct ServiceState
    {
        MinimumShares shares;
        RoomRate starts;
        RoomRate firstTokens;
    };

    ServiceState &state(const std::string &service);

    AdmissionSettings settings;
    FirstTokenHook firstToken = constantSpeedForecast;
    std::map<std::string, ServiceState> states; ///< By service.
    std::map<std::string, std::uint64_t> refusalCounts;
    std::uint64_t arrivals = 0;
};

/// Sets a counter for each code of refusals.
void reportRefusals(const std::map<std::string, std::uint64_t> &refusals, Metrics &metrics);

/// Number of queued requests of a service.
std::size_t queuedRequests(const std::map<int, FairQueue> &queues);

/// Ranks of a service that have queued requests, in ascending order.
std::vector<WaitingRank> waitingRanks(const std::map<int, FairQueue> &queues);

} // namespace hemlock
