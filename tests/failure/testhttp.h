#pragma once

#include "httpclient.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlock {

/// HTTP client of a test, which runs its own Asio loop while it waits.
class TestHttp
{
public:
    using Pending = std::shared_ptr<std::optional<HttpOutcome>>;

    TestHttp();
    ~TestHttp();

    /// Starts an exchange, which goes on during the waits of this client.
    Pending start(HttpCall call);

    /// Runs the loop until the condition holds; throws std::runtime_error after eventTimeout.
    void waitFor(const std::function<bool()> &condition);

    HttpOutcome wait(const Pending &pending);
    HttpOutcome call(HttpCall call);

    /// POST of a JSON body; the answer must have a 2xx status, otherwise std::runtime_error is thrown.
    nlohmann::json post(const std::string &url, const nlohmann::json &body);

    /// GET of a JSON answer with a 2xx status, otherwise std::runtime_error is thrown.
    nlohmann::json fetch(const std::string &url);

    asio::io_context &loop();
    HttpClient &client();

private:
    asio::io_context context;
    HttpClient http;
};

} // namespace hemlock
