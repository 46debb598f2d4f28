#include "upstreampool.h"

#include <utility>

namespace hemlock {

namespace {

// As long as the control process may take to learn of a death and to send a snapshot without the upstream.
constexpr std::chrono::seconds avoidedAfterFailure{2};

} // namespace

void UpstreamPool::apply(const std::vector<Upstream> &upstreams)
{
    this->upstreams.clear();
    this->idsByService.clear();
    for (const Upstream &upstream : upstreams) {
        this->upstreams[upstream.id] = upstream;
        this->idsByService[upstream.service].push_back(upstream.id);
    }
    for (auto activity = this->activities.begin(); activity != this->activities.end();) {
        const bool isForgotten = activity->second.inFlight == 0 && !this->upstreams.contains(activity->first);
        activity = isForgotten ? this->activities.erase(activity) : std::next(activity);
    }
}

std::optional<Upstream> UpstreamPool::find(const std::string &id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? std::nullopt : std::optional(found->second);
}

bool UpstreamPool::isAvoided(const std::string &id, Time now) const
{
    const auto activity = this->activities.find(id);
    return activity != this->activities.end() && activity->second.failedAt
        && now - *activity->second.failedAt < avoidedAfterFailure;
}

std::vector<UpstreamView>
UpstreamPool::candidates(const std::string &service, const std::set<std::string> &excluded, Time now) const
{
    std::vector<UpstreamView> sound;
    std::vector<UpstreamView> doubtful;
    const auto ids = this->idsByService.find(service);
    if (ids == this->idsByService.end())
        return sound;
    for (const std::string &id : ids->second) {
        const Upstream &upstream = this->upstreams.at(id);
        const bool isSuspected = upstream.state == UpstreamState::Suspected;
        if ((upstream.state != UpstreamState::Serving && !isSuspected) || excluded.contains(id))
            continue;
        const auto activity = this->activities.find(id);
        UpstreamView view;
        view.id = id;
        view.zone = upstream.zone;
        view.inFlight = activity == this->activities.end() ? 0 : activity->second.inFlight;
        (isSuspected || this->isAvoided(id, now) ? doubtful : sound).push_back(std::move(view));
    }
    return sound.empty() ? doubtful : sound;
}

void UpstreamPool::attemptStarted(const std::string &id)
{
    ++this->activities[id].inFlight;
}

void UpstreamPool::attemptEnded(const std::string &id)
{
    --this->activities[id].inFlight;
}

void UpstreamPool::attemptFailed(const std::string &id, Time now)
{
    this->activities[id].failedAt = now;
    ++this->failures[id];
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
