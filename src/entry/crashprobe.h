#pragma once

#include "httpclient.h"
#include "upstream.h"

#include <asio.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Tells whether an upstream whose connection broke off has died, by connecting to it again. A link that lost a
/// connection is no crash.
class CrashProbe
{
public:
    CrashProbe(asio::io_context &loop, HttpClient &http);

    /// Calls back later; probes of one upstream that overlap share one connection.
    void start(const Upstream &upstream, std::function<void(bool hasDied)> done);

private:
    void probe(const std::string &address, int triesLeft);
    void finish(const std::string &address, bool hasDied);

    asio::io_context &loop;
    HttpClient &http;
    std::map<std::string, std::vector<std::function<void(bool)>>> waiting; ///< By address.
};

} // namespace hemlock
