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

/// Answers one request, whole or as a stream. Used on the server's Asio loop only.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void reply(int status, const HttpHeaders &headers, std::string body) = 0;

    virtual void beginStream(int status, const HttpHeaders &headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void endStream() = 0;

    /// Closes the connection without the rest of the answer, so that the caller sees that it is incomplete.
    virtual void abort() = 0;

    /// Bytes handed to write() that the connection has not taken yet.
    virtual std::size_t pendingBytes() const = 0;

    virtual bool isConnected() const = 0;

    /// Called once when the caller's connection closes before the answer is complete.
    virtual void setDisconnectHook(std::function<void()> hook) = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;
using HttpHandler = std::function<void(HttpRequest, HttpResponderPtr)>;

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 asks the system for a free port.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxConnections = 20000;
    std::chrono::seconds readTimeout{30}; ///< For one whole request, and for an idle connection.
    std::chrono::seconds handleTimeout{3600}; ///< Between a request and the end of its answer.
};

/// HTTP/1.1 server on an Asio loop, by RESTinio.
class HttpServer
{
public:
    HttpServer(asio::io_context &loop, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();

    /// Starts to listen and returns "ADDRESS:PORT". Throws std::system_error when the address cannot be bound.
    std::string start();

    /// Stops accepting connections; requests in progress go on.
    void stopAccepting();

    /// While draining, each answer closes its connection.
    void setDraining(bool draining);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace hemlock
