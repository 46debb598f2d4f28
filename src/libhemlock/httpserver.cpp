#include "httpserver.h"

#include "bufferpool.h"
#include "logger.h"
#include "meteredsocket.h"
#include "serverbuffers.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace hemlock {

namespace {

class Responder;

/// Buffers of the kernel for each connection. The kernel doubles the values.
constexpr int sendBufferBytes = 128 * 1024;

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

    bool draining = false;
    std::size_t openResponses = 0; ///< Not written to their sockets as a whole.

private:
    std::unordered_map<restinio::connection_id_t, std::weak_ptr<Responder>> responders;
};

/// Notifies the responder of a connection that has closed.
class ConnectionListener
{
public:
    ConnectionListener(std::shared_ptr<ConnectionTable> table, ServerBuffers &buffers, std::size_t maxBodyBytes)
        : table(std::move(table))
        , buffers(&buffers)
        , maxBodyBytes(maxBodyBytes)
    {
    }

    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

private:
    std::shared_ptr<ConnectionTable> table;
    ServerBuffers *buffers;
    std::size_t maxBodyBytes;
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
              ServerBuffers &buffers)
        : request(std::move(request))
        , table(std::move(table))
        , requestBytes(std::move(requestBytes))
        , buffers(buffers)
        , output(std::make_shared<Output>(buffers.pool, this->table, std::move(responses)))
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
        if (!this->growOutput(body.size()))
            return this->dropConnection();
        response.set_body(std::move(body));
        response.done([output = this->output](const asio::error_code &) { output->shrink(output->bytes.size()); });
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
        if (!this->growOutput(size))
            return this->dropConnection();
        this->stream->append_chunk(std::move(chunk));
        this->stream->flush([output = this->output, size](const asio::error_code &) {
            output->shrink(size);
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
            this->shrink(this->bytes.size());
            --this->table->openResponses;
            --this->responses->unwritten;
            this->responses->since = std::chrono::steady_clock::now();
        }

        /// Called when bytes were written, or will not be.
        void shrink(std::size_t size)
        {
            this->bytes.shrink(size);
            this->responses->pendingBytes -= size;
        }

        Output(const Output &) = delete;
        Output &operator=(const Output &) = delete;

        BufferPool::Share bytes;
        std::shared_ptr<ConnectionTable> table;
        std::shared_ptr<OpenResponses> responses;
        std::function<void()> onDrained;
    };

    bool growOutput(std::size_t size)
    {
        if (!this->buffers.resize(this->output->bytes, this->output->bytes.size() + size))
            return false;
        this->output->responses->pendingBytes += size;
        return true;
    }

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
    ServerBuffers &buffers;
    std::shared_ptr<Output> output;
    bool keepAlive;
    restinio::connection_id_t connectionId;
    std::weak_ptr<restinio::impl::connection_base_t> connection;
    std::unique_ptr<ChunkedBuilder> stream;
    std::function<void()> disconnectHook;
};

void ConnectionListener::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    // RESTinio reads from the connection right after this.
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
        this->buffers->acceptingMaxBodyBytes = this->maxBodyBytes;
    if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
        return;
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
    const auto &endpoint = request.remote_endpoint();
    converted.remoteAddress = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    return converted;
}

/// Whether all recipients of a request agree where its body ends (RFC 9112, 5.1 and 6.1). RequestDecoder has removed
/// the fields that say so; any that it did not recognize are not sound.
bool hasSoundFraming(const HttpRequest &request)
{
    if (request.headers.has("Content-Length") || request.headers.has("Transfer-Encoding"))
        return false;
    return std::none_of(request.headers.begin(), request.headers.end(), [](const HttpHeader &field) {
        return field.name.find_first_of(" \t") != std::string::npos;
    });
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
        // Requests come from their sockets one at a time. RESTinio's parser would have to see two in one head.
        if (!buffers.readingSocket || !buffers.readingSocket->hasCompleteRequest())
            return restinio::request_rejected();
        MeteredSocket::Request received = buffers.readingSocket->takeRequest();
        auto responder = std::make_shared<Responder>(
            request, this->table, std::move(received.share), buffers.readingSocket->openResponses(), buffers);
        this->table->add(request->connection_id(), responder);
        HttpRequest converted = convertRequest(*request);
        converted.body = std::move(received.body);
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
    auto &buffers = asio::use_service<ServerBuffers>(this->d->loop);
    const bool hasMemoryLimit = buffers.limits.memoryBytes > 0;
    asio::ip::tcp::acceptor *acceptor = nullptr;
    restinio::server_settings_t<ServerTraits> settings;
    settings.logger(buffers)
        .address(httpSettings.address)
        .port(httpSettings.port)
        .max_pipelined_requests(pipelinedRequests)
        .read_next_http_message_timelimit(httpSettings.readTimeout)
        .write_http_response_timelimit(httpSettings.handleTimeout)
        .handle_request_timeout(httpSettings.handleTimeout)
        .max_parallel_connections(httpSettings.maxConnections)
        .concurrent_accepts_count(8)
        .acceptor_options_setter([hasMemoryLimit](auto &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            if (!hasMemoryLimit)
                return;
            // Connections inherit these before they are accepted.
            options.set_option(asio::socket_base::receive_buffer_size(callerReceiveBufferBytes));
            options.set_option(asio::socket_base::send_buffer_size(sendBufferBytes));
        })
        .acceptor_post_bind_hook([&](asio::ip::tcp::acceptor &bound) {
            acceptor = &bound;
            this->d->boundPort = bound.local_endpoint().port();
        })
        .socket_options_setter([](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .connection_state_listener(
            std::make_shared<ConnectionListener>(this->d->table, buffers, httpSettings.maxBodyBytes))
        .request_handler([this](restinio::request_handle_t request) { return this->d->handle(request); });
    this->d->server = std::make_unique<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(this->d->loop), std::move(settings));
    this->d->server->open_sync();
    // RESTinio listens with the longest queue.
    if (httpSettings.maxWaitingConnections > 0)
        acceptor->listen(static_cast<int>(httpSettings.maxWaitingConnections));
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
