#include "rollout/rolloutgate.h"

#include "rollout/rolloutcodec.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace hemlock {

namespace {

/// Reports whose answers are still waited for; several times the permission's lifetime.
constexpr std::size_t keptReports = 100;

/// Attempts that end without a response, such as those of callers that disconnect, are forgotten beyond this number.
constexpr std::size_t maxAttempts = 20000;

/// Whether @p record continues or replaces @p known; a verdict never changes.
bool isNewer(const RolloutRecord &record, const RolloutRecord &known)
{
    if (isSameOrder(record.order, known.order))
        return record.phase >= known.phase && !isVerdict(known.phase);
    return std::tie(record.order.era, record.order.revision) > std::tie(known.order.era, known.order.revision);
}

/// A number from 0 to 1 that is the same at each try to start a request.
double fractionOf(const std::string &requestId)
{
    constexpr std::size_t steps = 10007;
    return static_cast<double>(std::hash<std::string>()(requestId) % steps) / static_cast<double>(steps);
}

} // namespace

RolloutGate::RolloutGate(ExposureSettings exposure, std::string runId, RandomEngine random)
    : exposure(exposure)
    , runId(std::move(runId))
    , random(random)
{
}

void RolloutGate::applyRecord(const std::string &name, const RolloutRecord &record)
{
    Service &service = this->services[name];
    if (service.record && !isNewer(record, *service.record))
        return;
    const bool isNewOrder = !service.record || !isSameOrder(record.order, service.record->order);
    service.record = record;
    service.versions.apply(record);
    if (!isExposed(record.phase))
        service.limit.stop();
    if (!isNewOrder)
        return;
    service.limit = ExposureLimit(this->exposure);
    service.limit.begin(std::uniform_real_distribution<double>(0.0, 1.0)(this->random));
    service.counts.clear();
}

std::optional<RolloutRecord> RolloutGate::record(const std::string &name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? std::nullopt : found->second.record;
}

void RolloutGate::setVersion(const std::string &upstream, const std::string &version)
{
    this->versions[upstream] = version;
}

const std::string &RolloutGate::versionOf(const std::string &upstream) const
{
    static const std::string none;
    const auto found = this->versions.find(upstream);
    return found == this->versions.end() ? none : found->second;
}

std::string RolloutGate::versionInUse(const std::string &name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? std::string() : found->second.versions.version();
}

std::map<std::string, std::string> RolloutGate::versionsInUse() const
{
    std::map<std::string, std::string> versionsInUse;
    for (const auto &[name, service] : this->services) {
        if (!service.versions.version().empty())
            versionsInUse[name] = service.versions.version();
    }
    return versionsInUse;
}

std::vector<Upstream> RolloutGate::usable(const std::vector<Upstream> &listed)
{
    std::map<std::string, std::map<std::string, std::size_t>> serving;
    std::map<std::string, std::string> known;
    for (const Upstream &upstream : listed) {
        known[upstream.id] = this->versionOf(upstream.id);
        if (upstream.state == UpstreamState::Serving)
            ++serving[upstream.service][known[upstream.id]];
    }
    this->versions = std::move(known);
    for (auto &[name, service] : this->services) {
        service.targets.clear();
        service.others.clear();
    }
    for (const auto &[name, count] : serving)
        this->services[name].versions.observe(count);
    std::vector<Upstream> usable;
    for (const Upstream &upstream : listed) {
        Service &service = this->services[upstream.service];
        const std::string &version = this->versionOf(upstream.id);
        const bool isRunning = service.record && isExposed(service.record->phase);
        const bool isInUse = service.versions.isInUse(version);
        const bool isTarget = isRunning && !isInUse && version == service.record->order.target;
        if (!isInUse && !isTarget)
            continue;
        if (upstream.state == UpstreamState::Serving)
            (isTarget ? service.targets : service.others).insert(upstream.id);
        usable.push_back(upstream);
    }
    return usable;
}

void RolloutGate::exclude(const std::string &requestId,
                          const std::string &name,
                          const std::set<std::string> &tried,
                          std::size_t vms,
                          std::set<std::string> &excluded,
                          TimePoint now) const
{
    const auto found = this->services.find(name);
    if (found == this->services.end() || found->second.targets.empty())
        return;
    const Service &service = found->second;
    // After the promotion, the old upstreams stop before every VM has read that the roll-out is completed.
    if (service.record->phase == RolloutPhase::Promoted && service.others.empty())
        return;
    const bool isTargetFree = std::any_of(
        service.targets.begin(), service.targets.end(), [&](const std::string &id) { return !excluded.contains(id); });
    // Retries go to the version in use, whatever the first attempt met.
    const bool goesToTarget = tried.empty() && isTargetFree && service.limit.allows(fractionOf(requestId), vms, now);
    const std::set<std::string> &avoided = goesToTarget ? service.others : service.targets;
    excluded.insert(avoided.begin(), avoided.end());
}

void RolloutGate::attemptStarted(const std::string &requestId, const Upstream &upstream, bool isFirst, TimePoint now)
{
    const auto found = this->services.find(upstream.service);
    if (found == this->services.end() || !found->second.record || !isExposed(found->second.record->phase))
        return;
    Service &service = found->second;
    const bool isTarget = service.targets.contains(upstream.id);
    if (isFirst)
        service.limit.requestStarted();
    if (isTarget) {
        service.limit.targetStarted();
        ++this->exposed;
    }
    if (this->attempts.size() >= maxAttempts)
        this->attempts.clear();
    this->attempts[requestId] = {upstream.service, isTarget, now};
}

void RolloutGate::attemptEnded(
    const std::string &requestId, const std::string &route, bool isFailure, int writes, TimePoint now)
{
    const auto found = this->attempts.find(requestId);
    if (found == this->attempts.end())
        return;
    const Attempt attempt = std::move(found->second);
    this->attempts.erase(found);
    RouteCounts &counts = this->services[attempt.service].counts[route];
    VersionCounts &version = attempt.isTarget ? counts.target : counts.inUse;
    if (isFailure)
        version.addFailure();
    else
        version.addSuccess(std::chrono::duration_cast<std::chrono::milliseconds>(now - attempt.started)
                           / std::max(1, writes));
}

nlohmann::json RolloutGate::report(TimePoint now)
{
    nlohmann::json reported = nlohmann::json::object();
    for (const auto &[name, service] : this->services) {
        if (!service.record || !isExposed(service.record->phase))
            continue;
        reported[name] = {{"revision", service.record->order.revision},
                          {"era", service.record->order.era},
                          {"routes", encodeRolloutCounts(service.counts)}};
    }
    if (reported.empty())
        return nullptr;
    this->reportTimes[++this->sequence] = now;
    if (this->reportTimes.size() > keptReports)
        this->reportTimes.erase(this->reportTimes.begin());
    return {{"run", this->runId}, {"sequence", this->sequence}, {"services", std::move(reported)}};
}

void RolloutGate::applyAnswer(const nlohmann::json &answer)
{
    const auto sent = this->reportTimes.find(answer.at("sequence").get<std::int64_t>());
    if (sent == this->reportTimes.end())
        return;
    for (const auto &[name, permit] : answer.at("services").items()) {
        const auto found = this->services.find(name);
        if (found == this->services.end() || !found->second.record)
            continue;
        const RolloutRecord &record = *found->second.record;
        if (!isExposed(record.phase) || permit.at("revision") != record.order.revision
            || permit.at("era") != record.order.era)
            continue;
        found->second.limit.permit(permit.at("share").get<double>(), permit.at("good").get<bool>(), sent->second);
    }
}

std::uint64_t RolloutGate::exposedRequests() const
{
    return this->exposed;
}

} // namespace hemlock
