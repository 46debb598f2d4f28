#pragma once

#include "candidateset.h"
#include "router.h"
#include "upstream.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// The upstreams of an entry process: which may take requests, and how many requests each works on.
class UpstreamPool
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// What a new list of upstreams changed.
    struct Change
    {
        std::vector<Upstream> removed; ///< Gone from the list or in the state "gone", as they were before.
    };

    /// Replaces the known upstreams; in-flight counts stay.
    Change apply(const std::vector<Upstream> &upstreams, Time now);

    std::optional<Upstream> find(const std::string &id) const;

    /// Chooses among the serving upstreams of the query's service that did not fail just now. When there are none, one
    /// that failed or is suspected is chosen rather than nothing. Costs a pass over the service's upstreams only when
    /// some are excluded or none is sound.
    RouteDecision choose(const Router &router,
                         const RouteQuery &query,
                         const std::set<std::string> &excluded,
                         Time now,
                         RandomEngine &random);

    void attemptStarted(const std::string &id);

    /// Notes prompt tokens (negative: no longer) that wait at an upstream for their first token.
    void addPendingTokens(const std::string &id, double tokens);

    /// Notes what other entry VMs said of their own requests at an upstream.
    void peerLoadReported(const std::string &id, double requests, double pendingTokens, Time now);

    /// Notes how an attempt went: whether the upstream failed, and its time to the first byte beyond the expected one.
    void outcomeObserved(const std::string &id, bool failed, std::chrono::milliseconds excessDelay);

    /// The upstream's state as the router sees it; none when it is unknown.
    std::optional<UpstreamView> viewOf(const std::string &id) const;

    /// Upstreams of a service that serve and did not fail just now.
    const CandidateSet &healthy(const std::string &service, Time now);

    const std::unordered_map<std::string, Upstream> &all() const;

    void attemptEnded(const std::string &id);

    /// Notes that an attempt found the upstream unusable; it is avoided for a short time.
    void attemptFailed(const std::string &id, Time now);

    /// Notes an upstream's own report of the requests that it works on. @p ownInFlight of them are this process's.
    void loadReported(const std::string &id, double load, int ownInFlight, Time now);

    /// Requests of this process that an upstream works on.
    int inFlightAt(const std::string &id) const;

    /// Whether a reclaim notice or the VM list announced that the upstream goes away.
    bool isLeaving(const std::string &id) const;

    /// Requests in flight by upstream, without idle upstreams.
    std::map<std::string, int> inFlight() const;

    /// Failures by upstream since the last call.
    std::map<std::string, int> takeFailures();

private:
    struct Activity
    {
        int inFlight = 0;
        std::optional<Time> failedAt;
        double reportedLoad = 0.0;
        double inFlightAtReport = 0.0;
        double pendingTokens = 0.0;
        double peerPendingTokens = 0.0;
        double failureShare = 0.0;
        double excessDelayMs = 0.0;
    };

    void updateView(const Upstream &upstream);
    bool isCoolingDown(const std::string &id, Time now) const;
    UpstreamView view(const Upstream &upstream) const;
    void refreshCandidate(const Upstream &upstream, Time now);
    void endCooldowns(Time now);
    std::vector<UpstreamView>
    candidates(const std::string &service, const std::set<std::string> &excluded, Time now) const;

    std::unordered_map<std::string, Upstream> upstreams;
    std::map<std::string, std::vector<std::string>> idsByService;
    std::map<std::string, CandidateSet> healthyByService; ///< Serving and not avoided.
    std::unordered_map<std::string, Activity> activities;
    std::deque<std::pair<Time, std::string>> coolingDown; ///< In order of failure.
    std::map<std::string, int> failures;
};

} // namespace hemlock
