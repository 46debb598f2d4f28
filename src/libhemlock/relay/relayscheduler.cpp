#include "relay/relayscheduler.h"

#include "admission/backfillscan.h"
#include "admission/usableupstreams.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

// For calls without a prompt, this policy weighs the availability zone, load, failures and excess delay only.
constexpr auto policyName = "part-affinity";

// Tolerated time to the first byte on top of the expected delay; only time beyond it counts as excess delay.
constexpr std::chrono::milliseconds baselineDelay{30};

constexpr double tokensPerMs = 50.0;

} // namespace

RelayScheduler::RelayScheduler(AvailabilityZone zone, RandomEngine random, RelaySchedulerSettings settings)
    : zone(std::move(zone))
    , random(random)
    , settings(settings)
    , modelRouter(policyName)
    , plainRouter(policyName)
{
}

void RelayScheduler::applyUpstreams(const std::vector<Upstream> &listed, TimePoint now)
{
    std::vector<Upstream> upstreams = listed;
    for (Upstream &upstream : upstreams) {
        if (upstream.state != UpstreamState::Gone && this->upstreamNotices.isLeaving(upstream))
            upstream.state = UpstreamState::Leaving;
    }
    this->upstreamNotices.prune(upstreams, now);
    std::unordered_map<std::string, std::string> knownIncarnations;
    for (const auto &[id, upstream] : this->pool.all())
        knownIncarnations[id] = upstream.incarnation;
    for (const Upstream &removedUpstream : this->pool.apply(upstreams, now).removed) {
        this->modelRouter.removeUpstream(removedUpstream.id);
        this->upstreamNotices.remove(removedUpstream.id);
    }
    for (const Upstream &upstream : upstreams) {
        const auto known = knownIncarnations.find(upstream.id);
        if (known != knownIncarnations.end() && known->second != upstream.incarnation) {
            this->modelRouter.removeUpstream(upstream.id);
            this->upstreamNotices.remove(upstream.id);
        }
    }
    this->tick(now);
}

void RelayScheduler::setModelServices(std::set<std::string> services)
{
    this->modelServices = std::move(services);
}

void RelayScheduler::submit(RelayTicket ticket, RelayTicketHooks hooks, TimePoint now)
{
    const std::string id = ticket.id;
    const std::string service = ticket.service;
    QueuedRequest queued;
    queued.requestId = id;
    queued.clientAccount = ticket.clientAccount;
    queued.cost = std::max(1.0, requestCost(ticket.promptTokens, ticket.answerTokens));
    queued.latestStart = ticket.latestStart;
    queued.arrival = this->requestAdmission.queueOrder(ticket.excluded.empty() ? ticket.latestStart : now);
    FairQueue &queue = this->queues[service].try_emplace(ticket.rank).first->second;
    MinimumShares &shares = this->requestAdmission.shares(service);
    shares.arrived(ticket.rank, ticket.promptTokens, now);
    const bool isTooLate = this->forecast(ticket, false, now).isTooLate;
    this->waitingById[id] = {std::move(ticket), std::move(hooks)};
    if (isTooLate)
        shares.contended(now);
    if (isTooLate && !shares.isShortOfShare(queued.clientAccount, now))
        return this->refuse(id, "no-room", "no upstream is expected to start the request in time", now);
    for (const QueueRefusal &refusal : queue.push(queued, now))
        this->refuse(refusal.request.requestId, refusal.code, refusal.message, now);
    this->dispatch(service, now);
}

void RelayScheduler::cancel(const std::string &id, TimePoint now)
{
    if (const auto waiting = this->waitingById.find(id); waiting != this->waitingById.end()) {
        this->queues[waiting->second.ticket.service][waiting->second.ticket.rank].cancel(id);
        this->waitingById.erase(waiting);
        return;
    }
    this->requestEnded(id, false, now);
}

void RelayScheduler::answerBegan(const std::string &id, TimePoint now)
{
    const auto found = this->startedById.find(id);
    if (found == this->startedById.end() || found->second.hasAnswerBegun)
        return;
    StartedRequest &started = found->second;
    started.hasAnswerBegun = true;
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(now - started.startTime);
    const auto excess = std::max(std::chrono::milliseconds(0), delay - started.expectedDelay - baselineDelay);
    this->pool.outcomeObserved(started.upstream, false, excess);
    this->pool.addPendingTokens(started.upstream, -std::exchange(started.pendingTokens, 0.0));
    this->requestAdmission.firstTokenArrived(started.service, now);
    this->dispatch(started.service, now);
}

void RelayScheduler::requestEnded(const std::string &id, bool failed, TimePoint now)
{
    const auto found = this->startedById.find(id);
    if (found == this->startedById.end())
        return;
    const StartedRequest started = std::move(found->second);
    this->startedById.erase(found);
    this->pool.addPendingTokens(started.upstream, -started.pendingTokens);
    this->pool.attemptEnded(started.upstream);
    if (failed)
        this->pool.outcomeObserved(started.upstream, true, {});
    this->queues[started.service][started.rank].finished(started.queued);
    this->dispatch(started.service, now);
}

void RelayScheduler::upstreamFailed(const std::string &upstream, TimePoint now)
{
    this->pool.attemptFailed(upstream, now);
    this->modelRouter.removeUpstream(upstream);
}

void RelayScheduler::tick(TimePoint now)
{
    this->refuseExhausted(now);
    for (const auto &[service, ranks] : this->queues)
        this->dispatch(service, now);
    std::vector<std::string> expired;
    std::vector<std::string> hopeless;
    for (const auto &[id, waiting] : this->waitingById) {
        if (now >= waiting.ticket.latestStart)
            expired.push_back(id);
        else if (this->forecast(waiting.ticket, true, now).isTooLate)
            hopeless.push_back(id);
    }
    this->refuseQueued(hopeless, "given-up", "no upstream is expected to start the request in time any more", now);
    this->refuseQueued(expired, "overload", "no upstream can start the request in time", now);
}

void RelayScheduler::refuseExhausted(TimePoint now)
{
    std::vector<std::string> exhausted;
    for (const auto &[id, waiting] : this->waitingById) {
        const RelayTicket &ticket = waiting.ticket;
        if (!ticket.excluded.empty() && !this->pool.hasUsable(ticket.service, ticket.excluded))
            exhausted.push_back(id);
    }
    this->refuseQueued(exhausted, "no-upstream", "no upstream is left that was not tried", now);
}

void RelayScheduler::refuseQueued(const std::vector<std::string> &ids,
                                  const std::string &code,
                                  const std::string &message,
                                  TimePoint now)
{
    for (const std::string &id : ids) {
        const auto waiting = this->waitingById.find(id);
        if (waiting == this->waitingById.end())
            continue;
        const RelayTicket &ticket = waiting->second.ticket;
        this->queues[ticket.service][ticket.rank].cancel(id);
        this->refuse(id, code, message, now);
    }
}

UpstreamPool &RelayScheduler::upstreams()
{
    return this->pool;
}

RequestAdmission &RelayScheduler::admission()
{
    return this->requestAdmission;
}

UpstreamNotices &RelayScheduler::notices()
{
    return this->upstreamNotices;
}

void RelayScheduler::recordNotice(const Upstream &upstream, const UpstreamNotice &notice, TimePoint now)
{
    if (this->upstreamNotices.record(upstream, notice, now))
        this->applyDepartures(now);
}

void RelayScheduler::applyPeerNotices(const nlohmann::json &message, UpstreamNotices::Source source, TimePoint now)
{
    if (this->upstreamNotices.apply(message, source, now))
        this->applyDepartures(now);
}

void RelayScheduler::applyDepartures(TimePoint now)
{
    std::vector<Upstream> known;
    for (const auto &[id, upstream] : this->pool.all())
        known.push_back(upstream);
    this->applyUpstreams(known, now);
}

std::optional<std::chrono::seconds>
RelayScheduler::pauseLeft(const std::string &service, const std::set<std::string> &excluded, TimePoint now) const
{
    const auto pauseEnd = [this, now](const std::string &id) { return this->upstreamNotices.pauseEnd(id, now); };
    return pauseLeftOf(this->pool.all(), service, excluded, pauseEnd, now);
}

std::size_t RelayScheduler::waitingCount(const std::string &service) const
{
    const auto ranks = this->queues.find(service);
    return ranks == this->queues.end() ? 0 : queuedRequests(ranks->second);
}

std::vector<CachedParts> RelayScheduler::takeCachedParts()
{
    return std::exchange(this->cachedParts, {});
}

void RelayScheduler::addPeerCachedParts(const CachedParts &cached)
{
    if (this->pool.find(cached.upstream))
        this->modelRouter.notePartsCached(cached.upstream, cached.parts);
}

const std::map<std::string, double> &RelayScheduler::demandedTokens() const
{
    return this->demand.tokens();
}

std::map<std::string, double> RelayScheduler::pendingTokens() const
{
    std::map<std::string, double> tokens;
    for (const auto &[id, started] : this->startedById)
        tokens[started.upstream] += started.pendingTokens;
    return tokens;
}

std::set<std::string> RelayScheduler::fullUpstreams(const RelayTicket &ticket, TimePoint now)
{
    MinimumShares &shares = this->requestAdmission.shares(ticket.service);
    UpstreamLimits limits{this->modelServices.contains(ticket.service), this->settings.slotOvercommit};
    limits.maxPendingTokens = this->settings.maxPendingTokens;
    limits.reservedUpstream = this->reservedUpstream;
    // A reserved upstream already keeps room for the more urgent request that waits.
    if (limits.reservedUpstream.empty())
        limits.maxPendingTokens = shares.pendingLimit(ticket.rank, limits.maxPendingTokens, now);
    ArrivalQuery query;
    query.tokens = ticket.promptTokens * this->demand.uncachedShare(ticket.service);
    query.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.latestStart - now);
    if (limits.isModel && ticket.excluded.empty() && shares.isContended(now))
        limits.isTimely = [&](const UpstreamView &view) { return this->requestAdmission.isTimely(query, view); };
    return hemlock::fullUpstreams(this->pool.healthy(ticket.service, now), ticket.promptTokens, limits);
}

bool RelayScheduler::tryStart(WaitingRequest &waiting, const QueuedRequest &queued, TimePoint now)
{
    const RelayTicket &ticket = waiting.ticket;
    std::set<std::string> excluded = this->fullUpstreams(ticket, now);
    excluded.insert(ticket.excluded.begin(), ticket.excluded.end());
    // Also those that failed recently, which are chosen when no healthy one is left.
    excluded.merge(this->upstreamNotices.unavailable(now));
    if (ticket.isTrial)
        excludeLoaded(this->pool.healthy(ticket.service, now), excluded);
    const bool isModel = this->modelServices.contains(ticket.service);
    RouteQuery query;
    query.requestId = ticket.id;
    query.service = ticket.service;
    query.zone = this->zone;
    query.parts = ticket.parts;
    const RouteDecision decision =
        this->pool.choose(isModel ? this->modelRouter : this->plainRouter, query, excluded, now, this->random);
    const auto upstream = this->pool.find(decision.upstream);
    if (decision.upstream.empty() || !upstream)
        return false;
    StartedRequest started;
    started.service = ticket.service;
    started.upstream = upstream->id;
    started.queued = queued;
    started.rank = ticket.rank;
    started.startTime = now;
    started.pendingTokens = isModel ? (ticket.parts.empty() ? ticket.promptTokens : decision.tokensToCompute) : 0.0;
    if (const auto view = this->pool.viewOf(upstream->id); view && isModel)
        started.expectedDelay =
            std::chrono::milliseconds(std::llround((view->pendingTokens + started.pendingTokens) / tokensPerMs));
    if (!ticket.parts.empty()) {
        // Noted before the parts are computed: later requests at this upstream run after this one and find them cached.
        this->modelRouter.notePartsCached(upstream->id, ticket.parts);
        this->cachedParts.push_back({upstream->id, ticket.parts});
    }
    this->pool.attemptStarted(upstream->id);
    this->upstreamNotices.requestStarted(upstream->id, now);
    this->demand.started(ticket.service, started.pendingTokens, isModel ? ticket.promptTokens : 0.0);
    this->pool.addPendingTokens(upstream->id, started.pendingTokens);
    this->startedById[ticket.id] = std::move(started);
    const auto start = std::move(waiting.hooks.start);
    this->waitingById.erase(ticket.id);
    start(*upstream, decision);
    return true;
}

void RelayScheduler::dispatch(const std::string &service, TimePoint now)
{
    BackfillScan scan(this->settings.admission.startsPastBlocked);
    std::vector<QueueRefusal> refused;
    std::vector<std::pair<FairQueue *, QueuedRequest>> unplaced;
    Ranks &ranks = this->queues[service];
    MinimumShares &shares = this->requestAdmission.shares(service);
    const auto nextRank = [&] { return scan.isFinished() ? std::nullopt : shares.nextRank(waitingRanks(ranks)); };
    while (const auto rank = nextRank()) {
        FairQueue &queue = ranks.at(*rank);
        if (auto queued = queue.pop(now, refused)) {
            const auto waiting = this->waitingById.find(queued->requestId);
            if (waiting == this->waitingById.end()) {
                queue.finished(*queued);
                continue;
            }
            const RelayTicket &ticket = waiting->second.ticket;
            const BackfillScan::Need need{ticket.promptTokens, ticket.excluded, ticket.isTrial};
            this->reservedUpstream = scan.reservedUpstream();
            if (scan.mayFit(need) && this->tryStart(waiting->second, *queued, now)) {
                shares.started(queued->clientAccount, *rank, queued->cost, waitingRanks(ranks), now);
                this->requestAdmission.queuedStarted(service, now);
                continue;
            }
            if (this->pauseLeft(service, need.excluded, now)) {
                queue.finished(*queued);
                refused.push_back({*queued, "upstreams-paused", "no upstream takes requests for now"});
                continue;
            }
            scan.addBlocked(need, this->pool.healthy(service, now), this->upstreamNotices.unavailable(now));
            unplaced.emplace_back(&queue, *std::move(queued));
        }
    }
    this->reservedUpstream.clear();
    std::for_each(
        unplaced.rbegin(), unplaced.rend(), [](auto &entry) { entry.first->putBack(std::move(entry.second)); });
    for (const QueueRefusal &refusal : refused)
        this->refuse(refusal.request.requestId, refusal.code, refusal.message, now);
    this->requestAdmission.setWaiting(service, this->waitingCount(service) > 0, now);
}

ArrivalForecast RelayScheduler::forecast(const RelayTicket &ticket, bool isQueued, TimePoint now)
{
    ArrivalQuery query;
    query.isModel = this->modelServices.contains(ticket.service);
    query.tokens = ticket.promptTokens * this->demand.uncachedShare(ticket.service);
    query.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.latestStart - now);
    query.startsPerSecond = this->requestAdmission.roomPerSecond(ticket.service, now);
    query.slotOvercommit = this->settings.slotOvercommit;
    // Retries wait until the deadline of their caller, and a trial is granted for a request that is refused otherwise.
    query.mayBeRefused = ticket.excluded.empty() && !ticket.isTrial && (query.isModel || !isQueued);
    for (const auto &[id, waiting] : this->waitingById) {
        // A request that is queued is judged as if it were the next one, since its place may still improve.
        if (isQueued || waiting.ticket.service != ticket.service || waiting.ticket.rank > ticket.rank)
            continue;
        ++query.waitingAhead;
        query.tokensAhead += waiting.ticket.promptTokens;
    }
    const auto unavailable = this->upstreamNotices.unavailable(now);
    const auto views = usableViews(this->pool.healthy(ticket.service, now), ticket.excluded, unavailable);
    return this->requestAdmission.forecast(query, views);
}

void RelayScheduler::refuse(const std::string &id, const std::string &code, const std::string &message, TimePoint now)
{
    const auto found = this->waitingById.find(id);
    if (found == this->waitingById.end())
        return;
    const WaitingRequest waiting = std::move(found->second);
    this->waitingById.erase(found);
    const RelayTicket &ticket = waiting.ticket;
    if (this->modelServices.contains(ticket.service))
        this->demand.refused(ticket.service, ticket.promptTokens);
    AdmissionRefusal refusal{ticket.service, ticket.clientAccount, code, message};
    refusal.forecast = this->forecast(ticket, false, now);
    refusal.pauseLeft = this->pauseLeft(ticket.service, ticket.excluded, now);
    if (ticket.deadline)
        refusal.deadlineLeft = std::chrono::duration_cast<std::chrono::milliseconds>(*ticket.deadline - now);
    waiting.hooks.refuse(this->requestAdmission.refuse(refusal, this->random));
}

} // namespace hemlock
