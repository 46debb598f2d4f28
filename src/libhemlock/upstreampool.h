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

/// The upstreams known to an entry process, with the state and load that decide which can receive requests.
class UpstreamPool
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Result of applying a new list of upstreams.
    struct Change
    {
        std::vector<Upstream> removed; ///< No longer listed or now in the state "gone"; with their previous data.
    };

    /// Replaces the known upstreams and keeps the in-flight counts.
    Change apply(const std::vector<Upstream> &upstreams, Time now);

    std::optional<Upstream> find(const std::string &id) const;

    /// Chooses among the healthy upstreams of the query's service: those that are serving and did not fail recently.
    /// Falls back to suspected and recently failed ones when none is healthy. Iterates over the upstreams of the
    /// service only when some are excluded or none is healthy.
    RouteDecision choose(const Router &router,
                         const RouteQuery &query,
                         const std::set<std::string> &excluded,
                         Time now,
                         RandomEngine &random);

    void attemptStarted(const std::string &id);

    /// Adds prompt tokens of a request that waits for its first token at an upstream; negative to remove them.
    void addPendingTokens(const std::string &id, double tokens);

    /// Records the load that the other entry VMs report to have placed on an upstream.
    void peerLoadReported(const std::string &id, double requests, double pendingTokens, Time now);

    /// Records the outcome of an attempt: whether the upstream failed, and how much longer than expected the first byte
    /// took.
    void outcomeObserved(const std::string &id, bool failed, std::chrono::milliseconds excessDelay);

    /// Returns the data that the router uses for an upstream; std::nullopt when the upstream is unknown.
    std::optional<UpstreamView> viewOf(const std::string &id) const;

    /// Returns the upstreams of a service that are serving and did not fail recently.
    const CandidateSet &healthy(const std::string &service, Time now);

    /// All known upstreams by identifier, in any state.
    const std::unordered_map<std::string, Upstream> &all() const;

    void attemptEnded(const std::string &id);

    /// Records that an upstream failed an attempt; it is not chosen during a short cooldown.
    void attemptFailed(const std::string &id, Time now);

    /// Records the load reported by an upstream, in requests; @p ownInFlight of them were sent by this process.
    void loadReported(const std::string &id, double load, int ownInFlight, Time now);

    /// Returns the number of requests of this process in progress at an upstream.
    int inFlightAt(const std::string &id) const;

    /// Whether the service has an upstream that is serving or suspected, apart from the excluded ones. It may be full
    /// or in its cooldown.
    bool hasUsable(const std::string &service, const std::set<std::string> &excluded) const;

    /// Whether the upstream is leaving, gone or unknown.
    bool isLeaving(const std::string &id) const;

    /// Returns the requests in flight by upstream, without idle upstreams.
    std::map<std::string, int> inFlight() const;

    /// Returns the number of failures by upstream since the last call.
    std::map<std::string, int> takeFailures();

private:
    /// Load and outcomes observed at one upstream.
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

    /// Updates the routing data of an upstream that is in the healthy set; does not add it.
    void updateView(const Upstream &upstream);
    static bool isUsable(const Upstream &upstream);
    bool isCoolingDown(const std::string &id, Time now) const;
    UpstreamView view(const Upstream &upstream) const;
    /// Adds the upstream to the healthy set or removes it, according to its state and cooldown.
    void refreshCandidate(const Upstream &upstream, Time now);
    /// Refreshes the upstreams whose cooldown has ended.
    void endCooldowns(Time now);
    /// The healthy upstreams of a service without the excluded ones, or the unhealthy ones when there are none.
    std::vector<UpstreamView>
    candidates(const std::string &service, const std::set<std::string> &excluded, Time now) const;

    std::unordered_map<std::string, Upstream> upstreams;
    std::map<std::string, std::vector<std::string>> idsByService;
    std::map<std::string, CandidateSet> healthyByService; ///< Serving and not in the cooldown.
    std::unordered_map<std::string, Activity> activities;
    std::deque<std::pair<Time, std::string>> coolingDown; ///< Oldest failure first.
    std::map<std::string, int> failures;
};

} // namespace hemlock
