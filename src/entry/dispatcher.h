#pragma once

#include "attempt.h"
#include "callinfo.h"
#include "crashprobe.h"
#include "decisionlog.h"
#include "entrysettings.h"
#include "quarantine.h"
#include "retrybudget.h"
#include "router.h"
#include "upstreampool.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlock {

/// Input for choosing the upstream of a call's next attempt.
struct AttemptRequest
{
    const CallInfo &call;
    std::string prompt; ///< Empty for a transactional service.
    std::string fingerprint; ///< Result of requestFingerprint(); identifies the request in the quarantine.
    const std::set<std::string> &excluded; ///< Upstreams that have already failed the call.
    int number = 1; ///< Number of this attempt within the call, from 1.
    bool bypassesRetryBudget = false; ///< The answer has begun or its last upstream is being reclaimed.
    std::function<std::string(const std::string &upstream)> makeAttemptId; ///< Creates the attempt's identifier.
};

/// The next attempt, or the reason why there is none.
struct DispatchResult
{
    std::shared_ptr<Attempt> attempt;
    bool mustWait = false; ///< The quarantine delays the request; the call has to try again later.
    std::optional<RequestError> refusal;
};

/// Chooses the upstream of each attempt, subject to the quarantine and the retry budgets, and records the decisions
/// and the crashes of upstreams.
class Dispatcher
{
public:
    Dispatcher(asio::io_context &loop, HttpClient &http, const EntrySettings &settings);

    /// Replaces the known upstreams. @p entryVms is the number of entry processes that share them, including this one.
    void applyUpstreams(const std::vector<Upstream> &upstreams, int entryVms);

    /// Chooses the upstream of a call's next attempt. Refuses a quarantined request with 422, and with 503 if no
    /// upstream takes requests or the retry budget is used up.
    DispatchResult next(const AttemptRequest &attemptRequest);

    /// Creates an attempt that resumes a stream at the upstream that generated it. @p reason goes to the decision log.
    std::shared_ptr<Attempt>
    resume(const AttemptRequest &attemptRequest, const Upstream &upstream, const std::string &reason);

    /// Checks whether an upstream crashed after a connection to it was lost. A crash is recorded against the request's
    /// fingerprint in the quarantine.
    void
    probeForCrash(const std::string &fingerprint, const Upstream &upstream, std::function<void(bool hasDied)> done);

    UpstreamPool &upstreams();
    Quarantine &quarantine();
    const DecisionLog &decisions() const;

private:
    std::shared_ptr<Attempt> makeAttempt(const AttemptRequest &attemptRequest, const Upstream &upstream);
    void log(const AttemptRequest &attemptRequest, const std::shared_ptr<Attempt> &attempt, RouteDecision decision);

    asio::io_context &loop;
    HttpClient &http;
    AvailabilityZone zone;
    Router router;
    RandomEngine random;
    int entryVms = 1;
    UpstreamPool pool;
    RetryBudget retryBudget;
    Quarantine requestQuarantine;
    CrashProbe crashProbe;
    DecisionLog recentDecisions;
};

} // namespace hemlock
