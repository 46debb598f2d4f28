#include "relay/dutyrunner.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds refusedOrderRetryDelay{1500};

/// End of the keys of records of usage reports. Earlier versions kept one record for all windows, at PREFIX/usage.
constexpr std::string_view recordSuffix = "/usage";

/// The store limits the entries of a transaction.
constexpr std::size_t maxRemovedRecords = 16;

/// Reports of a holder, and the era of the store in which it wrote them.
struct ReportRecord
{
    std::int64_t era = 0;
    std::map<std::int64_t, UsageCounts> windows;
};

std::string encodeRecord(const ReportRecord &record)
{
    nlohmann::json windows = nlohmann::json::object();
    for (const auto &[window, counts] : record.windows)
        windows[std::to_string(window)] = counts;
    return nlohmann::json{{"era", record.era}, {"windows", std::move(windows)}}.dump();
}

using RunCounts = std::map<std::int64_t, std::map<std::string, UsageCounts>>;

std::string encodeCounts(const RunCounts &windows)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[window, runs] : windows)
        json[std::to_string(window)] = runs;
    return json.dump();
}

ReportRecord decodeRecord(const std::string &text)
{
    ReportRecord record;
    const auto json = nlohmann::json::parse(text);
    json.at("era").get_to(record.era);
    for (const auto &[window, counts] : json.at("windows").items())
        record.windows[std::stoll(window)] = counts.get<UsageCounts>();
    return record;
}

} // namespace

DutyRunner::DutyRunner(KvAccess kv, DutySettings settings, const RelayTransport &transport, UsageLedger &usage)
    : kv(kv)
    , settings(settings)
    , transport(transport)
    , usage(usage)
    , role(std::move(kv),
           {settings.keyPrefix, settings.holder, settings.leaseTtl, settings.storeEra, settings.isFirstStart})
{
}

void DutyRunner::setEnabledDuties(bool usageReports, bool upstreamOrders)
{
    this->reportsUsage = usageReports;
    this->ordersUpstreams = upstreamOrders;
}

void DutyRunner::setClaimsRole(bool claims)
{
    this->claimsRole = claims;
}

void DutyRunner::updateHolder(const std::string &record)
{
    this->hasHolder = !record.empty();
    this->currentHolder = LeaderRole::holderOf(record);
}

const std::string &DutyRunner::holder() const
{
    return this->currentHolder;
}

void DutyRunner::setWantedOrders(const std::set<UpstreamOrder> &orders)
{
    this->wantedOrders = orders;
}

void DutyRunner::setOrderRefusedHandler(std::function<void(const UpstreamOrder &order)> handler)
{
    this->orderRefused = std::move(handler);
}

bool DutyRunner::isActing(TimePoint at) const
{
    return this->roleHeldSince && this->areRecordsLoaded && at >= *this->roleHeldSince + this->settings.takeoverDelay
        && this->role.isLeaseCurrent(at + this->settings.minLeaseRemaining);
}

void DutyRunner::storeRestored(TimePoint at)
{
    const bool isLastHolder = this->role.storeRestored(at);
    this->knowsAllReports = isLastHolder && this->areRecordsLoaded;
    // A new claim waits for the calls that bear the token of the earlier one.
    this->roleHeldSince.reset();
    this->areRecordsLoaded = false;
    this->savedCounts.clear();
    logEvent(LogLevel::Info,
             "duty-store-restored",
             {{"lastHolder", isLastHolder}, {"knowsAllReports", this->knowsAllReports}});
}

void DutyRunner::tick(TimePoint time, WallTime timeOfDay, double random)
{
    this->now = time;
    this->wallTime = timeOfDay;
    if (!this->reportsUsage && !this->ordersUpstreams)
        return;
    // Claims of other nodes arrive as store changes, so only the holder, or any node while there is none, calls the
    // store. A restored store may still hold the claim of this node.
    if (this->role.isHeld() || this->role.mayReplaceClaim() || (this->claimsRole && !this->hasHolder))
        this->role.tick(time, random);
    if (!this->role.isHeld()) {
        if (this->roleHeldSince)
            logEvent(LogLevel::Warning, "duty-lost", {{"holder", this->settings.holder}});
        this->roleHeldSince.reset();
        this->areRecordsLoaded = false;
        return;
    }
    if (!this->roleHeldSince) {
        this->roleHeldSince = time;
        this->acceptedOrderCounts.clear();
        logEvent(LogLevel::Info,
                 "duty-taken",
                 {{"holder", this->settings.holder}, {"fencingToken", this->role.fencingToken()}});
    }
    if (!this->areRecordsLoaded)
        this->loadRecords();
    if (!this->isActing(time))
        return;
    if (this->reportsUsage) {
        this->reportNextWindow(timeOfDay);
        this->saveCounts(time, timeOfDay);
    }
    if (this->ordersUpstreams)
        this->sendNextOrder(time);
}

std::string DutyRunner::holderKey() const
{
    return this->settings.keyPrefix + "/holder";
}

std::string DutyRunner::recordKey(std::int64_t window) const
{
    return this->settings.keyPrefix + "/reports/" + std::to_string(window) + std::string(recordSuffix);
}

void DutyRunner::loadRecords()
{
    if (std::exchange(this->isLoadingRecords, true))
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
        this->isLoadingRecords = false;
        return;
    }
    this->oldestSavedWindow.reset();
    if (!result.entries.empty()) {
        try {
            const auto json = nlohmann::json::parse(result.entries.front().value);
            for (const auto &[window, runs] : json.items()) {
                const std::int64_t number = std::stoll(window);
                this->oldestSavedWindow = std::min(number, this->oldestSavedWindow.value_or(number));
                for (const auto &[run, counts] : runs.items()) {
                    if (run != this->settings.runId)
                        this->usage.mergePeerCounts(run, {{number, counts.get<UsageCounts>()}});
                }
            }
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "duty-counts", {{"error", error.what()}});
        }
    }
    this->kv.range(this->settings.keyPrefix + "/",
                   true,
                   [this, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &found) {
                       if (!alive.expired())
                           this->recordsLoaded(found);
                   });
}

void DutyRunner::recordsLoaded(const KvRangeResult &result)
{
    this->isLoadingRecords = false;
    if (!this->role.isHeld())
        return;
    if (result.status != KvStatus::Ok) {
        logEvent(LogLevel::Warning, "duty-record", {{"error", result.error}});
        return;
    }
    this->applyRecords(result.entries);
    this->areRecordsLoaded = true;
}

void DutyRunner::applyRecords(const std::vector<KvEntry> &entries)
{
    std::map<std::int64_t, UsageCounts> windows;
    std::int64_t latestEra = 0; ///< Of the record of the latest window.
    this->storedRecords.clear();
    for (const KvEntry &entry : entries) {
        if (!entry.key.ends_with(recordSuffix))
            continue;
        try {
            const ReportRecord record = decodeRecord(entry.value);
            for (const auto &[window, counts] : record.windows) {
                if (windows.empty() || window >= windows.rbegin()->first)
                    latestEra = record.era;
                windows[window] = counts;
                this->storedRecords[window] = entry.key;
            }
        } catch (const std::exception &error) {
            logEvent(LogLevel::Error, "duty-record", {{"key", entry.key}, {"error", error.what()}});
        }
    }
    const bool isOutdated = latestEra < this->role.storeEra();
    if (isOutdated && this->knowsAllReports)
        return;
    const bool isFirstHolder = windows.empty() && !this->oldestSavedWindow;
    this->recordedCounts = std::move(windows);
    this->unsentWindows.clear();
    this->nextWindow.reset();
    for (const auto &[window, counts] : this->recordedCounts) {
        this->unsentWindows.insert(window);
        this->nextWindow = window + 1;
    }
    if (isOutdated && !isFirstHolder)
        this->skipReportableWindows();
}

void DutyRunner::skipReportableWindows()
{
    const std::int64_t first = this->usage.windowAt(this->wallTime - this->settings.peerCountDelay);
    const std::int64_t next = this->nextWindow.value_or(this->oldestSavedWindow.value_or(first));
    this->nextWindow = std::max(first, next);
    logEvent(LogLevel::Warning, "duty-windows-skipped", {{"from", next}, {"count", *this->nextWindow - next}});
}

void DutyRunner::reportNextWindow(WallTime wallTime)
{
    if (this->isReporting)
        return;
    if (!this->unsentWindows.empty())
        return this->sendReport(*this->unsentWindows.begin());
    // Without a record of an earlier holder, starts with the window that was current when this node took the role, or
    // with the oldest window whose counts were saved.
    if (!this->nextWindow) {
        const std::int64_t first = this->usage.windowAt(wallTime - this->settings.initialLookback);
        this->nextWindow = std::min(first, this->oldestSavedWindow.value_or(first));
    }
    if (wallTime >= this->usage.windowEnd(*this->nextWindow) + this->settings.peerCountDelay)
        this->recordWindow(*this->nextWindow);
}

void DutyRunner::recordWindow(std::int64_t window)
{
    // A write that was given up may still be executed, so that a repeated one has the same counts.
    const std::int64_t token = this->role.fencingToken();
    const bool isRepeated =
        this->recordAttempt && this->recordAttempt->window == window && this->recordAttempt->fencingToken == token;
    if (!isRepeated)
        this->recordAttempt = {window, token, this->usage.totalCounts(window)};
    const std::map<std::int64_t, UsageCounts> windowCounts = {{window, this->recordAttempt->counts}};
    KvTxn txn;
    txn.puts = {{this->recordKey(window), encodeRecord({this->role.storeEra(), windowCounts}), 0}};
    // The platform has accepted the earlier windows, so a successor need not repeat them.
    std::vector<std::int64_t> removedWindows;
    for (const auto &[stored, key] : this->storedRecords) {
        if (stored >= window || removedWindows.size() == maxRemovedRecords)
            break;
        removedWindows.push_back(stored);
        txn.deletes.push_back(key);
    }
    txn.isOrderIndependent = true;
    this->isReporting = true;
    this->role.commit(std::move(txn),
                      [this, windowCounts, removedWindows, alive = std::weak_ptr<bool>(this->alive)](
                          LeaderRole::CommitResult result) {
                          if (!alive.expired())
                              this->windowRecorded(windowCounts, removedWindows, result);
                      });
}

void DutyRunner::windowRecorded(const std::map<std::int64_t, UsageCounts> &windowCounts,
                                const std::vector<std::int64_t> &removedWindows,
                                LeaderRole::CommitResult result)
{
    this->isReporting = false;
    // The counts may be in the store already: only what is read from there may be sent.
    if (result == LeaderRole::CommitResult::Unknown)
        this->areRecordsLoaded = false;
    if (result != LeaderRole::CommitResult::Committed)
        return;
    const std::int64_t window = windowCounts.begin()->first;
    this->recordedCounts = windowCounts;
    this->nextWindow = window + 1;
    this->unsentWindows.insert(window);
    for (const std::int64_t removed : removedWindows)
        this->storedRecords.erase(removed);
    this->storedRecords[window] = this->recordKey(window);
}

void DutyRunner::saveCounts(TimePoint time, WallTime wallTime)
{
    if (this->isSaving || time < this->nextSave)
        return;
    this->nextSave = time + this->settings.saveInterval;
    auto windows = this->usage.allCounts(this->settings.runId);
    windows.erase(windows.begin(), windows.lower_bound(this->usage.windowAt(wallTime - this->settings.peerCountDelay)));
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
    const DutyLease lease{this->settings.holder, this->role.fencingToken()};
    this->transport.reportUsage(lease,
                                window,
                                this->recordedCounts[window],
                                [this, window, alive = std::weak_ptr<bool>(this->alive)](DutyResult result) {
                                    if (alive.expired())
                                        return;
                                    this->isReporting = false;
                                    logEvent(LogLevel::Info,
                                             "usage-report",
                                             {{"window", window}, {"accepted", result == DutyResult::Accepted}});
                                    if (result != DutyResult::Unknown)
                                        this->unsentWindows.erase(window);
                                });
}

void DutyRunner::sendNextOrder(TimePoint time)
{
    if (this->isOrdering)
        return;
    for (const UpstreamOrder &order : this->wantedOrders) {
        const std::tuple orderKey(order.service, order.zone, order.isReclaimable);
        const auto last = this->acceptedOrderCounts.find(orderKey);
        if (last != this->acceptedOrderCounts.end() && last->second == order.count)
            continue;
        const auto refused = this->refusedAt.find(orderKey);
        if (refused != this->refusedAt.end() && time < refused->second + refusedOrderRetryDelay)
            continue;
        this->isOrdering = true;
        const DutyLease lease{this->settings.holder, this->role.fencingToken()};
        this->transport.orderUpstreams(
            lease, order, [this, order, orderKey, alive = std::weak_ptr<bool>(this->alive)](DutyResult result) {
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
                    this->acceptedOrderCounts[orderKey] = order.count;
                else
                    this->refusedAt[orderKey] = this->now;
                if (result == DutyResult::Refused && this->orderRefused)
                    this->orderRefused(order);
            });
        return;
    }
}

} // namespace hemlock
