#include "dispatcher.h"

#include "logger.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

constexpr std::chrono::seconds retryAfter{1};

/// Registers an attempt as running in the quarantine during the guard's lifetime.
class RunningAttemptGuard
{
public:
    RunningAttemptGuard(Quarantine &quarantine, std::string fingerprint, std::string upstream)
        : quarantine(quarantine)
        , fingerprint(std::move(fingerprint))
        , upstream(std::move(upstream))
    {
        this->quarantine.attemptStarted(this->fingerprint, this->upstream);
    }

    ~RunningAttemptGuard()
    {
        this->quarantine.attemptEnded(this->fingerprint, this->upstream);
    }

    RunningAttemptGuard(const RunningAttemptGuard &) = delete;
    RunningAttemptGuard &operator=(const RunningAttemptGuard &) = delete;

private:
    Quarantine &quarantine;
    std::string fingerprint;
    std::string upstream;
};

} // namespace

Dispatcher::Dispatcher(asio::io_context &loop, HttpClient &http, const EntrySettings &settings)
    : loop(loop)
    , http(http)
    , zone(settings.zone)
    , router(settings.policy)
    , random(std::random_device()())
    , crashProbe(loop, http)
{
}

void Dispatcher::applyUpstreams(const std::vector<Upstream> &upstreams, int entryVms)
{
    this->entryVms = entryVms;
    const auto now = std::chrono::steady_clock::now();
    const UpstreamPool::Change change = this->pool.apply(upstreams, now);
    for (const Upstream &upstream : upstreams) {
        if (upstream.state == UpstreamState::Leaving)
            this->requestQuarantine.reclaimAnnounced(upstream.id, now);
    }
    for (const Upstream &upstream : change.removed) {
        this->router.removeUpstream(upstream.id);
        this->requestQuarantine.upstreamDied(upstream, now);
    }
}

DispatchResult Dispatcher::next(const AttemptRequest &attemptRequest)
{
    const auto now = std::chrono::steady_clock::now();
    std::set<std::string> excluded = attemptRequest.excluded;
    switch (this->requestQuarantine.permissionFor(attemptRequest.fingerprint, now)) {
    case Quarantine::Permission::Allowed:
        break;
    case Quarantine::Permission::Isolated:
        excluded.merge(this->requestQuarantine.isolatedUpstreams());
        break;
    case Quarantine::Permission::Wait:
        return {.mustWait = true};
    case Quarantine::Permission::Refused:
    case Quarantine::Permission::Trial: // This process starts no trials.
        return {.refusal = RequestError{Verdict::NotRun,
                                        422,
                                        "request-quarantined",
                                        "upstreams crashed each time that they ran this request",
                                        {}}};
    }
    RouteQuery query;
    query.requestId = attemptRequest.call.requestId;
    query.service = attemptRequest.call.service.id;
    query.prompt = attemptRequest.prompt;
    query.zone = this->zone;
    query.priority = attemptRequest.call.priority;
    query.entryVms = this->entryVms;
    RouteDecision decision = this->pool.choose(this->router, query, excluded, now, this->random);
    const auto upstream = this->pool.find(decision.upstream);
    if (!upstream) {
        this->log(attemptRequest, nullptr, std::move(decision));
        return {.refusal = RequestError{Verdict::NotRun, 503, "no-upstream", "no upstream takes requests", retryAfter}};
    }
    if (attemptRequest.number == 1) {
        this->retryBudget.recordRequest(attemptRequest.call.clientAccount, upstream->id, now);
    } else if (attemptRequest.bypassesRetryBudget) {
        this->retryBudget.chargeReplay(attemptRequest.call.clientAccount, upstream->id, now);
    } else if (!this->retryBudget.tryRetry(attemptRequest.call.clientAccount, upstream->id, now)) {
        decision.upstream.clear();
        decision.reason = "the retry budget of the client account or of " + upstream->id + " is used up";
        this->log(attemptRequest, nullptr, std::move(decision));
        return {.refusal = RequestError{
                    Verdict::NotRun, 503, "retry-budget-used-up", "too many requests had to be retried", retryAfter}};
    }
    auto attempt = this->makeAttempt(attemptRequest, *upstream);
    this->log(attemptRequest, attempt, std::move(decision));
    return {.attempt = std::move(attempt)};
}

std::shared_ptr<Attempt>
Dispatcher::resume(const AttemptRequest &attemptRequest, const Upstream &upstream, const std::string &reason)
{
    auto attempt = this->makeAttempt(attemptRequest, upstream);
    this->log(attemptRequest, attempt, {upstream.id, reason, {}});
    return attempt;
}

std::shared_ptr<Attempt> Dispatcher::makeAttempt(const AttemptRequest &attemptRequest, const Upstream &upstream)
{
    auto attempt = std::make_shared<Attempt>(
        this->loop, this->http, this->pool, upstream, attemptRequest.makeAttemptId(upstream.id));
    attempt->keepUntilEnd(
        std::make_shared<RunningAttemptGuard>(this->requestQuarantine, attemptRequest.fingerprint, upstream.id));
    return attempt;
}

void Dispatcher::log(const AttemptRequest &attemptRequest,
                     const std::shared_ptr<Attempt> &attempt,
                     RouteDecision decision)
{
    this->recentDecisions.add({attemptRequest.call.requestId,
                               attemptRequest.call.clientAccount,
                               attemptRequest.call.service.id,
                               attempt ? attempt->id() : std::string(),
                               attemptRequest.number,
                               std::move(decision)});
}

void Dispatcher::probeForCrash(const std::string &fingerprint,
                               const Upstream &upstream,
                               std::function<void(bool hasDied)> done)
{
    this->crashProbe.start(upstream, [this, fingerprint, upstream, done = std::move(done)](bool hasDied) {
        if (hasDied) {
            const auto now = std::chrono::steady_clock::now();
            this->requestQuarantine.recordCrash(fingerprint, upstream, now);
            this->requestQuarantine.upstreamDied(upstream, now);
            this->router.removeUpstream(upstream.id);
            logEvent(LogLevel::Warning,
                     "upstream-died",
                     {{"upstream", upstream.id}, {"zone", upstream.zone.name}, {"fingerprint", fingerprint}});
        }
        done(hasDied);
    });
}

UpstreamPool &Dispatcher::upstreams()
{
    return this->pool;
}

Quarantine &Dispatcher::quarantine()
{
    return this->requestQuarantine;
}

const DecisionLog &Dispatcher::decisions() const
{
    return this->recentDecisions;
}

} // namespace hemlock
