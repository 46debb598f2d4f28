#include "intentload.h"

#include "encoding.h"
#include "intenthooks.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::seconds storeTimeout{5};
constexpr std::chrono::milliseconds releaseLimit{3000};

double milliseconds(steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

IntentLoad::IntentLoad(const IntentLoadSettings &settings)
    : settings(settings)
    , http(loop)
    , store(http, "http://" + settings.store, storeTimeout)
    , generator(settings.seed)
{
    IntentLogSettings logSettings;
    logSettings.instance = makeUniqueId();
    logSettings.address = "127.0.0.1:1";
    logSettings.segmentBytes = settings.segmentBytes;
    if (settings.mode == "single") {
        logSettings.commitsSingly = true;
        logSettings.commitInterval = std::chrono::milliseconds(0);
    }
    this->log = std::make_unique<IntentLog>(logSettings, makeIntentLogHooks(this->loop, this->store));
}

void IntentLoad::after(steady_clock::duration delay, std::function<void()> expired)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, expired = std::move(expired)](const asio::error_code &error) {
        if (!error)
            expired();
    });
}

void IntentLoad::runUntil(const std::function<bool()> &condition)
{
    while (!condition())
        this->loop.run_one();
}

json IntentLoad::fetchStats()
{
    std::optional<HttpOutcome> outcome;
    HttpCall call;
    call.url = "http://" + this->settings.store + "/stats";
    this->http.start(call, {{}, {}, [&outcome](const HttpOutcome &done) { outcome = done; }});
    this->runUntil([&outcome] { return outcome.has_value(); });
    if (outcome->status != 200)
        throw std::runtime_error("the store's stand-in gave no statistics: " + outcome->error);
    return json::parse(outcome->body);
}

void IntentLoad::setOutage(bool isOut)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->settings.store + "/faults";
    call.body = json{{"outage", isOut}}.dump();
    this->http.start(call, {{}, {}, [](const HttpOutcome &) {}});
    if (!isOut)
        this->outageEnd = steady_clock::now();
}

void IntentLoad::planArrival()
{
    const double gap = std::exponential_distribution<>(this->settings.rate)(this->generator);
    // Arrivals keep their times when the loop is late, so that an overloaded log cannot slow the load down.
    this->nextArrival += std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(gap));
    this->after(this->nextArrival - steady_clock::now(), [this] {
        if (this->nextArrival >= this->end)
            return;
        this->planArrival();
        this->submit();
    });
}

void IntentLoad::submit()
{
    IntentRequest request;
    request.clientAccount = "account";
    request.key = "key-" + std::to_string(this->submitted++);
    request.bodySha256 = sha256Hex(request.key);
    request.requestId = request.key;
    const auto now = steady_clock::now();
    request.deadline = now + this->settings.timeLeft;
    this->log->submit(request, [this, request, now](const IntentDecision &decision) {
        const bool isRefused = decision.action != IntentAction::Dispatch;
        this->decisions.push_back({now, steady_clock::now(), isRefused});
        if (isRefused)
            return;
        this->after(this->settings.serviceTime, [this, request] {
            this->log->complete(request, Verdict::Ran, {200, "application/json", std::string(200, 'x')});
        });
    });
}

std::vector<json> IntentLoad::run()
{
    // Slots are claimed before the measurement, since an owner keeps its slots for long.
    const auto allOwned = [this] { return this->log->ownedSlotCount() == IntentLogSettings{}.slotCount; };
    while (!allOwned()) {
        const std::size_t expected = this->decisions.size() + 1;
        this->submit();
        this->runUntil([this, expected] { return this->decisions.size() >= expected; });
    }
    this->decisions.clear();
    const std::size_t warmUp = this->submitted;
    const json before = this->fetchStats();

    this->nextArrival = steady_clock::now();
    this->end = this->nextArrival + this->settings.duration;
    this->planArrival();
    if (this->settings.outage.count() > 0) {
        this->after(this->settings.outageStart, [this] { this->setOutage(true); });
        this->after(this->settings.outageStart + this->settings.outage, [this] { this->setOutage(false); });
    }
    this->runUntil([this, warmUp] {
        return steady_clock::now() >= this->end && this->decisions.size() == this->submitted - warmUp;
    });
    bool isReleased = false;
    this->log->release(releaseLimit, [&isReleased] { isReleased = true; });
    this->runUntil([&isReleased] { return isReleased; });
    return this->figures(before, this->fetchStats());
}

json IntentLoad::figure(const std::string &name, double value, const std::string &unit) const
{
    return {{"figure", "intents." + name},
            {"mode", this->settings.mode},
            {"rate", this->settings.rate},
            {"segmentBytes", this->settings.segmentBytes},
            {"outageMs", this->settings.outage.count()},
            {"seed", this->settings.seed},
            {"value", value},
            {"unit", unit}};
}

double IntentLoad::quantile(double share) const
{
    std::vector<double> latencies;
    for (const Decision &decision : this->decisions) {
        if (!decision.isRefused)
            latencies.push_back(milliseconds(decision.decided - decision.submitted));
    }
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1))];
}

double IntentLoad::recoveryMs() const
{
    // Until the last call that was sent before the end of the outage is decided.
    auto last = this->outageEnd;
    for (const Decision &decision : this->decisions) {
        if (decision.submitted < this->outageEnd && !decision.isRefused)
            last = std::max(last, decision.decided);
    }
    return milliseconds(last - this->outageEnd);
}

std::vector<json> IntentLoad::figures(const json &before, const json &after) const
{
    const auto grown = [&](const char *name) { return after.at(name).get<double>() - before.at(name).get<double>(); };
    const double calls = std::max<double>(1, static_cast<double>(this->decisions.size()));
    const auto refused = std::count_if(
        this->decisions.begin(), this->decisions.end(), [](const Decision &decision) { return decision.isRefused; });
    const IntentLogStats &stats = this->log->stats();
    const double commits = std::max<double>(1, static_cast<double>(stats.commits));
    std::vector<json> all = {
        this->figure("calls", calls, "calls"),
        this->figure("writes-per-call", grown("writes") / calls, "writes/call"),
        this->figure("store-refusals-per-call", grown("refused") / calls, "refusals/call"),
        this->figure("latency-median", this->quantile(0.5), "ms"),
        this->figure("latency-p99", this->quantile(0.99), "ms"),
        this->figure("refused-share", static_cast<double>(refused) / calls, "share"),
        this->figure("bytes-per-commit", static_cast<double>(stats.committedBytes) / commits, "bytes"),
    };
    if (this->settings.outage.count() > 0)
        all.push_back(this->figure("recovery", this->recoveryMs(), "ms"));
    return all;
}

} // namespace hemlock
