#pragma once

#include "httpclient.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlock {

/// HTTP client for tests; runs its own Asio loop while it waits.
class TestHttp
{
public:
    /// Holds the outcome once the exchange has ended.
    using Pending = std::shared_ptr<std::optional<HttpOutcome>>;

    TestHttp();
    ~TestHttp();

    /// Starts an exchange, which makes progress while this client waits.
    Pending start(HttpCall call);

    /// Runs the loop until the condition holds; throws std::runtime_error after eventTimeout.
    void waitFor(const std::function<bool()> &condition);

    HttpOutcome wait(const Pending &pending);
    HttpOutcome call(HttpCall call);

    /// Sends a JSON body with POST; throws std::runtime_error unless the answer has a 2xx status.
    nlohmann::json post(const std::string &url, const nlohmann::json &body);

    /// Reads JSON with GET; throws std::runtime_error unless the answer has a 2xx status.
    nlohmann::json fetch(const std::string &url);

    asio::io_context &loop();
    HttpClient &client();

private:
    asio::io_context context;
    HttpClient http;
};

} // namespace hemlock
