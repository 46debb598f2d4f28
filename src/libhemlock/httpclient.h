#pragma once

#include "answerframing.h"
#include "httpmessage.h"
#include "verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace hemlock {

class BufferPool;

/// Adds "http://" to an endpoint of the form "ADDRESS:PORT"; returns a URL unchanged.
std::string endpointUrl(const std::string &endpoint);

/// Request to an HTTP server with the options of its exchange.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string target; ///< Request target, sent verbatim; when empty, it is taken from the URL.
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{2000};
    std::chrono::milliseconds timeout{0}; ///< Limit of the whole exchange; 0 means none.
    bool forcesNewConnection = false; ///< Opens a new connection instead of reusing an idle one.
    bool closesConnection = false; ///< Closes the connection afterwards instead of keeping it for reuse.
    bool omitsDefaultHeaders = false; ///< Omits the Accept and Content-Type fields that libcurl adds by default.
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024; ///< Without a data hook, a longer body fails the call.
    /// Bounds the fields and the buffered body together with those of other answers; unset for no common bound.
    std::shared_ptr<BufferPool> buffers;
    std::chrono::seconds maxIdleTime{0}; ///< Connections idle for longer are not reused; 0 uses libcurl's default.
    std::shared_ptr<const std::string> sharedBody; ///< Sent in place of body, without a copy; unset to send body.

    const std::string &sentBody() const
    {
        return this->sharedBody ? *this->sharedBody : this->body;
    }
};

/// Reason why no complete response arrived.
enum class HttpFailure {
    None,
    Connect, ///< No connection could be established.
    Timeout,
    Broken, ///< The connection closed early, the response is malformed, or it exceeds a limit of its size.
};

/// Result of an exchange.
struct HttpOutcome
{
    /// NotRun: no byte of the request was sent. Ran: a complete response arrived, as AnswerFraming has shown.
    /// MayHaveRun: anything else.
    Verdict verdict = Verdict::NotRun;
    int status = 0; ///< HTTP status; 0 when no response head arrived.
    HttpHeaders headers;
    std::string body; ///< Empty when the call has a data hook.
    BodyEnd bodyEnd = BodyEnd::Unknown; ///< Unknown if no complete head of a final answer arrived.
    std::uint64_t bodyBytes = 0; ///< Bytes of the body that arrived.
    HttpFailure failure = HttpFailure::None;
    bool isRejected = false; ///< This client broke the answer off, as it was too long or not sound.
    std::string error; ///< Error message; empty when a complete response arrived.

    bool isComplete() const
    {
        return this->verdict == Verdict::Ran;
    }
};

/// Callbacks of a call, run on the client's Asio loop. Only done is required.
struct HttpCallHooks
{
    std::function<void(int status, const HttpHeaders &headers)> head;
    std::function<void(std::string_view bytes)> data;
    std::function<void(const HttpOutcome &outcome)> done;
    /// Called when the connection is established, before the first byte of the request is written.
    std::function<void()> sending;
    /// Called after cancel() has closed the connection, with the number of sent bytes that the peer had not
    /// acknowledged; nullopt when the exchange had no connection or the system cannot report the number.
    std::function<void(std::optional<std::size_t> unsentBytes)> closed;
};

/// HTTP/1.1 client on an Asio loop, based on libcurl's multi interface.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    explicit HttpClient(asio::io_context &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange. Its hooks run later, never from within this function.
    CallId start(HttpCall call, HttpCallHooks hooks);

    /// Aborts an exchange and closes its connection. Of its hooks, only closed is called afterwards.
    void cancel(CallId id);

    /// Large enough for one idle connection to each upstream that a VM knows.
    static constexpr std::size_t defaultMaxConnections = 1024;

    /// Limits the connections that are kept open, defaultMaxConnections unless it is set. Above it, those that have
    /// been idle for longest are closed; calls in progress are not limited.
    void setMaxConnections(std::size_t count);

    /// Bytes of a call's request that were written to the connection and that the peer has not acknowledged; nullopt
    /// when the exchange has no connection or has ended.
    std::optional<std::size_t> unacknowledgedBytes(CallId id) const;

    /// Number of answers that were broken off because they were too long or not sound.
    std::uint64_t brokenOffAnswers() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
