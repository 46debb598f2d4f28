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
    std::string store; ///< "IP:PORT" of the key-value store's stand-in.
    std::string mode; ///< "single": one call per commit; "group": all that wait.
    double rate = 0; ///< Calls per second.
    std::chrono::milliseconds duration{4000};
    std::chrono::milliseconds requestTimeout{2000}; ///< Deadline of each call.
    std::chrono::milliseconds serviceTime{20}; ///< Between dispatch and completion.
    std::chrono::milliseconds outageStart{0};
    std::chrono::milliseconds outageDuration{0}; ///< Length of the store's outage; 0 for none.
    std::size_t segmentBytes = IntentLogSettings{}.segmentBytes;
    std::uint32_t seed = 1;
};

/// Puts calls on an intent log at a fixed mean rate and measures what the log adds to them.
class IntentBenchmark
{
public:
    explicit IntentBenchmark(const IntentBenchmarkSettings &settings);

    /// Runs the load and returns one JSON object per figure.
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
