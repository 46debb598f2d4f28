#pragma once

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

/// URL without a path of "ADDRESS:PORT" or of a URL.
std::string endpointUrl(const std::string &endpoint);

/// One request to an HTTP server.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string target; ///< Request target sent as it is; empty for that of the URL.
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{2000};
    std::chrono::milliseconds timeout{0}; ///< For the whole exchange; 0 means no limit.
    bool forcesNewConnection = false; ///< No idle connection is used.
    bool closesConnection = false; ///< The connection is not kept for later calls.
    bool omitsDefaultHeaders = false; ///< Without the fields that libcurl adds by itself.
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024; ///< A longer body that is collected is broken off.
    std::chrono::seconds maxIdleTime{0}; ///< An older idle connection is not used; 0 leaves it to libcurl.
};

/// Why no whole response arrived.
enum class HttpFailure {
    None,
    Connect, ///< No connection could be made.
    Timeout,
    Broken, ///< The connection ended, or carried something else than a response or more than is collected.
};

/// How an exchange ended.
struct HttpOutcome
{
    /// NotRun: no byte of the request was sent. Ran: a whole response arrived. MayHaveRun: anything else.
    Verdict verdict = Verdict::NotRun;
    int status = 0; ///< HTTP status, 0 when no response head arrived.
    HttpHeaders headers;
    std::string body; ///< Empty when the call has a data hook.
    HttpFailure failure = HttpFailure::None;
    std::string error; ///< Empty when a whole response arrived.

    bool isComplete() const
    {
        return this->verdict == Verdict::Ran;
    }
};

/// Called on the client's Asio loop; only done is required.
struct HttpCallHooks
{
    std::function<void(int status, const HttpHeaders &headers)> head;
    std::function<void(std::string_view bytes)> data;
    std::function<void(const HttpOutcome &outcome)> done;
    /// The connection is made and the first byte of the request is about to be written.
    std::function<void()> sending;
    /// After a cancel: the connection was closed, with so many bytes that the peer had not acknowledged; none where the
    /// exchange had no connection or the system does not tell.
    std::function<void(std::optional<std::size_t> unsentBytes)> closed;
};

/// HTTP/1.1 client on an Asio loop, by libcurl's multi interface.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    explicit HttpClient(asio::io_context &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts an exchange; its hooks run later, never from within this function.
    CallId start(HttpCall call, HttpCallHooks hooks);

    /// Ends an exchange and closes its connection; of its hooks only closed is called any more.
    void cancel(CallId id);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
