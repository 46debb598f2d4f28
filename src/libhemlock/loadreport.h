#pragma once

#include "httpclient.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace hemlock {

/// Path on which a model engine reports its load; any HTTP answer to it shows that an upstream is there.
inline constexpr std::string_view loadPath = "/load";

/// Reads the requests in progress and waiting at "ADDRESS:PORT"; nothing when there is no valid report in time.
void readLoadReport(HttpClient &http,
                    const std::string &address,
                    std::chrono::milliseconds timeout,
                    std::function<void(std::optional<double> load)> done);

} // namespace hemlock
