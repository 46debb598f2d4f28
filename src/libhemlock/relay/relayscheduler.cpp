#include "relay/relayscheduler.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

// For calls without a prompt, this policy weighs the availability zone, load, failures and excess delay only.
constexpr auto policyName = "part-affinity";

// Tolerated time to the first byte on top of the expected delay; only time beyond it counts as excess delay.
constexpr std::chrono::milliseconds baselineDelay{30};
constexpr double tokensPerMs = 50.0;

// Weight of a new sample; averages over about the last 50 prompts.
constexpr double uncachedShareSmoothing = 0.02;

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
    const int rank = ticket.rank;
    this->waitingById[id] = {std::move(ticket), std::move(hooks)};
    FairQueue &queue = this->queues[service].try_emplace(rank).first->second;
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
    for (const auto &[id, waiting] : this->waitingById) {
        if (now >= waiting.ticket.latestStart)
            expired.push_back(id);
    }
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
    TimePoint first = TimePoint::max();
    bool isAnyPaused = false;
    for (const auto &[id, upstream] : this->pool.all()) {
        const bool isUsable = upstream.state == UpstreamState::Serving || upstream.state == UpstreamState::Suspected;
        if (upstream.service != service || !isUsable)
            continue;
        const auto end = this->upstreamNotices.pauseEnd(id, now);
        if (!end && !excluded.contains(id))
            return std::nullopt;
        isAnyPaused = isAnyPaused || end;
        first = std::min(first, end.value_or(now));
    }
    if (!isAnyPaused)
        return std::nullopt;
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(first - now));
}

std::size_t RelayScheduler::waitingCount(const std::string &service) const
{
    const auto ranks = this->queues.find(service);
    if (ranks == this->queues.end())
        return 0;
    std::size_t sum = 0;
    for (const auto &[rank, queue] : ranks->second)
        sum += queue.size();
    return sum;
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
    return this->demandedByService;
}

std::map<std::string, double> RelayScheduler::pendingTokens() const
{
    std::map<std::string, double> tokens;
    for (const auto &[id, started] : this->startedById)
        tokens[started.upstream] += started.pendingTokens;
    return tokens;
}

bool RelayScheduler::isFull(const UpstreamView &view, const RelayTicket &ticket) const
{
    if (!this->modelServices.contains(ticket.service))
        return view.slots > 0 && view.load() >= view.slots * this->settings.slotOvercommit;
    if (view.slots > 0 && view.load() >= view.slots)
        return true;
    return view.pendingTokens > 0.0 && view.pendingTokens + ticket.promptTokens > this->settings.maxPendingTokens;
}

std::set<std::string> RelayScheduler::fullUpstreams(const RelayTicket &ticket, TimePoint now)
{
    std::set<std::string> full;
    const CandidateSet &candidates = this->pool.healthy(ticket.service, now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (this->isFull(candidates.at(i), ticket))
            full.insert(candidates.at(i).id);
    }
    return full;
}

void RelayScheduler::excludeLoaded(const std::string &service, std::set<std::string> &excluded, TimePoint now)
{
    const CandidateSet &candidates = this->pool.healthy(service, now);
    const UpstreamView *idlest = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamView &view = candidates.at(i);
        if (!excluded.contains(view.id) && (!idlest || view.load() < idlest->load()))
            idlest = &view;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (&candidates.at(i) != idlest)
            excluded.insert(candidates.at(i).id);
    }
}

bool RelayScheduler::tryStart(WaitingRequest &waiting, const QueuedRequest &queued, TimePoint now)
{
    const RelayTicket &ticket = waiting.ticket;
    std::set<std::string> excluded = this->fullUpstreams(ticket, now);
    excluded.insert(ticket.excluded.begin(), ticket.excluded.end());
    // Also those that failed recently, which are chosen when no healthy one is left.
    excluded.merge(this->upstreamNotices.unavailable(now));
    this->excludeMore(ticket, excluded, now);
    if (ticket.isTrial)
        this->excludeLoaded(ticket.service, excluded, now);
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
    this->demandedByService[ticket.service] += started.pendingTokens;
    if (isModel && ticket.promptTokens > 0.0) {
        double &share = this->uncachedShareByService.try_emplace(ticket.service, 1.0).first->second;
        share += (started.pendingTokens / ticket.promptTokens - share) * uncachedShareSmoothing;
    }
    this->pool.addPendingTokens(upstream->id, started.pendingTokens);
    this->startedById[ticket.id] = std::move(started);
    const auto start = std::move(waiting.hooks.start);
    this->waitingById.erase(ticket.id);
    start(*upstream, decision);
    return true;
}

void RelayScheduler::dispatch(const std::string &service, TimePoint now)
{
    for (auto &[rank, queue] : this->queues[service]) {
        std::vector<QueueRefusal> refused;
        std::vector<QueuedRequest> unplaced;
        while (auto queued = queue.pop(now, refused)) {
            const auto waiting = this->waitingById.find(queued->requestId);
            if (waiting == this->waitingById.end()) {
                queue.finished(*queued);
                continue;
            }
            if (!this->tryStart(waiting->second, *queued, now)) {
                queue.finished(*queued);
                if (this->pauseLeft(service, waiting->second.ticket.excluded, now)) {
                    refused.push_back({*queued, "upstreams-paused", "no upstream takes requests for now"});
                    continue;
                }
                unplaced.push_back(*std::move(queued));
                break;
            }
        }
        for (QueuedRequest &queued : unplaced)
            queue.push(std::move(queued), now);
        for (const QueueRefusal &refusal : refused)
            this->refuse(refusal.request.requestId, refusal.code, refusal.message, now);
        // A less urgent request must not take the upstream that a more urgent one waits for.
        if (!unplaced.empty())
            return;
    }
}

void RelayScheduler::refuse(const std::string &id, const std::string &code, const std::string &message, TimePoint now)
{
    const auto found = this->waitingById.find(id);
    if (found == this->waitingById.end())
        return;
    const WaitingRequest waiting = std::move(found->second);
    this->waitingById.erase(found);
    if (this->modelServices.contains(waiting.ticket.service))
        this->demandedByService[waiting.ticket.service] += waiting.ticket.promptTokens
            * this->uncachedShareByService.try_emplace(waiting.ticket.service, 1.0).first->second;
    RequestError error;
    error.verdict = Verdict::NotRun;
    error.status = 503;
    error.code = code;
    error.message = message;
    error.retryAfter = this->pauseLeft(waiting.ticket.service, waiting.ticket.excluded, now)
                           .value_or(this->retryAfter(waiting.ticket.service));
    waiting.hooks.refuse(error);
}

std::chrono::seconds RelayScheduler::retryAfter(const std::string &service) const
{
    // A short queue drains within about one second; every 20 waiting requests add a second.
    constexpr std::size_t startedPerSecond = 20;
    return std::chrono::seconds(1 + this->waitingCount(service) / startedPerSecond);
}

} // namespace hemlock
