#pragma once

#include "httpmessage.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace hemlock {

class BufferPool;

/// Sends the response to one request, either whole or as a stream. Must be used on the server's Asio loop only.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void reply(int status, const HttpHeaders &headers, std::string body) = 0;

    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void endStream() = 0;

    /// Closes the connection without completing the response, so that the caller can tell that it is incomplete.
    virtual void abort() = 0;

    /// Bytes passed to write() that have not been written to the socket yet.
    virtual std::size_t pendingBytes() const = 0;

    virtual bool isConnected() const = 0;

    /// Sets a hook that is called once if the caller's connection closes before the response is complete.
    virtual void setDisconnectHook(std::function<void()> hook) = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;
using HttpHandler = std::function<void(HttpRequest, HttpResponderPtr)>;

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 lets the system choose a free port.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxConnections = 20000;
    std::size_t maxWaitingConnections = 0; ///< That are not accepted yet; 0 for the limit of the system.
    std::chrono::seconds readTimeout{30}; ///< Limit for reading one request, and for an idle connection.
    std::chrono::seconds handleTimeout{3600}; ///< Limit from a request to the end of its response.
};

/// Receive buffer of a caller's connection if there is a limit of the memory, in bytes. The kernel doubles the value.
inline constexpr int callerReceiveBufferBytes = 32 * 1024;

/// Limits for the callers of all servers on a loop together.
struct IncomingLimits
{
    std::size_t memoryBytes = 0; ///< For connections, requests and responses; 0 for no limit that follows from it.
    std::size_t maxConnections = 0; ///< 0 for no limit.
    std::size_t maxHeadBytes = 0; ///< For a head, its trailer and empty lines before it; 0 for that of http_parser.
    std::chrono::milliseconds headTimeout{0}; ///< From the first byte of a head to its end; 0 for no limit.
    std::size_t maxBodyBytes = 0; ///< 0 for that of the server's settings alone.
    std::chrono::milliseconds bodyTimeout{0}; ///< Between two reads of a body; 0 for no limit.
};

/// Connections and requests that were refused since the start, of all servers on a loop.
struct RefusedCallers
{
    std::uint64_t largeHeads = 0; ///< Answered 431.
    std::uint64_t slowHeads = 0; ///< Answered 408.
    std::uint64_t largeBodies = 0; ///< Answered 413.
    std::uint64_t slowBodies = 0; ///< Answered 408.
    std::uint64_t stalledConnections = 0; ///< Closed for others that advance.
    std::uint64_t closedConnections = 0; ///< Closed because all together exceeded a limit.
};

/// HTTP/1.1 server on an Asio loop, based on RESTinio.
class HttpServer
{
public:
    HttpServer(asio::io_context &loop, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();

    /// Starts listening and returns "ADDRESS:PORT". Throws std::system_error when the address cannot be bound.
    std::string start();

    /// Stops accepting connections; requests in progress continue.
    void stopAccepting();

    /// While draining, every response closes its connection.
    void setDraining(bool draining);

    /// Number of requests whose response has not been written to the socket as a whole.
    std::size_t openResponses() const;

    /// Limits the callers of all servers on the loop. A limit of the memory applies to servers that start afterwards.
    void setLimits(const IncomingLimits &limits);

    const RefusedCallers &refusedCallers() const;

    /// Number of open connections, of all servers on the loop.
    std::size_t openConnections() const;

    /// Bytes of requests and responses in progress, of all servers on the loop.
    const BufferPool &buffers() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace hemlock
