#include "admission.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds drainRateInterval{1000};
/// Weight of the newest second in the smoothed drain rate.
constexpr double drainRateSmoothing = 0.3;

/// Bridges the time until a peer lends a part of the limit, or lent parts return; longer waits are the caller's.
constexpr std::chrono::milliseconds longestThrottle{5000};
constexpr std::size_t maxThrottledPerAccount = 200;

std::chrono::seconds roundUp(std::chrono::milliseconds time)
{
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(time));
}

RequestError rateLimited(std::chrono::milliseconds wait)
{
    return {
        Verdict::NotRun, 429, "rate-limited", "the client account has used up its tokens per second", roundUp(wait)};
}

} // namespace

Admission::Admission(std::string self, FairQueueSettings settings)
    : settings(settings)
    , limiter(std::move(self))
{
}

void Admission::applySnapshot(const Snapshot &snapshot, TimePoint now)
{
    const std::size_t members = snapshot.peers.size() + 1;
    this->limiter.setMembers(members, now);
    std::map<std::string, double> accounts;
    for (const ClientAccount &account : snapshot.clientAccounts) {
        accounts[account.id] = account.weight;
        this->limiter.setLimit(account.id, account.tokensPerSecond, now);
    }
    for (const auto &[id, weight] : this->weights) {
        if (!accounts.contains(id))
            this->limiter.setLimit(id, 0.0, now);
    }
    this->weights = std::move(accounts);
    for (const Service &service : snapshot.services) {
        const auto serving =
            std::count_if(snapshot.upstreams.begin(), snapshot.upstreams.end(), [&service](const Upstream &upstream) {
                return upstream.service == service.id && upstream.state == UpstreamState::Serving;
            });
        Lane &lane = this->lane(service.id);
        lane.limit.setLatencyTarget(service.latencyTarget.firstToken);
        lane.limit.setCapacity(static_cast<std::size_t>(serving), members);
    }
    this->tick(now);
}

void Admission::submit(const AdmissionRequest &request, AdmissionHooks hooks, TimePoint now)
{
    Waiting waiting{request, std::move(hooks)};
    // A request behind throttled ones of its account waits too, so that they start in order.
    if (this->throttled.contains(request.clientAccount))
        return this->throttle(std::move(waiting), std::chrono::milliseconds(0), now);
    const auto wait = this->limiter.take(request.clientAccount, request.tokens, now);
    if (wait > std::chrono::milliseconds(0))
        return this->throttle(std::move(waiting), wait, now);
    this->enqueue(std::move(waiting), now);
}

void Admission::throttle(Waiting request, std::chrono::milliseconds wait, TimePoint now)
{
    const TimePoint until = std::min(request.request.deadline, now + longestThrottle);
    std::deque<Throttled> &queue = this->throttled[request.request.clientAccount];
    if (now + wait > until || queue.size() >= maxThrottledPerAccount) {
        request.hooks.refuse(rateLimited(std::max(wait, longestThrottle)));
        if (queue.empty())
            this->throttled.erase(request.request.clientAccount);
        return;
    }
    queue.push_back({std::move(request), until});
}

void Admission::retryThrottled(TimePoint now)
{
    for (auto account = this->throttled.begin(); account != this->throttled.end();) {
        std::deque<Throttled> &queue = account->second;
        while (!queue.empty()) {
            const AdmissionRequest &request = queue.front().request.request;
            const auto wait = this->limiter.take(request.clientAccount, request.tokens, now);
            const bool passes = wait == std::chrono::milliseconds(0);
            if (!passes && now < queue.front().until)
                break;
            Throttled next = std::move(queue.front());
            queue.pop_front();
            if (passes)
                this->enqueue(std::move(next.request), now);
            else
                next.request.hooks.refuse(rateLimited(wait));
        }
        account = queue.empty() ? this->throttled.erase(account) : std::next(account);
    }
}

bool Admission::cancelThrottled(const std::string &requestId)
{
    for (auto &[account, queue] : this->throttled) {
        const auto found = std::find_if(queue.begin(), queue.end(), [&requestId](const Throttled &throttled) {
            return throttled.request.request.requestId == requestId;
        });
        if (found == queue.end())
            continue;
        queue.erase(found);
        return true;
    }
    return false;
}

void Admission::enqueue(Waiting waiting, TimePoint now)
{
    const AdmissionRequest request = waiting.request;
    QueuedRequest queued;
    queued.requestId = request.requestId;
    queued.clientAccount = request.clientAccount;
    queued.weight = this->weight(request.clientAccount);
    queued.cost = request.tokens;
    queued.priority = request.priority;
    queued.latestStart = request.deadline;
    this->waiting[request.requestId] = std::move(waiting);
    Lane &lane = this->lane(request.service);
    this->refuse(lane.queue.push(std::move(queued), now));
    this->dispatch(lane, now);
}

void Admission::firstTokenArrived(const std::string &requestId, TimePoint now)
{
    const auto found = this->started.find(requestId);
    if (found == this->started.end())
        return;
    const Started &request = found->second;
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.since);
    this->lane(request.service).limit.observe(latency, request.limitWasReached, now);
}

void Admission::finished(const std::string &requestId, double tokens, TimePoint now)
{
    const auto found = this->started.find(requestId);
    if (found == this->started.end())
        return;
    const Started request = found->second;
    this->started.erase(found);
    this->limiter.settle(request.request.clientAccount, tokens - request.request.cost, now);
    Lane &lane = this->lane(request.service);
    lane.queue.finished(request.request);
    --lane.inProgress;
    lane.finishedTokens += tokens;
    this->dispatch(lane, now);
}

void Admission::cancel(const std::string &requestId, TimePoint now)
{
    if (this->cancelThrottled(requestId))
        return;
    const auto found = this->waiting.find(requestId);
    if (found == this->waiting.end())
        return this->finished(requestId, 0.0, now);
    const AdmissionRequest request = found->second.request;
    this->waiting.erase(found);
    this->lane(request.service).queue.cancel(requestId);
    this->limiter.settle(request.clientAccount, -request.tokens, now);
}

void Admission::tick(TimePoint now)
{
    this->retryThrottled(now);
    for (auto &[service, lane] : this->lanes) {
        this->measureDrainRate(lane, now);
        this->dispatch(lane, now);
    }
}

std::size_t Admission::queued(const std::string &service) const
{
    const auto found = this->lanes.find(service);
    return found == this->lanes.end() ? 0 : found->second.queue.size();
}

std::size_t Admission::inProgress(const std::string &service) const
{
    const auto found = this->lanes.find(service);
    return found == this->lanes.end() ? 0 : found->second.inProgress;
}

RateLimiter &Admission::rateLimiter()
{
    return this->limiter;
}

Admission::Lane &Admission::lane(const std::string &service)
{
    return this->lanes.try_emplace(service, LatencyTarget{}.firstToken, this->settings).first->second;
}

void Admission::dispatch(Lane &lane, TimePoint now)
{
    std::vector<QueueRefusal> refused;
    while (lane.inProgress < lane.limit.value()) {
        const double room = 1.0 - static_cast<double>(lane.inProgress) / static_cast<double>(lane.limit.value());
        const auto next = lane.queue.pop(now, refused, room);
        if (!next)
            break;
        this->start(lane, *next, now);
    }
    this->refuse(refused);
}

void Admission::start(Lane &lane, const QueuedRequest &queued, TimePoint now)
{
    const auto found = this->waiting.find(queued.requestId);
    if (found == this->waiting.end())
        return lane.queue.finished(queued);
    const Waiting request = std::move(found->second);
    this->waiting.erase(found);
    ++lane.inProgress;
    const bool limitWasReached = lane.inProgress >= lane.limit.value();
    this->started[queued.requestId] = {request.request.service, queued, now, limitWasReached};
    request.hooks.start();
}

void Admission::refuse(const std::vector<QueueRefusal> &refusals)
{
    for (const QueueRefusal &refusal : refusals) {
        const auto found = this->waiting.find(refusal.request.requestId);
        if (found == this->waiting.end())
            continue;
        const Waiting request = std::move(found->second);
        this->waiting.erase(found);
        const auto retryAfter = roundUp(refusal.retryAfter);
        request.hooks.refuse({Verdict::NotRun, 503, refusal.code, refusal.message, retryAfter});
    }
}

void Admission::measureDrainRate(Lane &lane, TimePoint now)
{
    const auto elapsed = now - lane.measured;
    if (elapsed < drainRateInterval)
        return;
    const double rate = lane.finishedTokens / std::chrono::duration<double>(elapsed).count();
    // An idle or starting service says nothing about how fast it would work.
    if (lane.inProgress >= lane.limit.value())
        lane.drainRate = lane.drainRate == 0.0 ? rate : lane.drainRate + drainRateSmoothing * (rate - lane.drainRate);
    lane.finishedTokens = 0.0;
    lane.measured = now;
    lane.queue.setDrainRate(lane.drainRate);
}

double Admission::weight(const std::string &clientAccount) const
{
    const auto found = this->weights.find(clientAccount);
    return found == this->weights.end() ? 1.0 : found->second;
}

} // namespace hemlock
