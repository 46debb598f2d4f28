#pragma once

#include "kvaccess.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hemlock {

struct StoreProbeSettings
{
    std::chrono::milliseconds interval{800}; ///< Between an answer and the next question.
};

/// Asks the store something cheap all the time, so that a silent store and its return are noticed early.
class StoreProbe
{
public:
    /// @p failed is called for every question that the store did not answer, @p returned for the first answer after
    /// one.
    StoreProbe(asio::io_context &loop,
               KvAccess kv,
               std::function<void(const std::string &error)> onFailure,
               std::function<void()> onRecovery,
               StoreProbeSettings settings = {});

    void start();

private:
    void sendPing();

    KvAccess kv;
    std::function<void(const std::string &error)> onFailure;
    std::function<void()> onRecovery;
    bool lastPingFailed = false;
    StoreProbeSettings settings;
    asio::steady_timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
