#include "rollout/rolloutdecider.h"

#include "logger.h"
#include "rollout/rolloutcodec.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

/// Two reports of a VM that restarted often must not fill the memory.
constexpr std::size_t maxRuns = 2000;

} // namespace

RolloutDecider::RolloutDecider(KvAccess kv, RolloutDeciderSettings settings, RolloutDeciderHooks hooks)
    : kv(std::move(kv))
    , settings(std::move(settings))
    , hooks(std::move(hooks))
    , plan(this->settings.plan)
{
}

void RolloutDecider::tick(const std::optional<KvCompare> &holderCondition, TimePoint time, WallTime timeOfDay)
{
    const bool wasHolder = this->holder.has_value();
    this->holder = holderCondition;
    this->now = time;
    this->wallTime = timeOfDay;
    if (!this->holder) {
        if (wasHolder)
            this->reset();
        return;
    }
    if (!wasHolder) {
        this->decidesFrom = time + this->settings.collectTime;
        this->takenAt = timeOfDay;
    }
    if (!this->isReading && time >= this->nextRead) {
        this->nextRead = time + this->settings.readInterval;
        this->readOrders();
    }
    for (auto &[name, service] : this->services)
        this->decide(name, service);
}

void RolloutDecider::reset()
{
    ++this->generation;
    this->services.clear();
    this->isReading = false;
    this->isSynchronized = false;
    this->nextRead = TimePoint::min();
}

void RolloutDecider::storeRestored()
{
    // The counts and the decided verdicts stay: they belong to this process and not to the store.
    ++this->generation;
    this->isReading = false;
    this->isSynchronized = false;
    this->nextRead = TimePoint::min();
    for (auto &[name, service] : this->services)
        service.isWriting = false;
}

void RolloutDecider::read(const std::string &prefix, std::function<void(Values values)> done)
{
    this->kv.range(
        prefix,
        true,
        [this, prefix, done = std::move(done), started = this->generation, alive = std::weak_ptr<bool>(this->alive)](
            const KvRangeResult &result) {
            if (alive.expired() || started != this->generation)
                return;
            if (result.status != KvStatus::Ok) {
                this->isReading = false;
                return;
            }
            this->era = result.era;
            Values values;
            for (const KvEntry &entry : result.entries)
                values[entry.key.substr(prefix.size())] = {entry.value, entry.modRevision};
            done(std::move(values));
        });
}

void RolloutDecider::readOrders()
{
    this->isReading = true;
    this->read(this->settings.orderPrefix, [this](const Values &orders) {
        if (this->isSynchronized)
            this->ordersRead(orders);
        else
            this->readStored(orders);
    });
}

void RolloutDecider::readStored(Values orders)
{
    this->read(this->settings.recordPrefix, [this, orders = std::move(orders)](const Values &records) {
        this->read(this->settings.statusPrefix, [this, orders, records](const Values &statuses) {
            for (auto &[name, service] : this->services) {
                service.record = service.status = {};
                service.current.reset();
            }
            for (const auto &[name, record] : records) {
                Service &service = this->services[name];
                service.record = record;
                try {
                    service.current = decodeRolloutRecord(record.value);
                } catch (const std::exception &error) {
                    logEvent(LogLevel::Error, "rollout-record", {{"service", name}, {"error", error.what()}});
                }
            }
            for (const auto &[name, status] : statuses)
                this->services[name].status = status;
            this->isSynchronized = true;
            this->ordersRead(orders);
        });
    });
}

void RolloutDecider::ordersRead(Values orders)
{
    this->isReading = false;
    for (auto &[name, service] : this->services)
        service.order = {};
    for (auto &[name, order] : orders)
        this->services[name].order = order;
    for (const auto &[name, version] : this->hooks.versionsInUse())
        this->services.try_emplace(name);
    for (auto &[name, service] : this->services)
        this->follow(name, service);
}

void RolloutDecider::follow(const std::string &name, Service &service)
{
    if (service.isWriting || !this->holder)
        return;
    if (service.order.revision == 0) {
        RolloutRecord record = this->hooks.knownRecord(name).value_or(RolloutRecord());
        record.versionInUse = this->hooks.versionInUse(name);
        if (service.record.revision == 0 && record.phase == RolloutPhase::None && !record.versionInUse.empty())
            this->write(name, service, record, "no order yet");
        return;
    }
    RolloutRecord next;
    try {
        next.order = this->hooks.decodeOrder(service.order.value);
    } catch (const std::exception &error) {
        if (std::exchange(this->refusedOrders[name], service.order.value) != service.order.value)
            logEvent(LogLevel::Error, "rollout-order", {{"service", name}, {"error", error.what()}});
        return;
    }
    next.order.service = name;
    next.order.text = service.order.value;
    next.order.revision = service.order.revision;
    next.order.era = this->era;
    const auto known = this->hooks.knownRecord(name);
    const bool isCurrent = service.current && isSameOrder(service.current->order, next.order);
    const RolloutRecord *verdict = nullptr;
    if (isCurrent && isVerdict(service.current->phase))
        verdict = &*service.current;
    else if (known && isVerdict(known->phase) && isSameOrder(known->order, next.order))
        verdict = &*known;
    if (verdict) {
        next.phase = verdict->phase;
        next.versionInUse = verdict->versionInUse;
        next.firstSeen = verdict->firstSeen;
        next.phaseBegan = verdict->phaseBegan;
        const bool isWritten = service.status.value == this->hooks.encodeStatus(next.phase, next.order.target);
        if (verdict != (service.current ? &*service.current : nullptr) || !isWritten)
            this->write(name, service, next, "the verdict was lost");
        return;
    }
    if (isCurrent) {
        const RolloutOrder &order = service.current->order;
        if (order.revision == next.order.revision && order.era == next.order.era)
            return;
        // The restored store lists the order under another revision.
        RolloutRecord record = *service.current;
        record.order = next.order;
        return this->write(name, service, record, "the store was restored");
    }
    service.countsByRun.clear();
    service.countsAtPhase.clear();
    service.verdict.reset();
    next.phase = RolloutPhase::Trial;
    next.versionInUse = this->hooks.versionInUse(name);
    next.firstSeen = next.phaseBegan = this->wallTime;
    this->write(name, service, next, "new order");
}

void RolloutDecider::decide(const std::string &name, Service &service)
{
    service.share = 0.0;
    // The counts of a new decider are not complete yet.
    if (!service.current || !isExposed(service.current->phase) || this->now < this->decidesFrom)
        return;
    RolloutView view;
    view.record = *service.current;
    // VMs stop while there is no decider, so that a phase shows nothing until it has begun anew.
    view.record.phaseBegan = std::max(view.record.phaseBegan, this->takenAt);
    for (const auto &[run, counts] : service.countsByRun)
        addCounts(view.counts, counts);
    view.countsAtPhase = service.countsAtPhase;
    const RolloutUpstreams upstreams = this->hooks.upstreams(name, view.record.order.target, view.record.versionInUse);
    view.targetServing = upstreams.target;
    view.inUseServing = upstreams.inUse;
    view.targetSlots = upstreams.targetSlots;
    view.inUseSlots = upstreams.inUseSlots;
    RolloutStep next = this->plan.next(view, this->wallTime);
    // A write without an answer may be executed later; until then the decision must stay the same.
    if (service.verdict)
        next = {*service.verdict, *service.verdict == RolloutPhase::Completed ? 1.0 : 0.0, "decided before"};
    // A restored store may have lost the order, which the operator then writes again.
    const bool isOrdered = service.order.revision == 0 || service.order.value == view.record.order.text;
    service.share = isOrdered && service.order.revision != 0 ? next.share : 0.0;
    if (next.phase == view.record.phase || !isOrdered)
        return;
    if (isVerdict(next.phase))
        service.verdict = next.phase;
    else if (!isVerdict(next.phase) && next.phase == RolloutPhase::Promoted)
        service.share = 0.0; // Not before the record says so.
    if (service.isWriting || !this->isSynchronized || service.order.revision != view.record.order.revision)
        return;
    RolloutRecord record = *service.current;
    record.phase = next.phase;
    record.phaseBegan = this->wallTime;
    this->write(name, service, record, next.reason);
}

void RolloutDecider::write(const std::string &name,
                           Service &service,
                           const RolloutRecord &record,
                           const std::string &reason)
{
    const std::string recordKey = this->settings.recordPrefix + name;
    const std::string statusKey = this->settings.statusPrefix + name;
    const std::string status = this->hooks.encodeStatus(record.phase, record.order.target);
    KvTxn txn;
    txn.compares = {*this->holder,
                    {this->settings.orderPrefix + name, record.order.revision},
                    {recordKey, service.record.revision},
                    {statusKey, service.status.revision}};
    txn.puts = {{recordKey, encodeRolloutRecord(record), 0}};
    if (status != service.status.value && record.phase != RolloutPhase::None)
        txn.puts.push_back({statusKey, status, 0});
    service.isWriting = true;
    // A store that is away gets the same write again and again.
    if (std::exchange(this->loggedWrites[name], txn.puts.front().value) != txn.puts.front().value) {
        logEvent(LogLevel::Info,
                 "rollout",
                 {{"service", name},
                  {"target", record.order.target},
                  {"inUse", record.versionInUse},
                  {"revision", record.order.revision},
                  {"phase", rolloutPhaseName(record.phase)},
                  {"reason", reason}});
    }
    const std::int64_t statusRevision = service.status.revision;
    const bool changesStatus = txn.puts.size() > 1;
    this->kv.txn(
        txn,
        [this,
         name,
         record,
         status,
         statusRevision,
         changesStatus,
         started = this->generation,
         alive = std::weak_ptr<bool>(this->alive)](const KvTxnResult &result) {
            if (!alive.expired() && started == this->generation)
                this->written(name, record, {status, changesStatus ? result.revision : statusRevision}, result);
        });
}

void RolloutDecider::written(const std::string &name,
                             const RolloutRecord &record,
                             const Stored &status,
                             const KvTxnResult &result)
{
    Service &service = this->services[name];
    service.isWriting = false;
    if (result.status != KvStatus::Ok || !result.succeeded) {
        // Another write was executed, or this one may be executed later: what the store holds decides.
        this->isSynchronized = false;
        return;
    }
    service.record = {encodeRolloutRecord(record), result.revision};
    service.status = status;
    service.current = record;
    service.countsAtPhase.clear();
    for (const auto &[run, counts] : service.countsByRun)
        addCounts(service.countsAtPhase, counts);
    this->hooks.recordWritten(name, record);
}

nlohmann::json RolloutDecider::answer(const nlohmann::json &report)
{
    if (!this->holder)
        return nullptr;
    nlohmann::json permits = nlohmann::json::object();
    const auto run = report.at("run").get<std::string>();
    for (const auto &[name, content] : report.at("services").items()) {
        const auto found = this->services.find(name);
        if (found == this->services.end() || !found->second.current)
            continue;
        Service &service = found->second;
        const RolloutRecord &record = *service.current;
        const bool isSame = content.at("revision") == record.order.revision && content.at("era") == record.order.era;
        if (!isSame || (service.countsByRun.size() >= maxRuns && !service.countsByRun.contains(run)))
            continue;
        service.countsByRun[run] = decodeRolloutCounts(content.at("routes"));
        permits[name] = {{"revision", record.order.revision},
                         {"era", record.order.era},
                         {"share", service.share},
                         {"good", record.phase == RolloutPhase::Promoted}};
    }
    return {{"sequence", report.at("sequence")}, {"services", std::move(permits)}};
}

} // namespace hemlock
