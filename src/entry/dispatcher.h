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

/// What a call wants of its next attempt.
struct AttemptRequest
{
    const CallInfo &call;
    std::string prompt; ///< Empty for a transactional service.
    std::string fingerprint; ///< By requestFingerprint().
    const std::set<std::string> &excluded; ///< Upstreams that failed the call already.
    int number = 1; ///< Counts the attempts of the call.
    bool bypassesRetryBudget = false; ///< The answer has begun or its upstream is reclaimed: no retry budget stops it.
    std::function<std::string(const std::string &upstream)> makeAttemptId;
};

/// The next attempt, or why there is none.
struct DispatchResult
{
    std::shared_ptr<Attempt> attempt;
    bool mustWait = false; ///< Ask again a little later.
    std::optional<RequestError> refusal;
};

/// Chooses the upstream of each attempt within quarantine and retry budgets, logs the choice, and learns from the end
/// of attempts.
class Dispatcher
{
public:
    Dispatcher(asio::io_context &loop, HttpClient &http, const EntrySettings &settings);

    /// Replaces the known upstreams; @p entryVms entry processes share them, this one included.
    void applyUpstreams(const std::vector<Upstream> &upstreams, int entryVms);

    DispatchResult next(const AttemptRequest &attemptRequest);

    /// An attempt at an upstream that the call knows from before, to take up its stream again.
    std::shared_ptr<Attempt>
    resume(const AttemptRequest &attemptRequest, const Upstream &upstream, const std::string &reason);

    /// Finds out whether an upstream died when a connection to it broke, and notes what that says of the request.
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
