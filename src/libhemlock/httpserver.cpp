#include "httpserver.h"

#include "bufferpool.h"
#include "connectionbudget.h"
#include "logger.h"
#include "requestscanner.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <unordered_map>
#include <vector>

#include <sys/socket.h>

namespace hemlock {

namespace {

class Responder;

/// Bytes that the requests and responses of all servers on a loop may take together. RESTinio holds a request twice,
/// and an attempt that relays it once more.
constexpr std::size_t bufferCapacity = std::size_t{32} * 1024 * 1024;

/// Time after which a caller may repeat a request that found no room.
constexpr std::string_view retryAfterSeconds = "1";

/// Share of the memory of a process for connections, requests and responses of callers. The rest is for the process
/// itself (15 MB), answers of upstreams, and copies of the requests that are relayed.
constexpr double callerMemoryShare = 0.35;

/// Memory of a field or chunk beside its bytes: RESTinio's record has 72 bytes, in a vector that is up to three times
/// as large while it grows, and each copy for the handler has 64.
constexpr std::size_t recordBytes = 300;

/// Buffers of the kernel for each connection, which count as memory of the process. The kernel doubles the values.
constexpr int receiveBufferBytes = 32 * 1024;
constexpr int sendBufferBytes = 128 * 1024;

/// Interval of the check for heads that take too long.
constexpr std::chrono::milliseconds headCheckInterval{250};

class MeteredSocket;

/// Requests and responses in progress of one connection.
struct OpenResponses
{
    int unanswered = 0; ///< Requests that the handler has not answered as a whole.
    int unwritten = 0; ///< Responses that are not written as a whole, with those of unanswered requests.
    ConnectionProgress::TimePoint since; ///< End of the latest answer or of the latest write.
};

/// Buffers of all servers on a loop. A service of the loop, since RESTinio creates sockets from the loop alone.
class ServerBuffers : public asio::execution_context::service
{
public:
    using key_type = ServerBuffers;
    static inline asio::execution_context::id id;

    explicit ServerBuffers(asio::execution_context &context)
        : asio::execution_context::service(context)
        , timer(static_cast<asio::io_context &>(context))
    {
    }

    void setLimits(const IncomingLimits &limits);

    /// Closes connections until all are within their limits. Returns false if @p current had to be closed.
    bool enforceLimits(MeteredSocket &current);

    void closeOverdueHeads();

    IncomingLimits limits;
    RefusedCallers refused;
    ConnectionBudget budget;
    std::vector<MeteredSocket *> sockets; ///< Of open connections.
    std::shared_ptr<BufferPool> pool = std::make_shared<BufferPool>(bufferCapacity);
    MeteredSocket *readingSocket = nullptr; ///< Its bytes are being handled.

private:
    void shutdown() override
    {
        this->timer.cancel();
    }

    asio::steady_timer timer;
};

/// Socket that accounts for the bytes of each request until its response is complete.
///
/// RESTinio buffers the head and the body of a request without telling how much of it has arrived.
class MeteredSocket : public asio::ip::tcp::socket
{
public:
    using TimePoint = ConnectionProgress::TimePoint;

    explicit MeteredSocket(asio::io_context &loop)
        : asio::ip::tcp::socket(loop)
        , buffers(&asio::use_service<ServerBuffers>(loop))
    {
    }

    /// RESTinio moves a socket before it first reads from it, and not any more afterwards.
    MeteredSocket(MeteredSocket &&) = default;
    MeteredSocket &operator=(MeteredSocket &&) = default;

    ~MeteredSocket()
    {
        this->leave();
    }

    template <class Buffer, class Handler>
    void async_read_some(const Buffer &buffer, Handler handler)
    {
        if (!this->enter()) {
            const auto refusedExecutor = asio::get_associated_executor(handler);
            asio::post(refusedExecutor,
                       [handler = std::move(handler)]() mutable { handler(asio::error::no_buffer_space, 0); });
            return;
        }
        const auto executor = asio::get_associated_executor(handler);
        asio::ip::tcp::socket::async_read_some(
            buffer,
            asio::bind_executor(
                executor,
                [this, buffer, handler = std::move(handler)](asio::error_code error, std::size_t size) mutable {
                    if (!error && !this->isRefused && !this->account({static_cast<const char *>(buffer.data()), size}))
                        error = asio::error::no_buffer_space;
                    // RESTinio would keep a connection whose read was cancelled.
                    if (this->isRefused)
                        error = asio::error::no_buffer_space;
                    const auto outer = std::exchange(this->buffers->readingSocket, this);
                    auto *const ownBuffers = this->buffers;
                    // The socket may be destroyed by its handler.
                    handler(error, size);
                    ownBuffers->readingSocket = outer;
                }));
    }

    void close()
    {
        this->leave();
        asio::error_code ignored;
        asio::ip::tcp::socket::close(ignored);
    }

    /// Hands over the bytes of the request that was read. They count until the result is destroyed.
    std::shared_ptr<BufferPool::Share> takeRequest()
    {
        this->scanner.requestComplete();
        this->hasCompleteRequest = true;
        this->since = std::chrono::steady_clock::now();
        return std::exchange(this->request, nullptr);
    }

    const std::shared_ptr<OpenResponses> &openResponses() const
    {
        return this->responses;
    }

    ConnectionProgress progress() const
    {
        using Stage = ConnectionProgress::Stage;
        ConnectionProgress progress;
        progress.since = this->since;
        if (this->responses->unanswered > 0)
            progress.stage = Stage::Running;
        else if (this->responses->unwritten > 0)
            progress.stage = Stage::Writing;
        else if (this->hasCompleteRequest && this->scanner.isBetweenRequests())
            progress.stage = Stage::Idle;
        progress.isInHead = this->scanner.isInHead();
        progress.requestBytes = this->request ? this->request->size() : 0;
        if (progress.stage == Stage::Idle || progress.stage == Stage::Writing)
            progress.since = this->responses->since;
        return progress;
    }

    /// Sends a response to a request that RESTinio does not understand; it then closes the connection.
    void refuseMalformed()
    {
        asio::error_code ignored;
        const auto caller = this->remote_endpoint(ignored);
        logEvent(LogLevel::Warning, "request-malformed", {{"caller", caller.address().to_string()}});
        this->writeRefusal(400, "malformed", {});
    }

    /// Closes the connection, after a response if an incomplete request has arrived.
    void refuse(int status, std::string_view code, std::string_view fields)
    {
        asio::error_code ignored;
        const auto caller = this->remote_endpoint(ignored);
        logEvent(LogLevel::Warning,
                 "caller-refused",
                 {{"caller", caller.address().to_string()},
                  {"code", code},
                  {"bytes", this->request ? this->request->size() : 0},
                  {"allBytes", this->buffers->pool->usedBytes()},
                  {"connections", this->buffers->sockets.size()}});
        if (this->request)
            this->writeRefusal(status, code, fields);
        this->isRefused = true;
        this->request.reset();
        this->close();
    }

private:
    /// Registers the connection. Returns false if there is no room for it.
    bool enter()
    {
        if (this->index != notRegistered)
            return true;
        if (this->isRefused)
            return false;
        // Not in the constructor: RESTinio's acceptor moves from the same socket again and again.
        this->responses = std::make_shared<OpenResponses>();
        this->since = std::chrono::steady_clock::now();
        this->index = this->buffers->sockets.size();
        this->buffers->sockets.push_back(this);
        return this->buffers->enforceLimits(*this);
    }

    void leave()
    {
        if (this->index == notRegistered)
            return;
        auto &sockets = this->buffers->sockets;
        sockets[this->index] = sockets.back();
        sockets[this->index]->index = this->index;
        sockets.pop_back();
        this->index = notRegistered;
    }

    bool account(std::string_view bytes)
    {
        if (!this->request) {
            this->request = std::make_shared<BufferPool::Share>(this->buffers->pool);
            this->since = std::chrono::steady_clock::now();
        }
        const std::size_t maxHeadBytes = this->buffers->limits.maxHeadBytes;
        const std::uint64_t records = this->scanner.recordCount();
        if (!this->scanner.add(bytes, maxHeadBytes == 0 ? SIZE_MAX : maxHeadBytes)) {
            ++this->buffers->refused.largeHeads;
            this->refuse(431, "head-too-large", {});
            return false;
        }
        std::size_t size = bytes.size();
        if (this->buffers->limits.memoryBytes > 0)
            size += static_cast<std::size_t>(this->scanner.recordCount() - records) * recordBytes;
        if (this->request->grow(size))
            return this->buffers->enforceLimits(*this);
        this->refuseRequest(this->buffers->pool->fits(this->request->size() + size));
        return false;
    }

    /// Refuses a request that is not read any further.
    void refuseRequest(bool isTemporary)
    {
        asio::error_code ignored;
        const auto caller = this->remote_endpoint(ignored);
        logEvent(LogLevel::Warning,
                 "request-too-large",
                 {{"caller", caller.address().to_string()},
                  {"bytes", this->request->size()},
                  {"allBytes", this->buffers->pool->usedBytes()},
                  {"temporary", isTemporary}});
        const std::string retryField =
            isTemporary ? "Retry-After: " + std::string(retryAfterSeconds) + "\r\n" : std::string();
        this->writeRefusal(isTemporary ? 503 : 413, "too-large", retryField);
        this->request.reset();
    }

    /// Sends a response to a request that is not passed on, unless another request's response is in progress.
    void writeRefusal(int status, std::string_view code, std::string_view fields)
    {
        if (this->responses->unwritten > 0)
            return;
        const std::string body = R"({"error":{"code":")" + std::string(code) + R"(","verdict":"not-run"}})";
        std::string response = "HTTP/1.1 " + std::to_string(status) + " Error\r\n";
        response.append(fields).append("Connection: close\r\nContent-Type: application/json\r\nContent-Length: ");
        response.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
        // Asio's synchronous calls would wait for a caller that does not read.
        ::send(this->native_handle(), response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        asio::error_code ignored;
        this->shutdown(shutdown_send, ignored);
        this->discardReceived();
    }

    /// Reads what has arrived: a close with unread bytes resets the connection, and the caller may lose the response.
    void discardReceived()
    {
        constexpr int maxReads = 16;
        std::array<char, std::size_t{16} * 1024> bytes{};
        for (int i = 0; i<maxReads && ::recv(this->native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT)> 0; ++i) {
        }
    }

    static constexpr std::size_t notRegistered = SIZE_MAX;

    ServerBuffers *buffers;
    std::shared_ptr<BufferPool::Share> request; ///< The request that is being read.
    std::shared_ptr<OpenResponses> responses; ///< From the first read on.
    RequestScanner scanner;
    std::size_t index = notRegistered; ///< In the list of open connections.
    TimePoint since; ///< As in ConnectionProgress.
    bool hasCompleteRequest = false;
    bool isRefused = false;
};

void ServerBuffers::setLimits(const IncomingLimits &changed)
{
    this->limits = changed;
    this->budget.headTimeout = changed.headTimeout;
    if (changed.maxConnections > 0)
        this->budget.maxConnections = changed.maxConnections;
    if (changed.memoryBytes > 0) {
        this->budget.maxBytes = static_cast<std::size_t>(static_cast<double>(changed.memoryBytes) * callerMemoryShare);
        this->pool->setCapacity(std::min(bufferCapacity, this->budget.maxBytes));
    }
    this->timer.cancel();
    if (changed.headTimeout.count() > 0)
        this->closeOverdueHeads();
}

bool ServerBuffers::enforceLimits(MeteredSocket &current)
{
    const auto now = std::chrono::steady_clock::now();
    while (this->budget.isExceeded(this->sockets.size(), this->pool->usedBytes())) {
        std::vector<ConnectionProgress> connections;
        connections.reserve(this->sockets.size());
        for (const MeteredSocket *socket : this->sockets)
            connections.push_back(socket->progress());
        const std::size_t chosen = ConnectionBudget::choose(connections, now);
        MeteredSocket *const closed = chosen < this->sockets.size() ? this->sockets[chosen] : &current;
        ++this->refused.closedConnections;
        closed->refuse(503, "too-many-callers", "Retry-After: " + std::string(retryAfterSeconds) + "\r\n");
        if (closed == &current)
            return false;
    }
    return true;
}

void ServerBuffers::closeOverdueHeads()
{
    const auto now = std::chrono::steady_clock::now();
    for (MeteredSocket *socket : std::vector(this->sockets)) {
        if (!this->budget.isHeadOverdue(socket->progress(), now))
            continue;
        ++this->refused.slowHeads;
        socket->refuse(408, "head-too-slow", {});
    }
    this->timer.expires_after(headCheckInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->closeOverdueHeads();
    });
}

/// Learns from RESTinio's log which requests it does not understand, as it has no other way to tell.
class ParseErrorListener
{
public:
    explicit ParseErrorListener(ServerBuffers &buffers)
        : buffers(&buffers)
    {
    }

    template <class MessageBuilder>
    void trace(MessageBuilder &&) const
    {
    }

    template <class MessageBuilder>
    void info(MessageBuilder &&) const
    {
    }

    template <class MessageBuilder>
    void warn(MessageBuilder &&) const
    {
    }

    template <class MessageBuilder>
    void error(MessageBuilder &&buildMessage) const
    {
        if (this->buffers->readingSocket && buildMessage().find("parser error") != std::string::npos)
            this->buffers->readingSocket->refuseMalformed();
    }

private:
    ServerBuffers *buffers;
};

/// Maps each connection to its open responder, which is notified when the connection closes.
class ConnectionTable
{
public:
    void add(restinio::connection_id_t connection, const std::weak_ptr<Responder> &responder)
    {
        this->responders[connection] = responder;
    }

    void remove(restinio::connection_id_t connection)
    {
        this->responders.erase(connection);
    }

    std::shared_ptr<Responder> take(restinio::connection_id_t connection)
    {
        const auto found = this->responders.find(connection);
        if (found == this->responders.end())
            return nullptr;
        auto responder = found->second.lock();
        this->responders.erase(found);
        return responder;
    }

    /// The open responses of a connection, which are those of @p socket when it is first asked for.
    std::shared_ptr<OpenResponses> responsesOf(restinio::connection_id_t connection, const MeteredSocket *socket)
    {
        auto &known = this->responses[connection];
        if (!known)
            known = socket ? socket->openResponses() : std::make_shared<OpenResponses>();
        return known;
    }

    void connectionClosed(restinio::connection_id_t connection)
    {
        this->responses.erase(connection);
    }

    bool draining = false;
    std::size_t openResponses = 0; ///< Not written to their sockets as a whole.

private:
    std::unordered_map<restinio::connection_id_t, std::weak_ptr<Responder>> responders;
    std::unordered_map<restinio::connection_id_t, std::shared_ptr<OpenResponses>> responses;
};

/// Notifies the responder of a connection that has closed.
class ConnectionListener
{
public:
    explicit ConnectionListener(std::shared_ptr<ConnectionTable> table)
        : table(std::move(table))
    {
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

private:
    std::shared_ptr<ConnectionTable> table;
};

struct ServerTraits : public restinio::default_single_thread_traits_t
{
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = ConnectionListener;
    using logger_t = ParseErrorListener;
    using stream_socket_t = MeteredSocket;
    static constexpr bool use_connection_count_limiter = true;
};

/// Request ID that no request has, since RESTinio numbers the requests of a connection from 0.
constexpr restinio::request_id_t unusedRequestId = std::numeric_limits<restinio::request_id_t>::max();

/// An aborted stream with at least this many pending bytes is closed without flushing: its caller is not reading.
constexpr std::size_t maxPendingBytesToFlush = std::size_t{64} * 1024;

using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

class Responder : public HttpResponder, public std::enable_shared_from_this<Responder>
{
public:
    Responder(restinio::request_handle_t request,
              std::shared_ptr<ConnectionTable> table,
              std::shared_ptr<BufferPool::Share> requestBytes,
              std::shared_ptr<OpenResponses> responses,
              const std::shared_ptr<BufferPool> &buffers)
        : request(std::move(request))
        , table(std::move(table))
        , requestBytes(std::move(requestBytes))
        , output(std::make_shared<Output>(buffers, this->table, std::move(responses)))
        , keepAlive(this->request->header().should_keep_alive())
        , connectionId(this->request->connection_id())
        , connection(restinio::impl::access_req_connection(*this->request))
    {
        ++this->output->responses->unanswered;
    }

    ~Responder() override
    {
        // Without a response, RESTinio would keep the connection open until the handle timeout.
        try {
            if (this->stream)
                this->endStream();
            else if (this->request)
                this->reply(500, {}, R"({"error":{"code":"internal-error","message":"the request was dropped"}})");
        } catch (const std::exception &) {
            // The server has been destroyed together with its connections.
            return;
        }
    }

    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;

    void reply(int status, const HttpHeaders &headers, std::string body) override
    {
        if (!this->request)
            return;
        auto response = this->request->create_response(statusLine(status));
        this->appendHeaders(response, headers);
        if (!this->output->bytes.grow(body.size()))
            return this->dropConnection();
        response.set_body(std::move(body));
        response.done([output = this->output](const asio::error_code &) { output->bytes.resize(0); });
        this->releaseRequest();
    }

    /// Makes the response close its connection.
    void closeAfterwards()
    {
        this->keepAlive = false;
    }

    void beginStream(int status, const HttpHeaders &headers) override
    {
        if (!this->request)
            return;
        this->stream = std::make_unique<ChunkedBuilder>(
            this->request->create_response<restinio::chunked_output_t>(statusLine(status)));
        this->appendHeaders(*this->stream, headers);
        this->stream->flush();
    }

    void abort() override
    {
        if (!this->request && !this->stream)
            return;
        this->table->remove(this->connectionId);
        this->disconnectHook = nullptr;
        this->releaseBuffers();
        // Flushes pending output before closing, unless the caller is not reading.
        const std::size_t pending = this->output->bytes.size();
        if (pending > 0 && pending < maxPendingBytesToFlush)
            this->output->onDrained = [connection = this->connection] { closeConnection(connection); };
        else
            closeConnection(this->connection);
    }

    void write(std::string chunk) override
    {
        if (!this->stream || chunk.empty())
            return;
        const std::size_t size = chunk.size();
        if (!this->output->bytes.grow(size))
            return this->dropConnection();
        this->stream->append_chunk(std::move(chunk));
        this->stream->flush([output = this->output, size](const asio::error_code &) {
            output->bytes.shrink(size);
            if (output->bytes.size() == 0 && output->onDrained)
                std::exchange(output->onDrained, nullptr)();
        });
    }

    void endStream() override
    {
        if (!this->stream)
            return;
        // The response counts as open until the callback is destroyed.
        this->stream->done([output = this->output](const asio::error_code &) {});
        this->releaseRequest();
    }

    std::size_t pendingBytes() const override
    {
        return this->output->bytes.size();
    }

    bool isConnected() const override
    {
        return this->request != nullptr;
    }

    void setDisconnectHook(std::function<void()> hook) override
    {
        this->disconnectHook = std::move(hook);
    }

    void connectionClosed()
    {
        this->releaseBuffers();
        if (const auto hook = std::exchange(this->disconnectHook, nullptr))
            hook();
    }

private:
    /// Pending output; shared with the write callbacks, which may outlive the responder.
    struct Output
    {
        Output(const std::shared_ptr<BufferPool> &buffers,
               std::shared_ptr<ConnectionTable> table,
               std::shared_ptr<OpenResponses> responses)
            : bytes(buffers)
            , table(std::move(table))
            , responses(std::move(responses))
        {
            ++this->table->openResponses;
            ++this->responses->unwritten;
        }

        ~Output()
        {
            --this->table->openResponses;
            --this->responses->unwritten;
            this->responses->since = std::chrono::steady_clock::now();
        }

        Output(const Output &) = delete;
        Output &operator=(const Output &) = delete;

        BufferPool::Share bytes;
        std::shared_ptr<ConnectionTable> table;
        std::shared_ptr<OpenResponses> responses;
        std::function<void()> onDrained;
    };

    /// Closes the connection of a caller that does not read while the pending output of all takes too much memory.
    void dropConnection()
    {
        logEvent(LogLevel::Warning, "output-too-large", {{"pendingBytes", this->output->bytes.size()}});
        const auto hook = std::exchange(this->disconnectHook, nullptr);
        this->abort();
        if (hook)
            hook();
    }

    void releaseBuffers()
    {
        if (this->request) {
            --this->output->responses->unanswered;
            this->output->responses->since = std::chrono::steady_clock::now();
        }
        this->stream.reset();
        this->request.reset();
        this->requestBytes.reset();
    }

    static void closeConnection(const std::weak_ptr<restinio::impl::connection_base_t> &connection)
    {
        const auto lockedConnection = connection.lock();
        if (!lockedConnection)
            return;
        // RESTinio has no call to close a connection, but closes it on a response part for an unknown request ID.
        lockedConnection->write_response_parts(
            unusedRequestId,
            restinio::response_output_flags_t{restinio::response_parts_attr_t::final_parts,
                                              restinio::response_connection_attr_t::connection_close},
            restinio::write_group_t{restinio::writable_items_container_t{}});
    }

    static restinio::http_status_line_t statusLine(int status)
    {
        return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, status < 400 ? "OK" : "Error"};
    }

    template <class Builder>
    void appendHeaders(Builder &response, const HttpHeaders &headers) const
    {
        for (const HttpHeader &field : headers)
            response.append_header(field.name, field.value);
        if (!this->keepAlive || this->table->draining)
            response.connection_close();
    }

    void releaseRequest()
    {
        this->table->remove(this->request->connection_id());
        this->releaseBuffers();
        this->disconnectHook = nullptr;
    }

    restinio::request_handle_t request;
    std::shared_ptr<ConnectionTable> table;
    std::shared_ptr<BufferPool::Share> requestBytes;
    std::shared_ptr<Output> output;
    bool keepAlive;
    restinio::connection_id_t connectionId;
    std::weak_ptr<restinio::impl::connection_base_t> connection;
    std::unique_ptr<ChunkedBuilder> stream;
    std::function<void()> disconnectHook;
};

void ConnectionListener::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
        return;
    this->table->connectionClosed(notice.connection_id());
    if (const auto responder = this->table->take(notice.connection_id()))
        responder->connectionClosed();
}

HttpRequest convertRequest(const restinio::request_t &request)
{
    HttpRequest converted;
    const auto &header = request.header();
    converted.method = header.method().c_str();
    converted.target = header.request_target();
    converted.path = std::string(header.path());
    converted.query = std::string(header.query());
    header.for_each_field([&converted](const auto &field) { converted.headers.add(field.name(), field.value()); });
    converted.body = request.body();
    const auto &endpoint = request.remote_endpoint();
    converted.remoteAddress = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    return converted;
}

/// Whether all recipients of a request agree where its body ends (RFC 9112, 5.1 and 6.1), as far as RESTinio's parser
/// does not see to that.
bool hasSoundFraming(const HttpRequest &request)
{
    int codings = 0;
    for (const HttpHeader &field : request.headers) {
        if (field.name.find_first_of(" \t") != std::string::npos)
            return false;
        const HttpHeaders single = {field};
        if (!single.has("Transfer-Encoding"))
            continue;
        ++codings;
        std::string coding = field.value;
        std::transform(coding.begin(), coding.end(), coding.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        if (codings > 1 || coding != "chunked")
            return false;
    }
    return true;
}

} // namespace

class HttpServer::Private
{
public:
    asio::io_context &loop;
    HttpServerSettings settings;
    HttpHandler handler;
    std::shared_ptr<ConnectionTable> table = std::make_shared<ConnectionTable>();
    std::unique_ptr<restinio::http_server_t<ServerTraits>> server;
    std::uint16_t boundPort = 0;

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request) const
    {
        auto &buffers = asio::use_service<ServerBuffers>(this->loop);
        // A pipelined request may be read from the connection's buffer, without a read of the socket.
        auto requestBytes = buffers.readingSocket ? buffers.readingSocket->takeRequest() : nullptr;
        auto responses = this->table->responsesOf(request->connection_id(), buffers.readingSocket);
        auto responder = std::make_shared<Responder>(
            request, this->table, std::move(requestBytes), std::move(responses), buffers.pool);
        this->table->add(request->connection_id(), responder);
        HttpRequest converted = convertRequest(*request);
        if (!hasSoundFraming(converted)) {
            responder->closeAfterwards();
            responder->reply(
                400, {{"Content-Type", "application/json"}}, R"({"error":{"code":"malformed","verdict":"not-run"}})");
            return restinio::request_accepted();
        }
        this->handler(std::move(converted), std::move(responder));
        return restinio::request_accepted();
    }
};

HttpServer::HttpServer(asio::io_context &loop, HttpServerSettings settings, HttpHandler handler)
    : d(new Private{loop, std::move(settings), std::move(handler)})
{
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
}

std::string HttpServer::start()
{
    const HttpServerSettings &httpSettings = this->d->settings;
    // With two pipelined requests, RESTinio keeps reading while a response is sent, which detects a disconnect.
    constexpr std::size_t pipelinedRequests = 2;
    const bool hasMemoryLimit = asio::use_service<ServerBuffers>(this->d->loop).limits.memoryBytes > 0;
    restinio::server_settings_t<ServerTraits> settings;
    settings.logger(asio::use_service<ServerBuffers>(this->d->loop))
        .address(httpSettings.address)
        .port(httpSettings.port)
        .max_pipelined_requests(pipelinedRequests)
        .read_next_http_message_timelimit(httpSettings.readTimeout)
        .write_http_response_timelimit(httpSettings.handleTimeout)
        .handle_request_timeout(httpSettings.handleTimeout)
        .max_parallel_connections(httpSettings.maxConnections)
        .concurrent_accepts_count(8)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(httpSettings.maxBodyBytes))
        .acceptor_options_setter([hasMemoryLimit](auto &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            if (!hasMemoryLimit)
                return;
            // Connections inherit these before they are accepted.
            options.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            options.set_option(asio::socket_base::send_buffer_size(sendBufferBytes));
        })
        .acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor &acceptor) { this->d->boundPort = acceptor.local_endpoint().port(); })
        .socket_options_setter([](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .connection_state_listener(std::make_shared<ConnectionListener>(this->d->table))
        .request_handler([this](restinio::request_handle_t request) { return this->d->handle(request); });
    this->d->server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(this->d->loop), std::move(settings));
    this->d->server->open_sync();
    return httpSettings.address + ":" + std::to_string(this->d->boundPort);
}

void HttpServer::stopAccepting()
{
    if (this->d->server)
        this->d->server->close_sync();
}

void HttpServer::setDraining(bool draining)
{
    this->d->table->draining = draining;
}

std::size_t HttpServer::openResponses() const
{
    return this->d->table->openResponses;
}

void HttpServer::setLimits(const IncomingLimits &limits)
{
    asio::use_service<ServerBuffers>(this->d->loop).setLimits(limits);
}

const RefusedCallers &HttpServer::refusedCallers() const
{
    return asio::use_service<ServerBuffers>(this->d->loop).refused;
}

std::size_t HttpServer::openConnections() const
{
    return asio::use_service<ServerBuffers>(this->d->loop).sockets.size();
}

const BufferPool &HttpServer::buffers() const
{
    return *asio::use_service<ServerBuffers>(this->d->loop).pool;
}

} // namespace hemlock
