#pragma once

#include "router.h"
#include "upstream.h"

#include <chrono>
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

    /// Replaces the known upstreams; in-flight counts stay.
    void apply(const std::vector<Upstream> &upstreams);

    std::optional<Upstream> find(const std::string &id) const;

    /// Upstreams of a service to route to. Serving ones that did not fail just now come first; when there are none,
    /// those that failed or are suspected are returned rather than nothing.
    std::vector<UpstreamView>
    candidates(const std::string &service, const std::set<std::string> &excluded, Time now) const;

    void attemptStarted(const std::string &id);
    void attemptEnded(const std::string &id);

    /// Notes that an attempt found the upstream unusable; it is avoided for a short time.
    void attemptFailed(const std::string &id, Time now);

    /// Requests in flight by upstream, without idle upstreams.
    std::map<std::string, int> inFlight() const;

    /// Failures by upstream since the last call.
    std::map<std::string, int> takeFailures();

private:
    struct Activity
    {
        int inFlight = 0;
        std::optional<Time> failedAt;
    };

    bool isAvoided(const std::string &id, Time now) const;

    std::unordered_map<std::string, Upstream> upstreams;
    std::map<std::string, std::vector<std::string>> idsByService;
    std::unordered_map<std::string, Activity> activities;
    std::map<std::string, int> failures;
};

} // namespace hemlock
