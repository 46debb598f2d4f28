#pragma once

#include "httpclient.h"
#include "intentlog.h"
#include "kvclient.h"

#include <asio.hpp>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

struct IntentBenchmarkSettings
{
    std::string store; ///< "IP:PORT" of the stand-in for the key-value store.
    std::string mode; ///< "single": one call per commit; "group": all waiting calls in one commit.
    double rate = 0; ///< Mean number of calls per second.
    std::chrono::milliseconds duration{4000};
    std::chrono::milliseconds requestTimeout{2000}; ///< Time from the submission of a call to its deadline.
    std::chrono::milliseconds serviceTime{20}; ///< Time between dispatch and completion of a call.
    std::chrono::milliseconds outageStart{0}; ///< Time from the start of the load to the outage.
    std::chrono::milliseconds outageDuration{0}; ///< Length of the store's outage; 0 for none.
    std::size_t segmentBytes = IntentLogSettings{}.segmentBytes;
    std::uint32_t seed = 1;
};

/// Submits calls to an intent log at a fixed mean rate and measures the latency and the store writes that it adds.
class IntentBenchmark
{
public:
    explicit IntentBenchmark(const IntentBenchmarkSettings &settings);

    /// Runs the benchmark and returns one JSON object per measurement.
    std::vector<nlohmann::json> run();

private:
    struct Decision
    {
        std::chrono::steady_clock::time_point submitted;
        std::chrono::steady_clock::time_point decided;
        bool isRefused = false;
    };

    void runAfter(std::chrono::steady_clock::duration delay, std::function<void()> callback);
    void scheduleArrival();
    void submit();
    void setOutage(bool isActive);
    nlohmann::json fetchStats();
    void runUntil(const std::function<bool()> &condition);
    nlohmann::json measurement(const std::string &name, double value, const std::string &unit) const;
    std::vector<nlohmann::json> measurements(const nlohmann::json &statsBefore, const nlohmann::json &statsAfter) const;
    double latencyQuantile(double probability) const;
    double recoveryMs() const;

    IntentBenchmarkSettings settings;
    asio::io_context loop;
    HttpClient http;
    KvClient store;
    std::unique_ptr<IntentLog> log;
    std::mt19937 randomEngine;
    std::chrono::steady_clock::time_point nextArrival;
    std::chrono::steady_clock::time_point endTime;
    std::chrono::steady_clock::time_point outageEnd;
    std::size_t submitted = 0;
    std::vector<Decision> decisions;
};

} // namespace hemlock
