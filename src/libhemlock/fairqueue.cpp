#include "fairqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

constexpr double minWeight = 1e-3;
// With more accounts than this, idle ones are forgotten at once. The virtual times of an idle account matter only while
// they are ahead of those of the queue.
constexpr std::size_t maxIdleAccounts = 256;

int clampPriority(int priority)
{
    return std::clamp(priority, 0, lowestPriority);
}

std::chrono::milliseconds toMilliseconds(double seconds)
{
    constexpr double maxSeconds = 3600.0;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(seconds, maxSeconds) * 1000.0));
}

} // namespace

bool FairQueue::Account::isEmpty() const
{
    return this->flows[0].requests.empty() && this->flows[1].requests.empty();
}

double FairQueue::Account::tokens() const
{
    return this->flows[0].tokens + this->flows[1].tokens;
}

int FairQueue::Account::nextFlow() const
{
    if (this->flows[0].requests.empty())
        return 1;
    if (this->flows[1].requests.empty())
        return 0;
    return this->flows[0].virtualStart <= this->flows[1].virtualStart ? 0 : 1;
}

FairQueue::FairQueue(FairQueueSettings settings)
    : settings(settings)
{
}

void FairQueue::setDrainRate(double tokensPerSecond)
{
    this->drainRate = tokensPerSecond;
}

std::vector<QueueRefusal> FairQueue::push(QueuedRequest request, TimePoint now)
{
    std::vector<QueueRefusal> refused;
    request.weight = std::max(request.weight, minWeight);
    request.cost = std::max(request.cost, 1.0);
    request.priority = clampPriority(request.priority);
    const auto wait = this->expectedWait(request.clientAccount, request.weight, request.cost, request.priority);
    if (request.latestStart != TimePoint::max() && now + wait > request.latestStart) {
        const auto overrun = std::chrono::duration_cast<std::chrono::milliseconds>(now + wait - request.latestStart);
        refused.push_back({std::move(request), "deadline", "the request cannot start before its deadline", overrun});
        return refused;
    }

    Account &account = this->accounts[request.clientAccount];
    const bool wasEmpty = account.isEmpty();
    Flow &flow = account.flows[this->flowIndex(request)];
    // An account that was idle resumes near the current virtual time: idle time earns no more than catchUpTokens.
    if (wasEmpty)
        account.virtualStart = std::max(account.virtualStart, this->virtualTime - this->settings.catchUpTokens);
    if (flow.requests.empty())
        flow.virtualStart = std::max(flow.virtualStart, account.flowVirtualTime);
    account.weight = request.weight;
    if (request.arrival == 0)
        request.arrival = ++this->arrivalCount;
    this->insert(std::move(request));

    while (this->locations.size() > this->settings.maxRequests
           || (this->totalTokens > this->settings.maxTokens && this->locations.size() > 1))
        refused.push_back(this->displace());
    return refused;
}

void FairQueue::insert(QueuedRequest request)
{
    const int flowIndex = this->flowIndex(request);
    Flow &flow = this->accounts[request.clientAccount].flows[flowIndex];
    const Position position{request.priority, request.arrival};
    this->locations[request.requestId] = {request.clientAccount, flowIndex, position};
    flow.tokens += request.cost;
    flow.tokensByPriority[static_cast<std::size_t>(request.priority)] += request.cost;
    this->totalTokens += request.cost;
    flow.requests.emplace(position, std::move(request));
}

int FairQueue::flowIndex(const QueuedRequest &request) const
{
    return request.cost >= this->settings.longRequestCost ? 1 : 0;
}

void FairQueue::putBack(QueuedRequest request)
{
    Account &account = this->accounts[request.clientAccount];
    Flow &flow = account.flows[this->flowIndex(request)];
    account.virtualStart -= request.cost / request.weight;
    flow.virtualStart -= request.cost;
    account.flowVirtualTime = std::min(account.flowVirtualTime, flow.virtualStart);
    this->virtualTime = std::min(this->virtualTime, request.virtualTimeBefore);
    const QueuedRequest ended = request;
    this->insert(std::move(request));
    this->finished(ended);
}

void FairQueue::finished(const QueuedRequest &request)
{
    const auto found = this->accounts.find(request.clientAccount);
    if (found == this->accounts.end())
        return;
    Account &account = found->second;
    account.requestsInService = std::max(0, account.requestsInService - 1);
    const double before = account.tokensInService;
    // Resets the sum of an account without requests, since floating-point errors accumulate.
    account.tokensInService = account.requestsInService == 0 ? 0.0 : std::max(0.0, before - request.cost);
    this->totalTokensInService = std::max(0.0, this->totalTokensInService - (before - account.tokensInService));
    this->dropEmptyAccount(request.clientAccount);
}

double FairQueue::reservedFraction(const Account &account, double totalActiveWeight) const
{
    if (this->totalTokensInService <= 0.0)
        return 0.0;
    const double overuse = account.tokensInService * totalActiveWeight / (this->totalTokensInService * account.weight);
    return this->settings.maxReservedFraction
        * std::clamp((overuse - 1.0) / (this->settings.fullReservationOveruse - 1.0), 0.0, 1.0);
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint now, std::vector<QueueRefusal> &refused, double freeFraction)
{
    while (!this->locations.empty()) {
        double weightSum = 0.0;
        for (const auto &[id, account] : this->accounts) {
            if (!account.isEmpty() || account.requestsInService > 0)
                weightSum += account.weight;
        }
        auto selected = this->accounts.end();
        for (auto candidate = this->accounts.begin(); candidate != this->accounts.end(); ++candidate) {
            const Account &account = candidate->second;
            if (account.isEmpty() || freeFraction < this->reservedFraction(account, weightSum))
                continue;
            if (selected == this->accounts.end() || account.virtualStart < selected->second.virtualStart)
                selected = candidate;
        }
        if (selected == this->accounts.end())
            return std::nullopt;
        Account &account = selected->second;
        const int flowIndex = account.nextFlow();
        Flow &flow = account.flows[flowIndex];
        const Location location{selected->first, flowIndex, flow.requests.begin()->first};
        QueuedRequest request = this->remove(location);
        if (now > request.latestStart) {
            refused.push_back({std::move(request), "deadline", "the request waited beyond its deadline"});
            this->dropEmptyAccount(location.account);
            continue;
        }
        request.virtualTimeBefore = this->virtualTime;
        this->virtualTime = std::max(this->virtualTime, account.virtualStart);
        account.virtualStart += request.cost / request.weight;
        account.flowVirtualTime = flow.virtualStart;
        flow.virtualStart += request.cost;
        account.tokensInService += request.cost;
        ++account.requestsInService;
        this->totalTokensInService += request.cost;
        return request;
    }
    return std::nullopt;
}

bool FairQueue::cancel(const std::string &requestId)
{
    const auto found = this->locations.find(requestId);
    if (found == this->locations.end())
        return false;
    const Location location = found->second;
    this->remove(location);
    this->dropEmptyAccount(location.account);
    return true;
}

std::chrono::milliseconds
FairQueue::expectedWait(const std::string &clientAccount, double weight, double cost, int priority) const
{
    if (this->drainRate <= 0.0 || this->locations.empty())
        return std::chrono::milliseconds(0);
    weight = std::max(weight, minWeight);
    const double othersWeight = this->activeWeightExcept(clientAccount);
    const auto found = this->accounts.find(clientAccount);
    if (found == this->accounts.end())
        return std::chrono::milliseconds(0);
    const int flowIndex = cost >= this->settings.longRequestCost ? 1 : 0;
    const Flow &flow = found->second.flows[flowIndex];
    const Flow &other = found->second.flows[1 - flowIndex];
    double tokensAhead = 0.0;
    for (int level = 0; level <= clampPriority(priority); ++level)
        tokensAhead += flow.tokensByPriority[static_cast<std::size_t>(level)];
    // The other flow takes half of the account's share while it has requests.
    const double rate = this->drainRate * weight / (weight + othersWeight);
    const double seconds = std::min(2.0 * tokensAhead / rate, (tokensAhead + other.tokens) / rate);
    // No request waits longer than it takes to drain the whole queue.
    return toMilliseconds(std::min(seconds, this->totalTokens / this->drainRate));
}

std::size_t FairQueue::size() const
{
    return this->locations.size();
}

double FairQueue::queuedTokens() const
{
    return this->totalTokens;
}

QueuedRequest FairQueue::remove(const Location &location)
{
    Flow &flow = this->accounts.at(location.account).flows[location.flow];
    const auto found = flow.requests.find(location.position);
    QueuedRequest request = std::move(found->second);
    flow.requests.erase(found);
    flow.tokens -= request.cost;
    flow.tokensByPriority[static_cast<std::size_t>(request.priority)] -= request.cost;
    this->totalTokens -= request.cost;
    // Resets the sums of an empty flow, since floating-point errors accumulate.
    if (flow.requests.empty()) {
        flow.tokens = 0.0;
        flow.tokensByPriority = {};
    }
    this->locations.erase(request.requestId);
    if (this->locations.empty())
        this->totalTokens = 0.0;
    return request;
}

QueueRefusal FairQueue::displace()
{
    const auto mostLoaded =
        std::max_element(this->accounts.begin(), this->accounts.end(), [](const auto &a, const auto &b) {
            return a.second.tokens() / a.second.weight < b.second.tokens() / b.second.weight;
        });
    const Account &account = mostLoaded->second;
    const int flowIndex = account.flows[0].tokens > account.flows[1].tokens ? 0 : 1;
    const Location location{mostLoaded->first, flowIndex, account.flows[flowIndex].requests.rbegin()->first};
    const auto retryAfter =
        this->drainRate > 0.0 ? toMilliseconds(this->totalTokens / this->drainRate) : std::chrono::milliseconds(1000);
    QueueRefusal refusal{this->remove(location), "queue-full", "the queue is full", retryAfter};
    this->dropEmptyAccount(location.account);
    return refusal;
}

void FairQueue::dropEmptyAccount(const std::string &id)
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end() || !found->second.isEmpty() || found->second.requestsInService > 0)
        return;
    if (found->second.virtualStart <= this->virtualTime - this->settings.catchUpTokens
        || this->accounts.size() > maxIdleAccounts)
        this->accounts.erase(found);
}

double FairQueue::activeWeightExcept(const std::string &excludedAccount) const
{
    double weight = 0.0;
    for (const auto &[id, account] : this->accounts) {
        if (id != excludedAccount && !account.isEmpty())
            weight += account.weight;
    }
    return weight;
}

} // namespace hemlock
