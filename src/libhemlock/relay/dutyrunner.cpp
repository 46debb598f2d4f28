#include "relay/dutyrunner.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds pauseAfterRefusedOrder{1500};

std::string encodeRecord(const std::map<std::int64_t, UsageCounts> &windows)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[window, counts] : windows)
        json[std::to_string(window)] = counts;
    return json.dump();
}

using RunCounts = std::map<std::int64_t, std::map<std::string, UsageCounts>>;

std::string encodeCounts(const RunCounts &windows)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[window, runs] : windows)
        json[std::to_string(window)] = runs;
    return json.dump();
}

std::map<std::int64_t, UsageCounts> decodeRecord(const std::string &text)
{
    std::map<std::int64_t, UsageCounts> windows;
    const auto json = nlohmann::json::parse(text);
    for (const auto &[window, counts] : json.items())
        windows[std::stoll(window)] = counts.get<UsageCounts>();
    return windows;
}

} // namespace

DutyRunner::DutyRunner(KvAccess kv, DutySettings settings, const RelayTransport &transport, UsageLedger &usage)
    : kv(kv)
    , settings(settings)
    , transport(transport)
    , usage(usage)
    , role(std::move(kv), {settings.keyPrefix, settings.holder, settings.leaseTtl})
{
}

void DutyRunner::setDuties(bool usageReports, bool upstreamOrders)
{
    this->reportsUsage = usageReports;
    this->ordersUpstreams = upstreamOrders;
}

void DutyRunner::holderSeen(const std::string &record)
{
    this->holderExists = !record.empty();
    this->seenHolder = LeaderRole::holderOf(record);
}

const std::string &DutyRunner::holder() const
{
    return this->seenHolder;
}

void DutyRunner::setOrders(const std::set<UpstreamOrder> &wanted)
{
    this->orders = wanted;
}

void DutyRunner::setOrderRefused(std::function<void(const UpstreamOrder &order)> hook)
{
    this->orderRefused = std::move(hook);
}

bool DutyRunner::isActing(TimePoint at) const
{
    return this->heldSince && this->isRecordLoaded && at >= *this->heldSince + this->settings.settleTime
        && this->role.isLeaseCurrent(at + this->settings.callMargin);
}

void DutyRunner::tick(TimePoint time, WallTime wallTime, double random)
{
    this->now = time;
    if (!this->reportsUsage && !this->ordersUpstreams)
        return;
    // Others' claims are seen in the store's changes, so that only the holder and the candidates for a vacancy ask it.
    if (this->role.isHeld() || !this->holderExists)
        this->role.tick(time, random);
    if (!this->role.isHeld()) {
        if (this->heldSince)
            logEvent(LogLevel::Warning, "duty-lost", {{"holder", this->settings.holder}});
        this->heldSince.reset();
        this->isRecordLoaded = false;
        return;
    }
    if (!this->heldSince) {
        this->heldSince = time;
        this->accepted.clear();
        logEvent(LogLevel::Info,
                 "duty-taken",
                 {{"holder", this->settings.holder}, {"fencingToken", this->role.fencingToken()}});
    }
    if (!this->isRecordLoaded)
        this->loadRecord();
    if (!this->isActing(time))
        return;
    if (this->reportsUsage) {
        this->reportNext(wallTime);
        this->saveCounts(time, wallTime);
    }
    if (this->ordersUpstreams)
        this->orderNext(time);
}

std::string DutyRunner::holderKey() const
{
    return this->settings.keyPrefix + "/holder";
}

std::string DutyRunner::usageKey() const
{
    return this->settings.keyPrefix + "/usage";
}

void DutyRunner::loadRecord()
{
    if (std::exchange(this->isLoadingRecord, true))
        return;
    this->kv.range(
        this->settings.countsKey, false, [this, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (!alive.expired())
                this->countsLoaded(result);
        });
}

void DutyRunner::countsLoaded(const KvRangeResult &result)
{
    if (result.status != KvStatus::Ok || !this->role.isHeld()) {
        this->isLoadingRecord = false;
        return;
    }
    this->firstSaved.reset();
    if (!result.entries.empty()) {
        try {
            const auto json = nlohmann::json::parse(result.entries.front().value);
            for (const auto &[window, runs] : json.items()) {
                const std::int64_t number = std::stoll(window);
                this->firstSaved = std::min(number, this->firstSaved.value_or(number));
                for (const auto &[run, counts] : runs.items()) {
                    if (run != this->settings.run)
                        this->usage.peerCounts(run, {{number, counts.get<UsageCounts>()}});
                }
            }
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "duty-counts", {{"error", error.what()}});
        }
    }
    this->kv.range(
        this->usageKey(), false, [this, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (!alive.expired())
                this->recordLoaded(result);
        });
}

void DutyRunner::recordLoaded(const KvRangeResult &result)
{
    this->isLoadingRecord = false;
    if (!this->role.isHeld())
        return;
    if (result.status != KvStatus::Ok) {
        logEvent(LogLevel::Warning, "duty-record", {{"error", result.error}});
        return;
    }
    this->recorded.clear();
    this->toSend.clear();
    this->nextWindow.reset();
    if (!result.entries.empty()) {
        try {
            this->recorded = decodeRecord(result.entries.front().value);
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "duty-record", {{"error", error.what()}});
        }
    }
    for (const auto &[window, counts] : this->recorded) {
        this->toSend.insert(window);
        this->nextWindow = window + 1;
    }
    this->isRecordLoaded = true;
}

void DutyRunner::reportNext(WallTime wallTime)
{
    if (this->isReporting)
        return;
    if (!this->toSend.empty())
        return this->sendReport(*this->toSend.begin());
    // The first holder of all begins with the window that ran when it took the role.
    if (!this->nextWindow) {
        const std::int64_t first = this->usage.windowAt(wallTime - this->settings.firstReach);
        this->nextWindow = std::min(first, this->firstSaved.value_or(first));
    }
    const std::int64_t window = *this->nextWindow;
    if (wallTime < this->usage.endOf(window) + this->settings.countDelay)
        return;
    // What this holder saw accepted needs no repetition by a successor.
    std::map<std::int64_t, UsageCounts> next;
    next[window] = this->usage.total(window);
    this->isReporting = true;
    this->role.commit({{this->usageKey(), encodeRecord(next), 0}},
                      [this, window, next, alive = std::weak_ptr<bool>(this->alive)](LeaderRole::CommitResult result) {
                          if (alive.expired())
                              return;
                          this->isReporting = false;
                          if (result == LeaderRole::CommitResult::Committed) {
                              this->recorded = next;
                              this->nextWindow = window + 1;
                              this->toSend.insert(window);
                          } else if (result == LeaderRole::CommitResult::Unknown) {
                              // The counts may stand in the store: only what is read there may be sent.
                              this->isRecordLoaded = false;
                          }
                      });
}

void DutyRunner::saveCounts(TimePoint time, WallTime wallTime)
{
    if (this->isSaving || time < this->nextSave)
        return;
    this->nextSave = time + this->settings.saveInterval;
    auto windows = this->usage.all(this->settings.run);
    windows.erase(windows.begin(), windows.lower_bound(this->usage.windowAt(wallTime - this->settings.countDelay)));
    std::string counts = encodeCounts(windows);
    if (counts == this->savedCounts)
        return;
    this->isSaving = true;
    this->role.commit({{this->settings.countsKey, counts, 0}},
                      [this, counts, alive = std::weak_ptr<bool>(this->alive)](LeaderRole::CommitResult result) {
                          if (alive.expired())
                              return;
                          this->isSaving = false;
                          if (result == LeaderRole::CommitResult::Committed)
                              this->savedCounts = counts;
                      });
}

void DutyRunner::sendReport(std::int64_t window)
{
    this->isReporting = true;
    const DutyLease stamp{this->settings.holder, this->role.fencingToken()};
    this->transport.reportUsage(stamp,
                                window,
                                this->recorded[window],
                                [this, window, alive = std::weak_ptr<bool>(this->alive)](DutyResult result) {
                                    if (alive.expired())
                                        return;
                                    this->isReporting = false;
                                    logEvent(LogLevel::Info,
                                             "usage-report",
                                             {{"window", window}, {"accepted", result == DutyResult::Accepted}});
                                    if (result != DutyResult::Unknown)
                                        this->toSend.erase(window);
                                });
}

void DutyRunner::orderNext(TimePoint time)
{
    if (this->isOrdering)
        return;
    for (const UpstreamOrder &order : this->orders) {
        const std::tuple subject(order.service, order.zone, order.isReclaimable);
        const auto last = this->accepted.find(subject);
        if (last != this->accepted.end() && last->second == order.count)
            continue;
        const auto refused = this->refusedOrders.find(subject);
        if (refused != this->refusedOrders.end() && time < refused->second + pauseAfterRefusedOrder)
            continue;
        this->isOrdering = true;
        const DutyLease stamp{this->settings.holder, this->role.fencingToken()};
        this->transport.orderUpstreams(
            stamp, order, [this, order, subject, alive = std::weak_ptr<bool>(this->alive)](DutyResult result) {
                if (alive.expired())
                    return;
                this->isOrdering = false;
                logEvent(LogLevel::Info,
                         "upstream-order",
                         {{"service", order.service},
                          {"zone", order.zone},
                          {"count", order.count},
                          {"reclaimable", order.isReclaimable},
                          {"accepted", result == DutyResult::Accepted}});
                if (result == DutyResult::Accepted)
                    this->accepted[subject] = order.count;
                else
                    this->refusedOrders[subject] = this->now;
                if (result == DutyResult::Refused && this->orderRefused)
                    this->orderRefused(order);
            });
        return;
    }
}

} // namespace hemlock
