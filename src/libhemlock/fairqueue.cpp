#include "fairqueue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

constexpr double minimalWeight = 1e-3;
// Bounds how long an account that has been idle keeps its virtual times; they matter only while they lie ahead.
constexpr std::size_t keptIdleAccounts = 256;

int clampPriority(int priority)
{
    return std::clamp(priority, 0, lowestPriority);
}

std::chrono::milliseconds milliseconds(double seconds)
{
    constexpr double longest = 3600.0;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(seconds, longest) * 1000.0));
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
    return this->flows[0].start <= this->flows[1].start ? 0 : 1;
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
    request.weight = std::max(request.weight, minimalWeight);
    request.cost = std::max(request.cost, 1.0);
    request.priority = clampPriority(request.priority);
    const auto wait = this->expectedWait(request.clientAccount, request.weight, request.cost, request.priority);
    if (request.latestStart != TimePoint::max() && now + wait > request.latestStart) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now + wait - request.latestStart);
        refused.push_back({std::move(request), "deadline", "the request cannot start before its deadline", late});
        return refused;
    }

    Account &account = this->accounts[request.clientAccount];
    const bool wasEmpty = account.isEmpty();
    const int flowIndex = request.cost >= this->settings.longCost ? 1 : 0;
    Flow &flow = account.flows[flowIndex];
    // An account that was idle joins near the present virtual time: idle time earns no more than a small credit.
    if (wasEmpty)
        account.start = std::max(account.start, this->virtualTime - this->settings.catchUpTokens);
    if (flow.requests.empty())
        flow.start = std::max(flow.start, account.flowTime);
    account.weight = request.weight;
    if (request.arrival == 0)
        request.arrival = ++this->arrivals;
    const Position position{request.priority, request.arrival};
    this->places[request.requestId] = {request.clientAccount, flowIndex, position};
    flow.tokens += request.cost;
    flow.tokensByPriority[static_cast<std::size_t>(request.priority)] += request.cost;
    this->totalTokens += request.cost;
    flow.requests.emplace(position, std::move(request));

    while (this->places.size() > this->settings.maxRequests
           || (this->totalTokens > this->settings.maxTokens && this->places.size() > 1))
        refused.push_back(this->displace());
    return refused;
}

void FairQueue::finished(const QueuedRequest &request)
{
    const auto found = this->accounts.find(request.clientAccount);
    if (found == this->accounts.end())
        return;
    Account &account = found->second;
    account.requestsInService = std::max(0, account.requestsInService - 1);
    const double before = account.inService;
    // Sums of doubles drift; an account without requests starts again from zero.
    account.inService = account.requestsInService == 0 ? 0.0 : std::max(0.0, before - request.cost);
    this->totalInService = std::max(0.0, this->totalInService - (before - account.inService));
    this->dropEmptyAccount(request.clientAccount);
}

double FairQueue::reservedFrom(const Account &account, double activeWeights) const
{
    if (this->totalInService <= 0.0)
        return 0.0;
    const double overuse = account.inService * activeWeights / (this->totalInService * account.weight);
    return this->settings.reservedRoom
        * std::clamp((overuse - 1.0) / (this->settings.fullReserveOveruse - 1.0), 0.0, 1.0);
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint now, std::vector<QueueRefusal> &refused, double room)
{
    while (!this->places.empty()) {
        double weights = 0.0;
        for (const auto &[id, account] : this->accounts) {
            if (!account.isEmpty() || account.requestsInService > 0)
                weights += account.weight;
        }
        auto first = this->accounts.end();
        for (auto candidate = this->accounts.begin(); candidate != this->accounts.end(); ++candidate) {
            const Account &account = candidate->second;
            if (account.isEmpty() || room < this->reservedFrom(account, weights))
                continue;
            if (first == this->accounts.end() || account.start < first->second.start)
                first = candidate;
        }
        if (first == this->accounts.end())
            return std::nullopt;
        Account &account = first->second;
        const int flowIndex = account.nextFlow();
        Flow &flow = account.flows[flowIndex];
        const Place place{first->first, flowIndex, flow.requests.begin()->first};
        QueuedRequest request = this->remove(place);
        if (now > request.latestStart) {
            refused.push_back({std::move(request), "deadline", "the request waited beyond its deadline"});
            this->dropEmptyAccount(place.account);
            continue;
        }
        this->virtualTime = std::max(this->virtualTime, account.start);
        account.start += request.cost / request.weight;
        account.flowTime = flow.start;
        flow.start += request.cost;
        account.inService += request.cost;
        ++account.requestsInService;
        this->totalInService += request.cost;
        return request;
    }
    return std::nullopt;
}

bool FairQueue::cancel(const std::string &requestId)
{
    const auto found = this->places.find(requestId);
    if (found == this->places.end())
        return false;
    const Place place = found->second;
    this->remove(place);
    this->dropEmptyAccount(place.account);
    return true;
}

std::chrono::milliseconds
FairQueue::expectedWait(const std::string &clientAccount, double weight, double cost, int priority) const
{
    if (this->drainRate <= 0.0 || this->places.empty())
        return std::chrono::milliseconds(0);
    weight = std::max(weight, minimalWeight);
    const double othersWeight = this->activeWeight(clientAccount);
    const auto found = this->accounts.find(clientAccount);
    if (found == this->accounts.end())
        return std::chrono::milliseconds(0);
    const int flowIndex = cost >= this->settings.longCost ? 1 : 0;
    const Flow &flow = found->second.flows[flowIndex];
    const Flow &other = found->second.flows[1 - flowIndex];
    double ahead = 0.0;
    for (int urgent = 0; urgent <= clampPriority(priority); ++urgent)
        ahead += flow.tokensByPriority[static_cast<std::size_t>(urgent)];
    // The other flow takes half of the account's share as long as it lasts.
    const double rate = this->drainRate * weight / (weight + othersWeight);
    const double seconds = std::min(2.0 * ahead / rate, (ahead + other.tokens) / rate);
    // No request waits longer than the whole queue takes to drain.
    return milliseconds(std::min(seconds, this->totalTokens / this->drainRate));
}

std::size_t FairQueue::size() const
{
    return this->places.size();
}

double FairQueue::queuedTokens() const
{
    return this->totalTokens;
}

QueuedRequest FairQueue::remove(const Place &place)
{
    Flow &flow = this->accounts.at(place.account).flows[place.flow];
    const auto found = flow.requests.find(place.position);
    QueuedRequest request = std::move(found->second);
    flow.requests.erase(found);
    flow.tokens -= request.cost;
    flow.tokensByPriority[static_cast<std::size_t>(request.priority)] -= request.cost;
    this->totalTokens -= request.cost;
    // Sums of doubles drift; an empty flow starts again from zero.
    if (flow.requests.empty()) {
        flow.tokens = 0.0;
        flow.tokensByPriority = {};
    }
    this->places.erase(request.requestId);
    if (this->places.empty())
        this->totalTokens = 0.0;
    return request;
}

QueueRefusal FairQueue::displace()
{
    const auto heaviest =
        std::max_element(this->accounts.begin(), this->accounts.end(), [](const auto &a, const auto &b) {
            return a.second.tokens() / a.second.weight < b.second.tokens() / b.second.weight;
        });
    const Account &account = heaviest->second;
    const int flowIndex = account.flows[0].tokens > account.flows[1].tokens ? 0 : 1;
    const Place place{heaviest->first, flowIndex, account.flows[flowIndex].requests.rbegin()->first};
    const auto retryAfter =
        this->drainRate > 0.0 ? milliseconds(this->totalTokens / this->drainRate) : std::chrono::milliseconds(1000);
    QueueRefusal refusal{this->remove(place), "queue-full", "the queue is full", retryAfter};
    this->dropEmptyAccount(place.account);
    return refusal;
}

void FairQueue::dropEmptyAccount(const std::string &id)
{
    const auto found = this->accounts.find(id);
    if (found == this->accounts.end() || !found->second.isEmpty() || found->second.requestsInService > 0)
        return;
    if (found->second.start <= this->virtualTime - this->settings.catchUpTokens
        || this->accounts.size() > keptIdleAccounts)
        this->accounts.erase(found);
}

double FairQueue::activeWeight(const std::string &without) const
{
    double weight = 0.0;
    for (const auto &[id, account] : this->accounts) {
        if (id != without && !account.isEmpty())
            weight += account.weight;
    }
    return weight;
}

} // namespace hemlock
