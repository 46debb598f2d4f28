#include "entrymodel.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr double millisecondsPerSecond = 1000.0;

} // namespace

double ModelRequest::cost() const
{
    return requestCost(this->promptTokens, this->traffic.answerTokens);
}

EntryModel::EntryModel(EventLoop &loop,
                       const Scenario &scenario,
                       const PolicyConfig &policy,
                       int entryIndex,
                       std::uint64_t seed,
                       SendHook send)
    : router(policy.routing)
    , limiter("entry-" + std::to_string(entryIndex))
    , zone{scenario.zones[static_cast<std::size_t>(entryIndex) % scenario.zones.size()]}
    , loop(loop)
    , scenario(scenario)
    , policy(policy)
    , send(std::move(send))
    , random(seed * 100 + static_cast<std::uint64_t>(entryIndex))
{
    for (const TrafficSource &source : scenario.traffic)
        this->limiter.setLimit(source.clientAccount, scenario.limitTokensPerS, loop.now());
    this->limiter.setMembers(static_cast<std::size_t>(scenario.entryVms), loop.now());
}

void EntryModel::receiveRequest(ModelRequest &request)
{
    const TrafficSource &source = this->scenario.traffic[request.traffic.sourceIndex];
    if (this->limiter.take(source.clientAccount, request.cost(), this->loop.now()).count() > 0) {
        request.isRefused = true;
        return;
    }
    if (this->policy.queue == "fifo") {
        this->fifoQueue.push_back(&request);
        this->dispatchQueued();
        return;
    }
    QueuedRequest entry = this->queueEntry(request);
    const double slackMs = std::max(0.0, this->scenario.firstTokenMs - this->firstTokenWaitMs);
    entry.latestStart = this->loop.now() + fromSeconds(slackMs / millisecondsPerSecond);
    this->queuedById[entry.requestId] = &request;
    this->refuse(this->queue.push(std::move(entry), this->loop.now()));
    this->dispatchQueued();
}

QueuedRequest EntryModel::queueEntry(const ModelRequest &request) const
{
    const TrafficSource &source = this->scenario.traffic[request.traffic.sourceIndex];
    QueuedRequest entry;
    entry.requestId = std::to_string(request.id);
    entry.clientAccount = source.clientAccount;
    entry.weight = source.weight;
    entry.priority = source.priority;
    entry.cost = request.cost();
    return entry;
}

void EntryModel::replay(ModelRequest &request)
{
    if (this->candidates.size() == 0) {
        constexpr auto retryInterval = std::chrono::milliseconds(100);
        this->loop.after(retryInterval, [this, &request] { this->replay(request); });
        return;
    }
    this->dispatch(request);
}

void EntryModel::recordFirstToken(const ModelRequest &request)
{
    constexpr double smoothing = 0.05;
    const double waitMs = toSeconds(request.firstToken - request.dispatched) * millisecondsPerSecond;
    this->firstTokenWaitMs += smoothing * (waitMs - this->firstTokenWaitMs);
}

void EntryModel::requestEnded(const ModelRequest &request)
{
    --this->totalInFlight;
    this->candidates.addInFlight(request.upstream, -1);
    this->queue.finished(this->queueEntry(request));
    this->dispatchQueued();
}

void EntryModel::requestMoved(const std::string &from, const std::string &to)
{
    this->candidates.addInFlight(from, -1);
    this->candidates.addInFlight(to, 1);
}

void EntryModel::upstreamJoined(const std::string &upstream, const AvailabilityZone &zone)
{
    UpstreamView view{upstream, zone};
    view.slots = this->scenario.engine.maxBatch;
    this->candidates.set(view);
    this->dispatchQueued();
}

void EntryModel::upstreamLeft(const std::string &upstream)
{
    this->candidates.remove(upstream);
    this->router.removeUpstream(upstream);
}

int EntryModel::inFlight(const std::string &upstream) const
{
    const UpstreamView *view = this->candidates.find(upstream);
    return view == nullptr ? 0 : view->inFlight;
}

void EntryModel::loadReported(const std::string &upstream,
                              double load,
                              double inFlightAtReport,
                              EventLoop::Duration age)
{
    const UpstreamView *current = this->candidates.find(upstream);
    if (current == nullptr)
        return;
    UpstreamView view = *current;
    view.reportedLoad = load;
    view.inFlightAtReport = inFlightAtReport;
    view.reportAge = std::chrono::duration_cast<std::chrono::milliseconds>(age);
    this->candidates.set(view);
}

void EntryModel::dispatchQueued()
{
    while (this->availableCapacity() > 0.0) {
        ModelRequest *next = this->nextQueued(this->availableCapacity());
        if (next == nullptr)
            return;
        this->dispatch(*next);
    }
}

double EntryModel::availableCapacity() const
{
    if (this->candidates.size() == 0)
        return 0.0;
    // An entry VM may always use its equal share of all batch slots, because the load caused by the other entry VMs is
    // only known with a delay. It exceeds this share only while the last load reports show free slots.
    const double slots = this->scenario.engine.maxBatch * static_cast<double>(this->candidates.size());

    const double ownCapacity = 1.0 - this->totalInFlight * this->scenario.entryVms / slots;
    constexpr double sharedUtilizationLimit = 0.75;
    const double sharedCapacity = sharedUtilizationLimit - this->candidates.meanLoad() / this->scenario.engine.maxBatch;
    return std::max(ownCapacity, sharedCapacity);
}

ModelRequest *EntryModel::nextQueued(double capacity)
{
    if (this->policy.queue == "fifo") {
        if (this->fifoQueue.empty())
            return nullptr;
        ModelRequest *next = this->fifoQueue.front();
        this->fifoQueue.pop_front();
        return next;
    }
    std::vector<QueueRefusal> refusals;
    const auto next = this->queue.pop(this->loop.now(), refusals, capacity);
    this->refuse(refusals);
    if (!next)
        return nullptr;
    // The drain rate is measured only while requests wait; with an empty queue it would equal the arrival rate.
    constexpr double intervalS = 0.5;
    const double elapsed = toSeconds(this->loop.now() - this->drainedSince);
    if (this->queue.size() == 0) {
        this->drainedSince = this->loop.now();
        this->drainedTokens = 0.0;
    } else if (elapsed >= intervalS) {
        this->queue.setDrainRate(this->drainedTokens / elapsed);
        this->drainedSince = this->loop.now();
        this->drainedTokens = 0.0;
    }
    this->drainedTokens += next->cost;
    const auto found = this->queuedById.find(next->requestId);
    ModelRequest *request = found->second;
    this->queuedById.erase(found);
    return request;
}

void EntryModel::refuse(const std::vector<QueueRefusal> &refusals)
{
    for (const QueueRefusal &refusal : refusals) {
        const auto found = this->queuedById.find(refusal.request.requestId);
        found->second->isRefused = true;
        this->queuedById.erase(found);
    }
}

void EntryModel::dispatch(ModelRequest &request)
{
    const TrafficSource &source = this->scenario.traffic[request.traffic.sourceIndex];
    RouteQuery query;
    query.requestId = std::to_string(request.id);
    query.service = "model";
    query.prompt = request.prompt;
    query.zone = this->zone;
    query.priority = source.priority;
    query.entryVms = this->scenario.entryVms;
    request.upstream = this->router.choose(query, this->candidates, this->random).upstream;
    request.dispatched = this->loop.now();
    ++request.attempts;
    if (request.attempts == 1)
        ++this->totalInFlight;
    this->candidates.addInFlight(request.upstream, 1);
    this->send(request);
}

} // namespace hemlock
