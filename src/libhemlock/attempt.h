#pragma once

#include "httpclient.h"
#include "upstream.h"

#include <memory>
#include <string>
#include <string_view>

namespace hemlock {

class UpstreamPool;

/// Field that carries the attempt identifier in a request to an upstream and in its answer.
inline constexpr std::string_view attemptIdField = "X-Attempt-Id";

struct AttemptHooks
{
    /// Bytes of an answer with status 200; without this hook they come with done.
    std::function<void(std::string_view bytes)> data;

    /// Called once unless the attempt is destroyed before. The outcome's verdict is NotRun as well when the upstream
    /// itself refused with {"verdict":"not-run"}.
    std::function<void(const HttpOutcome &outcome)> done;
};

/// One exchange with one upstream. Its destruction ends the exchange and closes the connection.
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(asio::io_context &loop, HttpClient &http, UpstreamPool &pool, Upstream upstream, std::string id);
    ~Attempt();

    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    const std::string &id() const;
    const Upstream &upstream() const;

    /// Sends the call; the address of the upstream and the attempt identifier are added to it.
    void start(HttpCall call, const std::string &path, AttemptHooks hooks);

    /// Keeps an object until the exchange has ended.
    void keepUntilEnd(std::shared_ptr<void> object);

    /// Drops the rest of the answer and closes the connection; done is called later with MayHaveRun.
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
    std::string errorBody; ///< Body of an answer with another status than 200.
};

} // namespace hemlock
