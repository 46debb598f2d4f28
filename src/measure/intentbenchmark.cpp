#include "intentbenchmark.h"

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
constexpr std::chrono::milliseconds releaseTimeout{3000};

double toMilliseconds(steady_clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

IntentBenchmark::IntentBenchmark(const IntentBenchmarkSettings &settings)
    : settings(settings)
    , http(loop)
    , store(http, "http://" + settings.store, storeTimeout)
    , randomEngine(settings.seed)
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

void IntentBenchmark::runAfter(steady_clock::duration delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code &error) {
        if (!error)
            callback();
    });
}

void IntentBenchmark::runUntil(const std::function<bool()> &condition)
{
    while (!condition())
        this->loop.run_one();
}

json IntentBenchmark::fetchStats()
{
    std::optional<HttpOutcome> outcome;
    HttpCall call;
    call.url = "http://" + this->settings.store + "/stats";
    this->http.start(call, {{}, {}, [&outcome](const HttpOutcome &done) { outcome = done; }});
    this->runUntil([&outcome] { return outcome.has_value(); });
    if (outcome->status != 200)
        throw std::runtime_error("the stand-in for the store returned no statistics: " + outcome->error);
    return json::parse(outcome->body);
}

void IntentBenchmark::setOutage(bool isActive)
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->settings.store + "/faults";
    call.body = json{{"outage", isActive}}.dump();
    this->http.start(call, {{}, {}, [](const HttpOutcome &) {}});
    if (!isActive)
        this->outageEnd = steady_clock::now();
}

void IntentBenchmark::scheduleArrival()
{
    const double gap = std::exponential_distribution<>(this->settings.rate)(this->randomEngine);
    // Arrival times do not depend on delays of the event loop, so that an overloaded log cannot reduce the load.
    this->nextArrival += std::chrono::duration_cast<steady_clock::duration>(std::chrono::duration<double>(gap));
    this->runAfter(this->nextArrival - steady_clock::now(), [this] {
        if (this->nextArrival >= this->endTime)
            return;
        this->scheduleArrival();
        this->submit();
    });
}

void IntentBenchmark::submit()
{
    IntentRequest request;
    request.clientAccount = "account";
    request.key = "key-" + std::to_string(this->submitted++);
    request.bodySha256 = sha256Hex(request.key);
    request.requestId = request.key;
    const auto now = steady_clock::now();
    request.deadline = now + this->settings.requestTimeout;
    this->log->submit(request, [this, request, now](const IntentDecision &decision) {
        const bool isRefused = decision.action != IntentAction::Dispatch;
        this->decisions.push_back({now, steady_clock::now(), isRefused});
        if (isRefused)
            return;
        this->runAfter(this->settings.serviceTime, [this, request] {
            this->log->complete(request, Verdict::Ran, {200, "application/json", std::string(200, 'x')});
        });
    });
}

std::vector<json> IntentBenchmark::run()
{
    // All slots are claimed before the measurement starts, since an owner keeps its slots for a long time.
    const auto allOwned = [this] { return this->log->ownedSlotCount() == IntentLogSettings{}.slotCount; };
    while (!allOwned()) {
        const std::size_t expected = this->decisions.size() + 1;
        this->submit();
        this->runUntil([this, expected] { return this->decisions.size() >= expected; });
    }
    this->decisions.clear();
    const std::size_t warmUpSubmissions = this->submitted;
    const json statsBefore = this->fetchStats();

    this->nextArrival = steady_clock::now();
    this->endTime = this->nextArrival + this->settings.duration;
    this->scheduleArrival();
    if (this->settings.outageDuration.count() > 0) {
        this->runAfter(this->settings.outageStart, [this] { this->setOutage(true); });
        this->runAfter(this->settings.outageStart + this->settings.outageDuration, [this] { this->setOutage(false); });
    }
    this->runUntil([this, warmUpSubmissions] {
        return steady_clock::now() >= this->endTime && this->decisions.size() == this->submitted - warmUpSubmissions;
    });
    bool isReleased = false;
    this->log->release(releaseTimeout, [&isReleased] { isReleased = true; });
    this->runUntil([&isReleased] { return isReleased; });
    return this->measurements(statsBefore, this->fetchStats());
}

json IntentBenchmark::measurement(const std::string &name, double value, const std::string &unit) const
{
    return {{"figure", "intents." + name},
            {"mode", this->settings.mode},
            {"rate", this->settings.rate},
            {"segmentBytes", this->settings.segmentBytes},
            {"outageMs", this->settings.outageDuration.count()},
            {"seed", this->settings.seed},
            {"value", value},
            {"unit", unit}};
}

double IntentBenchmark::latencyQuantile(double probability) const
{
    std::vector<double> latencies;
    for (const Decision &decision : this->decisions) {
        if (!decision.isRefused)
            latencies.push_back(toMilliseconds(decision.decided - decision.submitted));
    }
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(probability * static_cast<double>(latencies.size() - 1))];
}

double IntentBenchmark::recoveryMs() const
{
    // Time until the last call that was submitted before the end of the outage is decided.
    auto lastDecided = this->outageEnd;
    for (const Decision &decision : this->decisions) {
        if (decision.submitted < this->outageEnd && !decision.isRefused)
            lastDecided = std::max(lastDecided, decision.decided);
    }
    return toMilliseconds(lastDecided - this->outageEnd);
}

std::vector<json> IntentBenchmark::measurements(const json &statsBefore, const json &statsAfter) const
{
    const auto increase = [&](const char *name) {
        return statsAfter.at(name).get<double>() - statsBefore.at(name).get<double>();
    };
    const double calls = std::max<double>(1, static_cast<double>(this->decisions.size()));
    const auto refusedCalls = std::count_if(
        this->decisions.begin(), this->decisions.end(), [](const Decision &decision) { return decision.isRefused; });
    const IntentLogStats &stats = this->log->stats();
    const double commits = std::max<double>(1, static_cast<double>(stats.commits));
    std::vector<json> results = {
        this->measurement("calls", calls, "calls"),
        this->measurement("writes-per-call", increase("writes") / calls, "writes/call"),
        this->measurement("store-refusals-per-call", increase("refused") / calls, "refusals/call"),
        this->measurement("latency-median", this->latencyQuantile(0.5), "ms"),
        this->measurement("latency-p99", this->latencyQuantile(0.99), "ms"),
        this->measurement("refused-share", static_cast<double>(refusedCalls) / calls, "share"),
        this->measurement("bytes-per-commit", static_cast<double>(stats.committedBytes) / commits, "bytes"),
    };
    if (this->settings.outageDuration.count() > 0)
        results.push_back(this->measurement("recovery", this->recoveryMs(), "ms"));
    return results;
}

} // namespace hemlock
