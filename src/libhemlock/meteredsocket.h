#pragma once

#include "bufferpool.h"
#include "connectionbudget.h"
#include "requestdecoder.h"

#include <asio.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace hemlock {

class ServerBuffers;

/// Requests and responses in progress of one connection.
struct OpenResponses
{
    int unanswered = 0; ///< Requests that the handler has not answered as a whole.
    int unwritten = 0; ///< Responses that are not written as a whole, with those of unanswered requests.
    std::size_t pendingBytes = 0; ///< Of all responses.
    ConnectionProgress::TimePoint since; ///< End of the latest answer or of the latest write.
};

/// A caller's connection that gives RESTinio only complete requests, and each without its body.
///
/// RESTinio buffers heads and bodies without telling how much of them has arrived, and keeps a record of each chunk.
class MeteredSocket : public asio::ip::tcp::socket
{
public:
    using TimePoint = ConnectionProgress::TimePoint;

    /// A whole request that the server's handler is called for.
    struct Request
    {
        std::shared_ptr<BufferPool::Share> share; ///< Its memory, which counts until this is destroyed.
        std::string body;
    };

    explicit MeteredSocket(asio::io_context &loop);

    /// RESTinio moves a socket before it first reads from it, and not any more afterwards.
    MeteredSocket(MeteredSocket &&) = default;
    MeteredSocket &operator=(MeteredSocket &&) = default;
    ~MeteredSocket();

    // Asio's composed operations pass a part of themselves as buffers and themselves as the handler, in one call. A
    // handler that is taken by value may be moved, with that part, before the buffers are read.

    /// Calls the handler with bytes of a complete request.
    template <class Buffer, class Handler>
    void async_read_some(const Buffer &buffer, Handler &&callerHandler)
    {
        std::decay_t<Handler> handler(std::forward<Handler>(callerHandler));
        if (!this->enter())
            return this->postError(std::move(handler), asio::error::no_buffer_space);
        if (this->hasOutput() || !this->unread.empty()) {
            const auto executor = asio::get_associated_executor(handler);
            return asio::post(executor, [this, buffer, handler = std::move(handler)]() mutable {
                // Closed since.
                if (!this->is_open())
                    return handler(this->isRefused ? asio::error::no_buffer_space : asio::error::operation_aborted, 0);
                const std::string bytes = this->hasOutput() ? std::string() : std::exchange(this->unread, {});
                this->continueReading(buffer, std::move(handler), bytes);
            });
        }
        this->readFromNetwork(buffer, std::move(handler));
    }

    /// Records when part of a response was written.
    template <class Buffers, class Handler>
    void async_write_some(const Buffers &buffers, Handler &&callerHandler)
    {
        std::decay_t<Handler> handler(std::forward<Handler>(callerHandler));
        const auto executor = asio::get_associated_executor(handler);
        asio::ip::tcp::socket::async_write_some(
            buffers,
            asio::bind_executor(executor,
                                [written = this->responses, handler = std::move(handler)](const asio::error_code &error,
                                                                                          std::size_t size) mutable {
                                    written->since = std::chrono::steady_clock::now();
                                    handler(error, size);
                                }));
    }

    void close();

    /// Whether RESTinio has been given the head of a request that was not taken yet.
    bool hasCompleteRequest() const;

    /// Hands over the request whose head RESTinio has just read.
    Request takeRequest();

    const std::shared_ptr<OpenResponses> &openResponses() const;
    ConnectionProgress progress() const;

    /// Sends a response to a request that RESTinio does not understand; it then closes the connection.
    void refuseMalformed();

    /// Closes the connection, after a response if an incomplete request has arrived.
    void refuse(int status, std::string_view code, bool isTemporary);

private:
    template <class Buffer, class Handler>
    void readFromNetwork(const Buffer &buffer, Handler handler)
    {
        const auto executor = asio::get_associated_executor(handler);
        asio::ip::tcp::socket::async_read_some(
            buffer,
            asio::bind_executor(
                executor,
                [this, buffer, handler = std::move(handler)](asio::error_code error, std::size_t size) mutable {
                    // RESTinio would keep a connection whose read was cancelled.
                    if (this->isRefused)
                        error = asio::error::no_buffer_space;
                    if (error)
                        return handler(error, size);
                    this->continueReading(
                        buffer, std::move(handler), std::string_view(static_cast<const char *>(buffer.data()), size));
                }));
    }

    /// Takes received bytes and calls the handler with what there is for RESTinio; without any, reads on.
    template <class Buffer, class Handler>
    void continueReading(const Buffer &buffer, Handler handler, std::string_view bytes)
    {
        if (!bytes.empty() && !this->receive(bytes))
            return handler(asio::error::no_buffer_space, 0);
        if (!this->hasOutput())
            return this->readFromNetwork(buffer, std::move(handler));
        const std::size_t size = this->takeOutput(static_cast<char *>(buffer.data()), buffer.size());
        const ReadingScope scope(*this);
        // The socket may be destroyed by its handler.
        handler(asio::error_code(), size);
    }

    template <class Handler>
    static void postError(Handler handler, asio::error::basic_errors error)
    {
        const auto executor = asio::get_associated_executor(handler);
        asio::post(executor, [handler = std::move(handler), error]() mutable { handler(error, 0); });
    }

    /// Marks the socket as the one whose bytes are being handled.
    class ReadingScope
    {
    public:
        explicit ReadingScope(MeteredSocket &socket);
        ~ReadingScope();

        ReadingScope(const ReadingScope &) = delete;
        ReadingScope &operator=(const ReadingScope &) = delete;

    private:
        ServerBuffers &buffers;
        MeteredSocket *outer;
    };

    /// Registers the connection. Returns false if there is no room for it.
    bool enter();
    void leave();

    /// Takes received bytes up to the end of a request. Returns false if the connection is refused.
    bool receive(std::string_view bytes);
    bool accountForRequest();
    void completeRequest();
    bool hasOutput() const;
    std::size_t takeOutput(char *destination, std::size_t size);

    /// Sends a response to a request that is not passed on, unless another request's response is in progress.
    void writeRefusal(int status, std::string_view code, bool isTemporary);
    void discardReceived();
    std::string callerAddress() const;

    static constexpr std::size_t notRegistered = SIZE_MAX;

    ServerBuffers *buffers;
    std::shared_ptr<BufferPool::Share> request; ///< Memory of the request that is being read.
    std::shared_ptr<OpenResponses> responses; ///< From the first read on.
    RequestDecoder decoder;
    std::string output; ///< Head of a complete request, for RESTinio.
    std::size_t outputPosition = 0; ///< First byte that RESTinio has not read.
    std::string completeBody;
    bool isComplete = false; ///< See hasCompleteRequest().
    std::string unread; ///< Received bytes after the request that RESTinio gets.
    std::size_t index = notRegistered; ///< In the list of open connections.
    std::size_t maxBodyBytes = 0;
    std::size_t receivedBytes = 0; ///< Of the incomplete request.
    std::size_t advancedBytes = 0; ///< Value of receivedBytes at the time of advanced.
    TimePoint since; ///< As in ConnectionProgress, like the next two.
    TimePoint advanced;
    TimePoint received;
    bool hadRequest = false; ///< A request was handed over.
    bool isRefused = false;
};

} // namespace hemlock
