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

/// Asks the store something cheap all the time, so that waiting reads may wait long and a silent store is noticed all
/// the same.
class StoreProbe
{
public:
    /// @p failed is called for every question that the store did not answer.
    StoreProbe(asio::io_context &loop,
               KvAccess kv,
               std::function<void(const std::string &error)> failed,
               StoreProbeSettings settings = {});

    void start();

private:
    void ask();

    KvAccess kv;
    std::function<void(const std::string &error)> failed;
    StoreProbeSettings settings;
    asio::steady_timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
