#pragma once

#include "httpclient.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace hemlock {

/// Path of the load report of a model engine; any HTTP response to it shows that the upstream is reachable.
inline constexpr std::string_view loadPath = "/load";

/// Fetches the load report from "ADDRESS:PORT". Calls done with the number of requests in progress and waiting, or
/// with std::nullopt when no valid report arrives before the timeout.
void readLoadReport(HttpClient &http,
                    const std::string &address,
                    std::chrono::milliseconds timeout,
                    std::function<void(std::optional<double> load)> done);

} // namespace hemlock
