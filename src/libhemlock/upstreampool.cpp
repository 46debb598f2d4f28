#include "upstreampool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

// The time that the control process may need to detect a dead upstream and to send a snapshot without it.
constexpr std::chrono::seconds failureCooldown{2};

// Weight of a new sample in the exponential moving averages; about the last five answers count.
constexpr double smoothingFactor = 0.2;

} // namespace

UpstreamPool::Change UpstreamPool::apply(const std::vector<Upstream> &upstreams, Time now)
{
    Change change;
    auto previous = std::exchange(this->upstreams, {});
    this->idsByService.clear();
    for (const Upstream &upstream : upstreams) {
        this->upstreams[upstream.id] = upstream;
        this->idsByService[upstream.service].push_back(upstream.id);
    }
    for (const auto &[id, upstream] : previous) {
        const auto current = this->upstreams.find(id);
        const bool isListed = current != this->upstreams.end();
        if (!isListed || current->second.service != upstream.service)
            this->healthyByService[upstream.service].remove(id);
        const bool isGone = !isListed || current->second.state == UpstreamState::Gone;
        if (isGone && upstream.state != UpstreamState::Gone)
            change.removed.push_back(upstream);
    }
    for (const auto &[id, upstream] : this->upstreams)
        this->refreshCandidate(upstream, now);
    std::erase_if(this->activities, [this](const auto &activity) {
        return activity.second.inFlight == 0 && !this->upstreams.contains(activity.first);
    });
    return change;
}

std::optional<Upstream> UpstreamPool::find(const std::string &id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? std::nullopt : std::optional(found->second);
}

RouteDecision UpstreamPool::choose(const Router &router,
                                   const RouteQuery &query,
                                   const std::set<std::string> &excluded,
                                   Time now,
                                   RandomEngine &random)
{
    this->endCooldowns(now);
    const auto healthy = this->healthyByService.find(query.service);
    if (excluded.empty() && healthy != this->healthyByService.end() && healthy->second.size() > 0)
        return router.choose(query, healthy->second, random);
    return router.choose(query, this->candidates(query.service, excluded, now), random);
}

bool UpstreamPool::isUsable(const Upstream &upstream)
{
    return upstream.state == UpstreamState::Serving || upstream.state == UpstreamState::Suspected;
}

bool UpstreamPool::isCoolingDown(const std::string &id, Time now) const
{
    const auto activity = this->activities.find(id);
    return activity != this->activities.end() && activity->second.failedAt
        && now - *activity->second.failedAt < failureCooldown;
}

UpstreamView UpstreamPool::view(const Upstream &upstream) const
{
    UpstreamView view;
    view.id = upstream.id;
    view.zone = upstream.zone;
    view.slots = upstream.slots;
    if (const auto activity = this->activities.find(upstream.id); activity != this->activities.end()) {
        view.inFlight = activity->second.inFlight;
        view.reportedLoad = activity->second.reportedLoad;
        view.inFlightAtReport = activity->second.inFlightAtReport;
        view.pendingTokens = activity->second.pendingTokens + activity->second.peerPendingTokens;
        view.failureShare = activity->second.failureShare;
        view.excessDelay = std::chrono::milliseconds(std::llround(activity->second.excessDelayMs));
    }
    return view;
}

void UpstreamPool::refreshCandidate(const Upstream &upstream, Time now)
{
    CandidateSet &healthy = this->healthyByService[upstream.service];
    if (upstream.state == UpstreamState::Serving && !this->isCoolingDown(upstream.id, now))
        healthy.set(this->view(upstream));
    else
        healthy.remove(upstream.id);
}

void UpstreamPool::endCooldowns(Time now)
{
    while (!this->coolingDown.empty() && now - this->coolingDown.front().first >= failureCooldown) {
        const std::string id = std::move(this->coolingDown.front().second);
        this->coolingDown.pop_front();
        if (const auto upstream = this->upstreams.find(id); upstream != this->upstreams.end())
            this->refreshCandidate(upstream->second, now);
    }
}

std::vector<UpstreamView>
UpstreamPool::candidates(const std::string &service, const std::set<std::string> &excluded, Time now) const
{
    std::vector<UpstreamView> healthy;
    std::vector<UpstreamView> unhealthy;
    const auto ids = this->idsByService.find(service);
    if (ids == this->idsByService.end())
        return healthy;
    for (const std::string &id : ids->second) {
        const Upstream &upstream = this->upstreams.at(id);
        if (!isUsable(upstream) || excluded.contains(id))
            continue;
        const bool isSuspected = upstream.state == UpstreamState::Suspected;
        (isSuspected || this->isCoolingDown(id, now) ? unhealthy : healthy).push_back(this->view(upstream));
    }
    return healthy.empty() ? unhealthy : healthy;
}

void UpstreamPool::attemptStarted(const std::string &id)
{
    ++this->activities[id].inFlight;
    if (const auto upstream = this->upstreams.find(id); upstream != this->upstreams.end())
        this->healthyByService[upstream->second.service].addInFlight(id, 1);
}

void UpstreamPool::addPendingTokens(const std::string &id, double tokens)
{
    Activity &activity = this->activities[id];
    activity.pendingTokens = std::max(0.0, activity.pendingTokens + tokens);
    if (const auto upstream = this->upstreams.find(id); upstream != this->upstreams.end())
        this->updateView(upstream->second);
}

void UpstreamPool::peerLoadReported(const std::string &id, double requests, double pendingTokens, Time now)
{
    const auto upstream = this->upstreams.find(id);
    if (upstream == this->upstreams.end())
        return;
    Activity &activity = this->activities[id];
    activity.reportedLoad = requests;
    activity.inFlightAtReport = 0.0;
    activity.peerPendingTokens = pendingTokens;
    this->refreshCandidate(upstream->second, now);
}

void UpstreamPool::outcomeObserved(const std::string &id, bool failed, std::chrono::milliseconds excessDelay)
{
    const auto upstream = this->upstreams.find(id);
    if (upstream == this->upstreams.end())
        return;
    Activity &activity = this->activities[id];
    activity.failureShare += ((failed ? 1.0 : 0.0) - activity.failureShare) * smoothingFactor;
    if (!failed)
        activity.excessDelayMs += (static_cast<double>(excessDelay.count()) - activity.excessDelayMs) * smoothingFactor;
    this->updateView(upstream->second);
}

std::optional<UpstreamView> UpstreamPool::viewOf(const std::string &id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? std::nullopt : std::optional(this->view(found->second));
}

const CandidateSet &UpstreamPool::healthy(const std::string &service, Time now)
{
    this->endCooldowns(now);
    return this->healthyByService[service];
}

const std::unordered_map<std::string, Upstream> &UpstreamPool::all() const
{
    return this->upstreams;
}

void UpstreamPool::updateView(const Upstream &upstream)
{
    CandidateSet &healthy = this->healthyByService[upstream.service];
    if (healthy.find(upstream.id))
        healthy.set(this->view(upstream));
}

void UpstreamPool::attemptEnded(const std::string &id)
{
    --this->activities[id].inFlight;
    if (const auto upstream = this->upstreams.find(id); upstream != this->upstreams.end())
        this->healthyByService[upstream->second.service].addInFlight(id, -1);
}

void UpstreamPool::attemptFailed(const std::string &id, Time now)
{
    this->activities[id].failedAt = now;
    ++this->failures[id];
    this->coolingDown.emplace_back(now, id);
    if (const auto upstream = this->upstreams.find(id); upstream != this->upstreams.end())
        this->healthyByService[upstream->second.service].remove(id);
}

void UpstreamPool::loadReported(const std::string &id, double load, int ownInFlight, Time now)
{
    const auto upstream = this->upstreams.find(id);
    if (upstream == this->upstreams.end())
        return;
    Activity &activity = this->activities[id];
    activity.reportedLoad = load;
    activity.inFlightAtReport = ownInFlight;
    this->refreshCandidate(upstream->second, now);
}

int UpstreamPool::inFlightAt(const std::string &id) const
{
    const auto activity = this->activities.find(id);
    return activity == this->activities.end() ? 0 : activity->second.inFlight;
}

bool UpstreamPool::hasUsable(const std::string &service, const std::set<std::string> &excluded) const
{
    const auto ids = this->idsByService.find(service);
    return ids != this->idsByService.end() && std::any_of(ids->second.begin(), ids->second.end(), [&](const auto &id) {
               return isUsable(this->upstreams.at(id)) && !excluded.contains(id);
           });
}

bool UpstreamPool::isLeaving(const std::string &id) const
{
    const auto upstream = this->upstreams.find(id);
    return upstream == this->upstreams.end() || upstream->second.state == UpstreamState::Leaving
        || upstream->second.state == UpstreamState::Gone;
}

std::map<std::string, int> UpstreamPool::inFlight() const
{
    std::map<std::string, int> counts;
    for (const auto &[id, activity] : this->activities) {
        if (activity.inFlight > 0)
            counts[id] = activity.inFlight;
    }
    return counts;
}

std::map<std::string, int> UpstreamPool::takeFailures()
{
    return std::exchange(this->failures, {});
}

} // namespace hemlock
