#pragma once

#include "httpclient.h"
#include "upstream.h"

#include <memory>
#include <string>
#include <string_view>

namespace hemlock {

class UpstreamPool;

/// Header field that carries the attempt identifier in a request to an upstream and in its response.
inline constexpr std::string_view attemptIdField = "X-Attempt-Id";

/// Callbacks of an attempt.
struct AttemptHooks
{
    /// Streams the body of a response with status 200. If not set, the body is part of the outcome passed to done.
    std::function<void(std::string_view bytes)> data;

    /// Called once at the end, unless the attempt is destroyed before. The verdict of the outcome is also NotRun if the
    /// upstream refused the request with status 503 and {"verdict":"not-run"}.
    std::function<void(const HttpOutcome &outcome)> done;
};

/// One HTTP exchange with one upstream. Destroying it aborts the exchange and closes the connection.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(asio::io_context &loop, HttpClient &http, UpstreamPool &pool, Upstream upstream, std::string id);
    ~Attempt();

    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    const std::string &id() const;
    const Upstream &upstream() const;

    /// Sends the call to a path of the upstream; its URL and the attempt identifier are filled in.
    void start(HttpCall call, const std::string &path, AttemptHooks hooks);

    /// Extends the lifetime of an object until the exchange has ended.
    void keepUntilEnd(std::shared_ptr<void> object);

    /// Discards the rest of the response and closes the connection; done is called asynchronously with MayHaveRun and
    /// the reason as its error.
    void reject(const std::string &reason);
    bool isRejected() const;

private:
    void headReceived(int status, const HttpHeaders &headers);
    void dataReceived(std::string_view bytes);
    void finish(HttpOutcome outcome);

    asio::io_context &loop;
    HttpClient &http;
    UpstreamPool &pool;
    Upstream targetUpstream;
    std::string attemptId;
    AttemptHooks hooks;
    std::shared_ptr<void> keptObject;
    HttpClient::CallId callId = 0;
    bool running = false;
    bool rejected = false;
    int status = 0;
    std::string errorBody; ///< Body of a response with a status other than 200.
};

} // namespace hemlock
