#pragma once

#include "kvaccess.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hemlock {

struct StoreProbeSettings
{
    std::chrono::milliseconds interval{800}; ///< Between an answer and the next ping.
    /// Between two pings of a store that did not answer; the earlier ones may still be in progress.
    std::chrono::milliseconds retryInterval{250};
};

/// Pings the store periodically, so that an outage and its end are detected early.
class StoreProbe
{
public:
    /// @p onFailure is called for every ping that the store did not answer, unless it answered a later one. @p
    /// onRecovery is called for the first answer after a failed ping. Pings are sent only while @p isNeeded returns
    /// true.
    StoreProbe(asio::io_context &loop,
               KvAccess kv,
               std::function<void(const std::string &error)> onFailure,
               std::function<void()> onRecovery,
               std::function<bool()> isNeeded,
               StoreProbeSettings settings = {});

    void start();

private:
    void scheduleNext();
    void sendPing();
    void pingDone(std::uint64_t ping, KvStatus status, const std::string &error);

    KvAccess kv;
    std::function<void(const std::string &error)> onFailure;
    std::function<void()> onRecovery;
    std::function<bool()> isNeeded;
    bool lastPingFailed = false;
    std::uint64_t sentPings = 0;
    std::uint64_t latestAnswered = 0; ///< Number of the latest ping that was answered.
    StoreProbeSettings settings;
    asio::steady_timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
