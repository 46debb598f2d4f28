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
    std::chrono::milliseconds interval{800}; ///< Between an answer and the next ping.
};

/// Pings the store periodically, so that an outage and its end are detected early.
class StoreProbe
{
public:
    /// @p onFailure is called for every ping that the store did not answer, @p onRecovery for the first answer after a
    /// failed ping. Pings are sent only while @p isNeeded returns true.
    StoreProbe(asio::io_context &loop,
               KvAccess kv,
               std::function<void(const std::string &error)> onFailure,
               std::function<void()> onRecovery,
               std::function<bool()> isNeeded,
               StoreProbeSettings settings = {});

    void start();

private:
    void sendPing();

    KvAccess kv;
    std::function<void(const std::string &error)> onFailure;
    std::function<void()> onRecovery;
    std::function<bool()> isNeeded;
    bool lastPingFailed = false;
    StoreProbeSettings settings;
    asio::steady_timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
