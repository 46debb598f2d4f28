#include "dispatcher.h"

#include "logger.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

constexpr std::chrono::seconds retryLater{1};

/// Counts an attempt as running in the quarantine for as long as it lives.
class RunningMark
{
public:
    RunningMark(Quarantine &quarantine, std::string fingerprint, std::string upstream)
        : quarantine(quarantine)
        , fingerprint(std::move(fingerprint))
        , upstream(std::move(upstream))
    {
        this->quarantine.attemptStarted(this->fingerprint, this->upstream);
    }

    ~RunningMark()
    {
        this->quarantine.attemptEnded(this->fingerprint, this->upstream);
    }

    RunningMark(const RunningMark &) = delete;
    RunningMark &operator=(const RunningMark &) = delete;

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
    , probe(loop, http)
{
}

void Dispatcher::applyUpstreams(const std::vector<Upstream> &upstreams, int entryVms)
{
    this->entryVms = entryVms;
    const auto now = std::chrono::steady_clock::now();
    const UpstreamPool::Change change = this->pool.apply(upstreams, now);
    for (const Upstream &upstream : upstreams) {
        if (upstream.state == UpstreamState::Leaving)
            this->suspects.reclaimAnnounced(upstream.id, now);
    }
    for (const Upstream &upstream : change.removed) {
        this->router.removeUpstream(upstream.id);
        this->suspects.upstreamDied(upstream, now);
    }
}

AttemptGrant Dispatcher::next(const AttemptWish &wish)
{
    const auto now = std::chrono::steady_clock::now();
    std::set<std::string> excluded = wish.excluded;
    switch (this->suspects.permissionFor(wish.fingerprint, now)) {
    case Quarantine::Permission::Allowed:
        break;
    case Quarantine::Permission::Isolated:
        excluded.merge(this->suspects.isolatedUpstreams());
        break;
    case Quarantine::Permission::Wait:
        return {.mustWait = true};
    case Quarantine::Permission::Refused:
        return {.refusal = RequestError{Verdict::NotRun,
                                        422,
                                        "request-quarantined",
                                        "upstreams crashed each time that they ran this request",
                                        {}}};
    }
    RouteQuery query;
    query.requestId = wish.call.requestId;
    query.service = wish.call.service.id;
    query.prompt = wish.prompt;
    query.zone = this->zone;
    query.priority = wish.call.priority;
    query.entryVms = this->entryVms;
    RouteDecision decision = this->pool.choose(this->router, query, excluded, now, this->random);
    const auto upstream = this->pool.find(decision.upstream);
    if (!upstream) {
        this->log(wish, nullptr, std::move(decision));
        return {.refusal = RequestError{Verdict::NotRun, 503, "no-upstream", "no upstream takes requests", retryLater}};
    }
    if (wish.number == 1) {
        this->budget.recordRequest(wish.call.clientAccount, upstream->id, now);
    } else if (wish.mustGoOn) {
        this->budget.chargeReplay(wish.call.clientAccount, upstream->id, now);
    } else if (!this->budget.tryRetry(wish.call.clientAccount, upstream->id, now)) {
        decision.upstream.clear();
        decision.reason = "the retry budget of the client account or of " + upstream->id + " is used up";
        this->log(wish, nullptr, std::move(decision));
        return {.refusal = RequestError{
                    Verdict::NotRun, 503, "retry-budget-used-up", "too many requests had to be retried", retryLater}};
    }
    auto attempt = this->makeAttempt(wish, *upstream);
    this->log(wish, attempt, std::move(decision));
    return {.attempt = std::move(attempt)};
}

std::shared_ptr<Attempt>
Dispatcher::resume(const AttemptWish &wish, const Upstream &upstream, const std::string &reason)
{
    auto attempt = this->makeAttempt(wish, upstream);
    this->log(wish, attempt, {upstream.id, reason, {}});
    return attempt;
}

std::shared_ptr<Attempt> Dispatcher::makeAttempt(const AttemptWish &wish, const Upstream &upstream)
{
    auto attempt = std::make_shared<Attempt>(this->loop, this->http, this->pool, upstream, wish.makeId(upstream.id));
    attempt->keepUntilEnd(std::make_shared<RunningMark>(this->suspects, wish.fingerprint, upstream.id));
    return attempt;
}

void Dispatcher::log(const AttemptWish &wish, const std::shared_ptr<Attempt> &attempt, RouteDecision decision)
{
    this->recentDecisions.add({wish.call.requestId,
                               wish.call.clientAccount,
                               wish.call.service.id,
                               attempt ? attempt->id() : std::string(),
                               wish.number,
                               std::move(decision)});
}

void Dispatcher::examine(const std::string &fingerprint,
                         const Upstream &upstream,
                         std::function<void(bool hasDied)> done)
{
    this->probe.start(upstream, [this, fingerprint, upstream, done = std::move(done)](bool hasDied) {
        if (hasDied) {
            const auto now = std::chrono::steady_clock::now();
            this->suspects.requestCrashed(fingerprint, upstream, now);
            this->suspects.upstreamDied(upstream, now);
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
    return this->suspects;
}

const DecisionLog &Dispatcher::decisions() const
{
    return this->recentDecisions;
}

} // namespace hemlock
