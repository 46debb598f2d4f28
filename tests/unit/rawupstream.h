#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "relay/relaycall.h"
#include "relayheaders.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// An upstream that sends raw bytes for each request as soon as it has received the head. It reads no bodies.
class RawUpstream
{
public:
    explicit RawUpstream(asio::io_context &loop)
        : acceptor(loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /// Returns the answer to a request with an attempt identifier and the body "whole-ID".
    static std::string answer(const std::string &attemptId)
    {
        const std::string body = "whole-" + attemptId;
        return "HTTP/1.1 200 OK\r\nX-Hemlockflow-Attempt-Id: " + attemptId
            + "\r\nX-Hemlockflow-Response-Signature: signed\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    /// Returns a refusal that says that the request was not run.
    static std::string refusal(const std::string &attemptHeader)
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + attemptHeader
            + "X-Hemlockflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    /// Returns the fields that make an answer the signed one to a request.
    static std::string signedFields(const std::string &attemptId)
    {
        return "X-Hemlockflow-Attempt-Id: " + attemptId + "\r\nX-Hemlockflow-Response-Signature: signed\r\n";
    }

    /// How a connection goes on after an answer.
    enum class Ending {
        KeepOpen,
        Close,
        Reset,
        EndThenReset, ///< The upstream ends its side, and resets the connection a little later.
    };

    /// Returns an answer without a length or chunks, which ends with its connection.
    static std::string unframedAnswer(const std::string &attemptId, const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nX-Hemlockflow-Attempt-Id: " + attemptId
            + "\r\nX-Hemlockflow-Response-Signature: signed\r\nConnection: close\r\n\r\n" + body;
    }

    Ending ending = Ending::KeepOpen;
    bool earlierAnswers = false; ///< Before each answer, the previous one on the connection is sent once more.

    /// Bytes to send for the request that is received at an index, on any connection.
    std::function<std::string(std::size_t index, const std::string &attemptId)> bytesFor;
    std::size_t requestCount = 0;
    std::size_t connectionCount = 0;

private:
    struct Connection
    {
        asio::ip::tcp::socket socket;
        std::string received;
        std::string earlierAnswer;
    };

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++this->connectionCount;
            this->readRequest(std::make_shared<Connection>(Connection{std::move(socket), {}, {}}));
            this->accept();
        });
    }

    void readRequest(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(connection->socket,
                               asio::dynamic_buffer(connection->received),
                               "\r\n\r\n",
                               [this, connection](const asio::error_code &error, std::size_t size) {
                                   if (error)
                                       return;
                                   const std::string head = connection->received.substr(0, size);
                                   connection->received.erase(0, size);
                                   const std::string field = "X-Hemlockflow-Attempt-Id: ";
                                   const std::size_t start = head.find(field) + field.size();
                                   const std::string attemptId = head.substr(start, head.find("\r\n", start) - start);
                                   const std::string reply = this->bytesFor(this->requestCount++, attemptId);
                                   const auto bytes = std::make_shared<std::string>(connection->earlierAnswer + reply);
                                   if (this->earlierAnswers)
                                       connection->earlierAnswer = reply;
                                   asio::async_write(connection->socket,
                                                     asio::buffer(*bytes),
                                                     [this, connection, bytes](const asio::error_code &, std::size_t) {
                                                         this->answerSent(connection);
                                                     });
                               });
    }

    void answerSent(const std::shared_ptr<Connection> &connection)
    {
        if (this->ending == Ending::KeepOpen)
            return this->readRequest(connection);
        if (this->ending == Ending::Close)
            return connection->socket.close();
        if (this->ending == Ending::EndThenReset)
            connection->socket.shutdown(asio::socket_base::shutdown_send);
        // The head has to be read before the reset, which discards what the receiver has not read.
        auto timer = std::make_shared<asio::steady_timer>(connection->socket.get_executor(), resetDelay);
        timer->async_wait([connection, timer](const asio::error_code &) {
            connection->socket.set_option(asio::socket_base::linger(true, 0));
            connection->socket.close();
        });
    }

    static constexpr std::chrono::milliseconds resetDelay{50};

    asio::ip::tcp::acceptor acceptor;
};

/// An entry process before one upstream that sends raw bytes.
class StaleAnswerFixture
{
protected:
    StaleAnswerFixture()
    {
        this->transport.decodeRequest = platform::decodeRelayRequest;
        this->transport.encodeAttempt = platform::encodeRelayAttempt;
        this->transport.decodeAnswer = platform::decodeRelayAnswer;
        this->context.acceptsCall = [](std::chrono::milliseconds, bool) { return true; };
        this->context.peerCount = [] { return std::size_t{0}; };
        this->context.now = [] { return std::chrono::steady_clock::now(); };
        this->context.wallTime = [] { return std::chrono::system_clock::now(); };
        this->context.upstreamListFreshness = [] { return UpstreamListFreshness{}; };
        this->context.connectionFailed = [](const Upstream &) {};
        this->context.promptSent = [](double) {};
        this->applyUpstreams({this->raw.address()});
        this->configure(CallKind::NonIdempotent);
        this->address = this->entry.start();
    }

    void applyUpstreams(const std::vector<std::string> &addresses)
    {
        std::vector<Upstream> upstreams;
        for (const std::string &upstreamAddress : addresses) {
            Upstream upstream;
            upstream.id = "upstream-" + std::to_string(upstreams.size() + 1);
            upstream.service = "service";
            upstream.address = upstreamAddress;
            upstream.zone = {"zone-a"};
            upstream.state = UpstreamState::Serving;
            upstream.slots = 4;
            upstreams.push_back(upstream);
        }
        this->scheduler.applyUpstreams(upstreams, std::chrono::steady_clock::now());
    }

    void configure(CallKind kind, int maxAttempts = 1)
    {
        RelayRoute route;
        route.name = "route";
        route.host = "h.example";
        route.pathPrefix = "/p/";
        route.kind = kind;
        route.maxAttempts = maxAttempts;
        route.timeout = std::chrono::milliseconds(3000);
        route.latencyTarget = std::chrono::milliseconds(1000);
        route.targets = {{"service", 1.0}};
        RelayConfig config;
        config.version = 1;
        config.routes = {route};
        this->context.routes = std::make_shared<const RouteTable>(std::move(config));
    }

    /// Makes the upstream give answers without a length or chunks.
    void answerUnframed(const std::string &body, RawUpstream::Ending ending)
    {
        this->raw.ending = ending;
        this->raw.bytesFor = [body](std::size_t, const std::string &attemptId) {
            return RawUpstream::unframedAnswer(attemptId, body);
        };
    }

    HttpOutcome call(const std::string &attemptId)
    {
        return this->call(attemptId, {}, {});
    }

    HttpOutcome call(const std::string &attemptId, const std::string &body, const HttpHeaders &headers)
    {
        HttpCall call;
        call.method = body.empty() ? "GET" : "POST";
        call.body = body;
        call.url = endpointUrl(this->address) + "/p/x";
        call.omitsDefaultHeaders = true;
        call.headers = {
            {"Host", "h.example"}, {"X-Hemlockflow-Attempt-Id", attemptId}, {"X-Hemlockflow-Deadline-Ms", "2000"}};
        for (const HttpHeader &field : headers)
            call.headers.add(field.name, field.value);
        std::optional<HttpOutcome> result;
        HttpCallHooks hooks;
        hooks.done = [&result](const HttpOutcome &outcome) { result = outcome; };
        this->callers.start(call, std::move(hooks));
        while (!result)
            this->loop.run_one();
        return *result;
    }

    asio::io_context loop{1};
    RawUpstream raw{this->loop};
    HttpClient http{this->loop};
    HttpClient callers{this->loop};
    RelayTransport transport;
    RelayScheduler scheduler{{"zone-a"}, RandomEngine(1)};
    AccountQuota quota;
    RetryBudget retries;
    Quarantine quarantine;
    UsageLedger usage{std::chrono::milliseconds(5000)};
    Metrics metrics;
    RelayContext context{this->loop,
                         this->http,
                         this->transport,
                         this->scheduler,
                         this->quota,
                         this->retries,
                         this->quarantine,
                         this->usage,
                         this->metrics,
                         {},
                         nullptr,
                         std::chrono::seconds(10),
                         {},
                         {},
                         {},
                         {},
                         {},
                         {},
                         {}};
    std::set<std::shared_ptr<RelayCall>> calls;
    HttpServer entry{this->loop, {}, [this](HttpRequest request, const HttpResponderPtr &responder) {
                         auto call = std::make_shared<RelayCall>(this->context, responder, [] {});
                         this->calls.insert(call);
                         call->start(std::move(request));
                     }};
    std::string address;
};

} // namespace hemlock
