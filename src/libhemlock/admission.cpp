#include "admission.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds drainRateInterval{1000};
/// Weight of the newest measurement in the exponential moving average of the drain rate.
constexpr double drainRateSmoothingFactor = 0.3;

/// Covers the time until a peer lends a part of its share or lent parts return. A request that needs to wait longer is
/// refused and left to the caller to retry.
constexpr std::chrono::milliseconds maxThrottleTime{5000};
constexpr std::size_t maxThrottledPerAccount = 200;

std::chrono::seconds roundUpToSeconds(std::chrono::milliseconds time)
{
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(time));
}

RequestError rateLimitedError(std::chrono::milliseconds wait)
{
    return {Verdict::NotRun,
            429,
            "rate-limited",
            "the client account has used up its tokens per second",
            roundUpToSeconds(wait)};
}

} // namespace

Admission::Admission(std::string entryVmId, FairQueueSettings settings)
    : settings(settings)
    , limiter(std::move(entryVmId))
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
        const auto servingUpstreams =
            std::count_if(snapshot.upstreams.begin(), snapshot.upstreams.end(), [&service](const Upstream &upstream) {
                return upstream.service == service.id && upstream.state == UpstreamState::Serving;
            });
        ServiceQueue &serviceQueue = this->serviceQueue(service.id);
        serviceQueue.limit.setLatencyTarget(service.latencyTarget.firstToken);
        serviceQueue.limit.setCapacity(static_cast<std::size_t>(servingUpstreams), members);
    }
    this->tick(now);
}

void Admission::submit(const AdmissionRequest &request, AdmissionHooks hooks, TimePoint now)
{
    PendingRequest newRequest{request, std::move(hooks)};
    // Requests of a throttled account queue behind each other, so that they start in order of arrival.
    if (this->throttledRequests.contains(request.clientAccount))
        return this->throttle(std::move(newRequest), std::chrono::milliseconds(0), now);
    const auto wait = this->limiter.take(request.clientAccount, request.tokens, now);
    if (wait > std::chrono::milliseconds(0))
        return this->throttle(std::move(newRequest), wait, now);
    this->enqueue(std::move(newRequest), now);
}

void Admission::throttle(PendingRequest pending, std::chrono::milliseconds wait, TimePoint now)
{
    const TimePoint expiry = std::min(pending.request.deadline, now + maxThrottleTime);
    std::deque<ThrottledRequest> &queue = this->throttledRequests[pending.request.clientAccount];
    if (now + wait > expiry || queue.size() >= maxThrottledPerAccount) {
        pending.hooks.refuse(rateLimitedError(std::max(wait, maxThrottleTime)));
        if (queue.empty())
            this->throttledRequests.erase(pending.request.clientAccount);
        return;
    }
    queue.push_back({std::move(pending), expiry});
}

void Admission::retryThrottled(TimePoint now)
{
    for (auto account = this->throttledRequests.begin(); account != this->throttledRequests.end();) {
        std::deque<ThrottledRequest> &queue = account->second;
        while (!queue.empty()) {
            const AdmissionRequest &request = queue.front().pending.request;
            const auto wait = this->limiter.take(request.clientAccount, request.tokens, now);
            const bool isAllowed = wait == std::chrono::milliseconds(0);
            if (!isAllowed && now < queue.front().expiry)
                break;
            ThrottledRequest next = std::move(queue.front());
            queue.pop_front();
            if (isAllowed)
                this->enqueue(std::move(next.pending), now);
            else
                next.pending.hooks.refuse(rateLimitedError(wait));
        }
        account = queue.empty() ? this->throttledRequests.erase(account) : std::next(account);
    }
}

bool Admission::cancelThrottled(const std::string &requestId)
{
    for (auto &[account, queue] : this->throttledRequests) {
        const auto found = std::find_if(queue.begin(), queue.end(), [&requestId](const ThrottledRequest &throttled) {
            return throttled.pending.request.requestId == requestId;
        });
        if (found == queue.end())
            continue;
        queue.erase(found);
        return true;
    }
    return false;
}

void Admission::enqueue(PendingRequest newRequest, TimePoint now)
{
    const AdmissionRequest request = newRequest.request;
    QueuedRequest queued;
    queued.requestId = request.requestId;
    queued.clientAccount = request.clientAccount;
    queued.weight = this->weight(request.clientAccount);
    queued.cost = request.tokens;
    queued.priority = request.priority;
    queued.latestStart = request.deadline;
    this->pendingRequests[request.requestId] = std::move(newRequest);
    ServiceQueue &serviceQueue = this->serviceQueue(request.service);
    this->refuse(serviceQueue.queue.push(std::move(queued), now));
    this->dispatch(serviceQueue, now);
}

void Admission::firstTokenArrived(const std::string &requestId, TimePoint now)
{
    const auto found = this->startedRequests.find(requestId);
    if (found == this->startedRequests.end())
        return;
    const StartedRequest &started = found->second;
    const auto timeToFirstToken = std::chrono::duration_cast<std::chrono::milliseconds>(now - started.dispatchTime);
    this->serviceQueue(started.service).limit.observe(timeToFirstToken, started.limitWasReached, now);
}

void Admission::finished(const std::string &requestId, double tokens, TimePoint now)
{
    const auto found = this->startedRequests.find(requestId);
    if (found == this->startedRequests.end())
        return;
    const StartedRequest started = found->second;
    this->startedRequests.erase(found);
    this->limiter.settle(started.request.clientAccount, tokens - started.request.cost, now);
    ServiceQueue &serviceQueue = this->serviceQueue(started.service);
    serviceQueue.queue.finished(started.request);
    --serviceQueue.inProgress;
    serviceQueue.finishedTokens += tokens;
    this->dispatch(serviceQueue, now);
}

void Admission::cancel(const std::string &requestId, TimePoint now)
{
    if (this->cancelThrottled(requestId))
        return;
    const auto found = this->pendingRequests.find(requestId);
    if (found == this->pendingRequests.end())
        return this->finished(requestId, 0.0, now);
    const AdmissionRequest request = found->second.request;
    this->pendingRequests.erase(found);
    this->serviceQueue(request.service).queue.cancel(requestId);
    this->limiter.settle(request.clientAccount, -request.tokens, now);
}

void Admission::tick(TimePoint now)
{
    this->retryThrottled(now);
    for (auto &[service, serviceQueue] : this->serviceQueues) {
        this->measureDrainRate(serviceQueue, now);
        this->dispatch(serviceQueue, now);
    }
}

std::size_t Admission::queued(const std::string &service) const
{
    const auto found = this->serviceQueues.find(service);
    return found == this->serviceQueues.end() ? 0 : found->second.queue.size();
}

std::size_t Admission::inProgress(const std::string &service) const
{
    const auto found = this->serviceQueues.find(service);
    return found == this->serviceQueues.end() ? 0 : found->second.inProgress;
}

RateLimiter &Admission::rateLimiter()
{
    return this->limiter;
}

Admission::ServiceQueue &Admission::serviceQueue(const std::string &service)
{
    return this->serviceQueues.try_emplace(service, LatencyTarget{}.firstToken, this->settings).first->second;
}

void Admission::dispatch(ServiceQueue &serviceQueue, TimePoint now)
{
    std::vector<QueueRefusal> refused;
    while (serviceQueue.inProgress < serviceQueue.limit.value()) {
        const double freeFraction =
            1.0 - static_cast<double>(serviceQueue.inProgress) / static_cast<double>(serviceQueue.limit.value());
        const auto next = serviceQueue.queue.pop(now, refused, freeFraction);
        if (!next)
            break;
        this->start(serviceQueue, *next, now);
    }
    this->refuse(refused);
}

void Admission::start(ServiceQueue &serviceQueue, const QueuedRequest &queued, TimePoint now)
{
    const auto found = this->pendingRequests.find(queued.requestId);
    if (found == this->pendingRequests.end())
        return serviceQueue.queue.finished(queued);
    const PendingRequest pending = std::move(found->second);
    this->pendingRequests.erase(found);
    ++serviceQueue.inProgress;
    const bool limitWasReached = serviceQueue.inProgress >= serviceQueue.limit.value();
    this->startedRequests[queued.requestId] = {pending.request.service, queued, now, limitWasReached};
    pending.hooks.start();
}

void Admission::refuse(const std::vector<QueueRefusal> &refusals)
{
    for (const QueueRefusal &refusal : refusals) {
        const auto found = this->pendingRequests.find(refusal.request.requestId);
        if (found == this->pendingRequests.end())
            continue;
        const PendingRequest pending = std::move(found->second);
        this->pendingRequests.erase(found);
        const auto retryAfter = roundUpToSeconds(refusal.retryAfter);
        pending.hooks.refuse({Verdict::NotRun, 503, refusal.code, refusal.message, retryAfter});
    }
}

void Admission::measureDrainRate(ServiceQueue &serviceQueue, TimePoint now)
{
    const auto elapsed = now - serviceQueue.lastMeasurement;
    if (elapsed < drainRateInterval)
        return;
    const double rate = serviceQueue.finishedTokens / std::chrono::duration<double>(elapsed).count();
    // Below the concurrency limit the throughput reflects the demand, not the capacity of the service.
    if (serviceQueue.inProgress >= serviceQueue.limit.value())
        serviceQueue.drainRate = serviceQueue.drainRate == 0.0
            ? rate
            : serviceQueue.drainRate + drainRateSmoothingFactor * (rate - serviceQueue.drainRate);
    serviceQueue.finishedTokens = 0.0;
    serviceQueue.lastMeasurement = now;
    serviceQueue.queue.setDrainRate(serviceQueue.drainRate);
}

double Admission::weight(const std::string &clientAccount) const
{
    const auto found = this->weights.find(clientAccount);
    return found == this->weights.end() ? 1.0 : found->second;
}

} // namespace hemlock
