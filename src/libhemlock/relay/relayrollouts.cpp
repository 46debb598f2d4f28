#include "relay/relayrollouts.h"

#include "logger.h"
#include "rollout/rolloutcodec.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

/// A bad response is known to the decider within this time; shorter ones would send more messages than the VMs' ticks.
constexpr std::chrono::milliseconds reportInterval{150};

RolloutDeciderSettings deciderSettings(const RolloutSettings &settings)
{
    RolloutDeciderSettings decider;
    decider.orderPrefix = settings.orderPrefix;
    decider.statusPrefix = settings.statusPrefix;
    decider.recordPrefix = settings.recordPrefix;
    if (settings.exposure)
        decider.plan.exposeShare = settings.exposure->share;
    return decider;
}

} // namespace

RelayRollouts::RelayRollouts(RolloutSettings rolloutSettings,
                             KvAccess kv,
                             RelayTransport &transport,
                             RelayScheduler &scheduler,
                             const std::string &runId,
                             RandomEngine random,
                             RelayRolloutsHooks hooks)
    : settings(std::move(rolloutSettings))
    , scheduler(scheduler)
    , hooks(std::move(hooks))
    , gate(this->settings.exposure.value_or(ExposureSettings()), runId, random)
    , decider(std::move(kv), deciderSettings(this->settings), this->deciderHooks(transport))
{
    if (!this->isEnabled())
        return;
    transport.decodeUpstream = [this, decode = transport.decodeUpstream, decodeVersion = transport.decodeVersion](
                                   const std::string &id, const std::string &value) {
        Upstream upstream = decode(id, value);
        this->gate.setVersion(id, decodeVersion(value));
        return upstream;
    };
    scheduler.setExclusionHook([this](const RelayTicket &ticket, std::set<std::string> &excluded, TimePoint now) {
        this->gate.exclude(ticket.id, ticket.service, ticket.excluded, this->mostVms, excluded, now);
    });
}

RolloutDeciderHooks RelayRollouts::deciderHooks(const RelayTransport &transport)
{
    RolloutDeciderHooks decisions;
    decisions.decodeOrder = transport.decodeRollout;
    decisions.encodeStatus = transport.encodeRolloutStatus;
    decisions.upstreams = [this](const std::string &service, const std::string &target, const std::string &inUse) {
        return this->countUpstreams(service, target, inUse);
    };
    decisions.versionInUse = [this](const std::string &service) { return this->gate.versionInUse(service); };
    decisions.versionsInUse = [this] { return this->gate.versionsInUse(); };
    decisions.knownRecord = [this](const std::string &service) { return this->gate.record(service); };
    decisions.recordWritten = [this](const std::string &service, const RolloutRecord &record) {
        this->recordApplied(service, record);
    };
    return decisions;
}

bool RelayRollouts::isEnabled() const
{
    return this->settings.exposure.has_value();
}

const std::string &RelayRollouts::prefix() const
{
    return this->settings.recordPrefix;
}

void RelayRollouts::applyRecord(const std::string &key, const std::string &value)
{
    if (!this->isEnabled())
        return;
    try {
        this->recordApplied(key.substr(this->prefix().size()), decodeRolloutRecord(value));
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "rollout-record", {{"key", key}, {"error", error.what()}});
    }
}

void RelayRollouts::recordApplied(const std::string &service, const RolloutRecord &record)
{
    const auto before = this->gate.record(service);
    this->gate.applyRecord(service, record);
    const auto known = this->gate.record(service);
    if (before && known->phase == before->phase && isSameOrder(known->order, before->order))
        return;
    logEvent(LogLevel::Info,
             "rollout-phase",
             {{"service", service},
              {"target", known->order.target},
              {"inUse", this->gate.versionInUse(service)},
              {"phase", rolloutPhaseName(known->phase)}});
    this->completed += known->phase == RolloutPhase::Completed ? 1 : 0;
    this->rolledBack += known->phase == RolloutPhase::RolledBack ? 1 : 0;
    this->hooks.versionsChanged();
}

std::vector<Upstream> RelayRollouts::usable(const std::vector<Upstream> &listed)
{
    return this->isEnabled() ? this->gate.usable(listed) : listed;
}

RolloutUpstreams
RelayRollouts::countUpstreams(const std::string &service, const std::string &target, const std::string &inUse) const
{
    RolloutUpstreams counts;
    for (const auto &[id, upstream] : this->scheduler.upstreams().all()) {
        if (upstream.service != service || upstream.state != UpstreamState::Serving)
            continue;
        const std::string &version = this->gate.versionOf(id);
        if (version == target) {
            ++counts.target;
            counts.targetSlots += upstream.slots;
        } else if (version.empty() || version == inUse) {
            ++counts.inUse;
            counts.inUseSlots += upstream.slots;
        }
    }
    return counts;
}

void RelayRollouts::tick(const std::optional<KvCompare> &holder, TimePoint now, WallTime wallTime)
{
    if (!this->isEnabled())
        return;
    this->mostVms = std::max(this->mostVms, this->hooks.vms());
    this->decider.tick(holder, now, wallTime);
    if (now < this->nextReport)
        return;
    this->nextReport = now + reportInterval;
    if (const auto report = this->gate.report(now); !report.is_null())
        this->hooks.sendReport(report);
}

void RelayRollouts::storeRestored()
{
    this->decider.storeRestored();
}

nlohmann::json RelayRollouts::answer(const nlohmann::json &report)
{
    return this->decider.answer(report);
}

void RelayRollouts::answered(const nlohmann::json &answer)
{
    this->gate.applyAnswer(answer);
}

void RelayRollouts::attemptStarted(const std::string &request, const Upstream &upstream, bool isFirst)
{
    if (this->isEnabled())
        this->gate.attemptStarted(request, upstream, isFirst, this->hooks.now());
}

void RelayRollouts::attemptEnded(const std::string &request, const std::string &route, const AttemptEnd &end)
{
    constexpr int firstServerError = 500;
    // Answers that were broken off here or by an announced shutdown say nothing of the version, nor do refusals of a
    // request that was not run.
    const bool isRefusal = end.failure == HttpFailure::None
        && (end.status == 503 || end.status == 429 || end.status == 421 || end.status == 408);
    if (!this->isEnabled() || end.isAborted || end.isUpstreamLeaving || isRefusal)
        return;
    const bool isUnsigned = end.status < 300 && !end.isSuccess;
    const bool isFailure = end.failure != HttpFailure::None || end.status >= firstServerError || isUnsigned;
    this->gate.attemptEnded(request, route, isFailure, end.eventWrites, this->hooks.now());
}

void RelayRollouts::reportMetrics(Metrics &metrics) const
{
    if (!this->isEnabled())
        return;
    metrics.setTotal("hemlock_rollout_requests_total",
                     "Requests that this VM sent to the targets of running roll-outs.",
                     this->gate.exposedRequests());
    metrics.setTotal("hemlock_rollouts_completed_total", "Roll-outs that this VM saw completed.", this->completed);
    metrics.setTotal("hemlock_rollouts_rolled_back_total", "Roll-outs that this VM saw rolled back.", this->rolledBack);
}

} // namespace hemlock
