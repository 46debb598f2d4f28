#pragma once

#include "httpclient.h"
#include "upstream.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Distinguishes a crashed upstream from a network failure by reconnecting to an upstream whose connection was lost.
class CrashProbe
{
public:
    CrashProbe(asio::io_context &loop, HttpClient &http);

    /// Probes the upstream asynchronously. Concurrent probes of one upstream share a connection.
    void start(const Upstream &upstream, std::function<void(bool hasDied)> done);

private:
    void probe(const std::string &address, int triesLeft);
    void finish(const std::string &address, bool hasDied);

    asio::io_context &loop;
    HttpClient &http;
    std::map<std::string, std::vector<std::function<void(bool)>>>
        waiting; ///< Callbacks of the running probes, by address.
};

} // namespace hemlock
