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

struct IntentLoadSettings
{
    std::string store; ///< "IP:PORT" of the key-value store's stand-in.
    std::string mode; ///< "single": one call per commit; "group": all that wait.
    double rate = 0; ///< Calls per second.
    std::chrono::milliseconds duration{4000};
    std::chrono::milliseconds timeLeft{2000}; ///< Deadline of each call.
    std::chrono::milliseconds serviceTime{20}; ///< Between dispatch and completion.
    std::chrono::milliseconds outageStart{0};
    std::chrono::milliseconds outage{0}; ///< Length of the store's outage; 0 for none.
    std::size_t segmentBytes = IntentLogSettings{}.segmentBytes;
    std::uint32_t seed = 1;
};

/// Puts calls on an intent log at a fixed mean rate and measures what the log adds to them.
class IntentLoad
{
public:
    explicit IntentLoad(const IntentLoadSettings &settings);

    /// Runs the load and returns one JSON object per figure.
    std::vector<nlohmann::json> run();

private:
    struct Decision
    {
        std::chrono::steady_clock::time_point submitted;
        std::chrono::steady_clock::time_point decided;
        bool isRefused = false;
    };

    void after(std::chrono::steady_clock::duration delay, std::function<void()> expired);
    void planArrival();
    void submit();
    void setOutage(bool isOut);
    nlohmann::json fetchStats();
    void runUntil(const std::function<bool()> &condition);
    nlohmann::json figure(const std::string &name, double value, const std::string &unit) const;
    std::vector<nlohmann::json> figures(const nlohmann::json &before, const nlohmann::json &after) const;
    double quantile(double share) const;
    double recoveryMs() const;

    IntentLoadSettings settings;
    asio::io_context loop;
    HttpClient http;
    KvClient store;
    std::unique_ptr<IntentLog> log;
    std::mt19937 generator;
    std::chrono::steady_clock::time_point nextArrival;
    std::chrono::steady_clock::time_point end;
    std::chrono::steady_clock::time_point outageEnd;
    std::size_t submitted = 0;
    std::vector<Decision> decisions;
};

} // namespace hemlock
