#include "httpserver.h"
#include "bufferpool.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <memory>
#include <vector>

using namespace hemlock;
using asio::ip::tcp;

namespace {

/// A server on a loopback port and a raw connection to it, on one loop.
class HttpServerFixture
{
protected:
    void startServer(HttpHandler handler)
    {
        this->server = std::make_unique<HttpServer>(this->loop, HttpServerSettings{}, std::move(handler));
        const std::string address = this->server->start();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        this->connection.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &text)
    {
        asio::write(this->connection, asio::buffer(text));
    }

    template <class Condition>
    void runUntil(Condition condition)
    {
        while (!condition())
            this->loop.run_one();
    }

    /// Reads until the server closes the connection.
    std::string readToEnd()
    {
        std::string received;
        bool ended = false;
        asio::async_read(this->connection,
                         asio::dynamic_buffer(received),
                         [&ended](const asio::error_code &, std::size_t) { ended = true; });
        this->runUntil([&ended] { return ended; });
        return received;
    }

    asio::io_context loop;
    std::unique_ptr<HttpServer> server;
    tcp::socket connection{this->loop};
};

const std::string plainRequest = "GET /path?a=1&b=2 HTTP/1.1\r\nHost: test\r\nX-Field: value\r\n\r\n";

} // namespace

// Guards against continued work for a caller that has disconnected.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: caller disconnects during a stream: the disconnect hook runs once")
{
    int disconnects = 0;
    HttpResponderPtr openResponder;
    this->startServer([&](const HttpRequest &, HttpResponderPtr responder) {
        responder->setDisconnectHook([&disconnects] { ++disconnects; });
        responder->beginStream(200, {});
        responder->write("first");
        openResponder = std::move(responder);
    });
    this->send(plainRequest);
    this->runUntil([&openResponder] { return openResponder != nullptr; });
    this->connection.close();
    this->runUntil([&disconnects] { return disconnects > 0; });
    CHECK(disconnects == 1);
    CHECK_FALSE(openResponder->isConnected());
    openResponder->write("late");
    openResponder->endStream();
    CHECK(disconnects == 1);
}

// Guards against keeping callers' connections open to a process that is about to exit.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: draining: the response is complete and closes the connection")
{
    this->startServer(
        [](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, "whole answer"); });
    this->server->setDraining(true);
    this->send(plainRequest);
    const std::string received = this->readToEnd();
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("whole answer") != std::string::npos);
}

TEST_CASE_METHOD(HttpServerFixture, "HttpServer: request with query and header fields: handler receives them")
{
    HttpRequest receivedRequest;
    this->startServer([&receivedRequest](HttpRequest request, const HttpResponderPtr &responder) {
        receivedRequest = std::move(request);
        responder->reply(200, {}, "");
    });
    this->send(plainRequest);
    this->runUntil([&receivedRequest] { return !receivedRequest.method.empty(); });
    CHECK(receivedRequest.method == "GET");
    CHECK(receivedRequest.path == "/path");
    CHECK(receivedRequest.queryValue("b") == "2");
    CHECK(receivedRequest.headers.value("x-field") == "value");
}

// Guards against a caller that waits for the whole handle timeout because the responder was destroyed without replying.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: handler drops the responder: the caller gets status 500")
{
    this->startServer([](const HttpRequest &, const HttpResponderPtr &) {});
    this->send("GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
    CHECK(this->readToEnd().find("HTTP/1.1 500") == 0);
}

// Guards against a request within the body of another one, by a body whose end is not clear.
TEST_CASE_METHOD(HttpServerFixture,
                 "HttpServer: framing of the request is not sound: status 400, and no handler is called")
{
    const std::string length = "Content-Length: 4\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string fields = GENERATE_COPY(values<std::string>({"Content-Length: 40\r\n" + length,
                                                                  length + "Content-Length: 40\r\n",
                                                                  "Content-Length: 4, 40\r\n",
                                                                  "Content-Length: 4x\r\n",
                                                                  "Content-Length: +4\r\n",
                                                                  "Content-Length: -4\r\n",
                                                                  "Content-Length: 4 0\r\n",
                                                                  "Content-Length: 0x4\r\n",
                                                                  "Content-Length:\r\n",
                                                                  "Content-Length: 99999999999999999999\r\n",
                                                                  "Content-Length : 4\r\n",
                                                                  length + chunked,
                                                                  chunked + length,
                                                                  chunked + chunked,
                                                                  "Transfer-Encoding: gzip\r\n",
                                                                  "Transfer-Encoding: identity\r\n",
                                                                  "Transfer-Encoding: chunked, gzip\r\n",
                                                                  "Transfer-Encoding: gzip, chunked\r\n",
                                                                  "Transfer-Encoding: chunked, chunked\r\n",
                                                                  "Transfer-Encoding: xchunked\r\n",
                                                                  "Transfer-Encoding:\r\n",
                                                                  "Transfer-Encoding : chunked\r\n",
                                                                  "X-Field: a\rContent-Length: 4\r\n",
                                                                  "X-Field\r\n",
                                                                  ": 4\r\n"}));
    INFO(fields);
    int requests = 0;
    this->startServer([&requests](const HttpRequest &, const HttpResponderPtr &responder) {
        ++requests;
        responder->reply(200, {}, "answer");
    });
    this->send("POST / HTTP/1.1\r\nHost: test\r\n" + fields + "\r\n4\r\nbody\r\n0\r\n\r\n");
    this->connection.shutdown(tcp::socket::shutdown_send);
    CHECK(this->readToEnd().starts_with("HTTP/1.1 400"));
    CHECK(requests == 0);
}

namespace {

/// Callers that each send a chunked body, chunk after chunk, without ending it.
class EndlessBodiesFixture : public HttpServerFixture
{
protected:
    struct Caller
    {
        explicit Caller(asio::io_context &loop)
            : socket(loop)
        {
        }

        tcp::socket socket;
        std::size_t sentBytes = 0;
        bool isClosed = false;
        std::string received;
    };

    static constexpr std::size_t bytesPerCaller = std::size_t{4} * 1024 * 1024;

    void startCallers(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto caller = std::make_unique<Caller>(this->loop);
            caller->socket.connect(this->connection.remote_endpoint());
            asio::write(
                caller->socket,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n")));
            this->sendChunk(*caller);
            this->receive(*caller);
            this->callers.push_back(std::move(caller));
        }
    }

    void sendChunk(Caller &caller)
    {
        static const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
        asio::async_write(
            caller.socket, asio::buffer(chunk), [this, &caller](const asio::error_code &error, std::size_t) {
                caller.sentBytes += chunk.size();
                if (!error && caller.sentBytes < bytesPerCaller)
                    this->sendChunk(caller);
            });
    }

    void receive(Caller &caller)
    {
        asio::async_read(caller.socket,
                         asio::dynamic_buffer(caller.received),
                         [this, &caller](const asio::error_code &, std::size_t) { caller.isClosed = true; });
    }

    /// Bytes on the connections that are open.
    std::size_t heldBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &caller : this->callers)
            bytes += caller->isClosed ? 0 : caller->sentBytes;
        return bytes;
    }

    bool isAllSent() const
    {
        return std::all_of(this->callers.begin(), this->callers.end(), [](const auto &caller) {
            return caller->isClosed || caller->sentBytes >= bytesPerCaller;
        });
    }

    std::vector<std::unique_ptr<Caller>> callers;
};

} // namespace

// Guards against callers whose bodies without end take more memory together than a VM has.
TEST_CASE_METHOD(EndlessBodiesFixture, "HttpServer: many callers send bodies without end: their sum is bounded")
{
    constexpr std::size_t callerCount = 40;
    constexpr std::size_t maxBytes = std::size_t{40} * 1024 * 1024;
    this->startServer(
        [](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, "whole"); });
    this->startCallers(callerCount);
    // The server reads for some time what the kernel has buffered.
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    this->runUntil([this, deadline] {
        return this->isAllSent() && (this->heldBytes() < maxBytes || std::chrono::steady_clock::now() >= deadline);
    });
    CHECK(this->heldBytes() < maxBytes);
    CHECK(this->server->buffers().usedBytes() < maxBytes);
    CHECK(std::any_of(this->callers.begin(), this->callers.end(), [](const auto &caller) {
        return caller->received.starts_with("HTTP/1.1 503 ");
    }));
    // Others are served meanwhile.
    this->send("GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
    CHECK(this->readToEnd().find("HTTP/1.1 200") == 0);
}

// Guards against bytes that stay counted after their request has ended, which would refuse all callers in the end.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: requests have ended: their bytes no longer count")
{
    this->startServer(
        [](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, "whole"); });
    for (int i = 0; i < 3; ++i) {
        this->send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nbytes");
        std::string received;
        bool isWhole = false;
        asio::async_read_until(this->connection,
                               asio::dynamic_buffer(received),
                               "whole",
                               [&isWhole](const asio::error_code &error, std::size_t) { isWhole = !error; });
        this->runUntil([&isWhole] { return isWhole; });
    }
    this->runUntil([this] { return this->server->buffers().usedBytes() == 0; });
    CHECK(this->server->buffers().usedBytes() == 0);
    CHECK(this->server->buffers().refusalCount() == 0);
}

// Guards against answers to callers that do not read, which would take more memory together than a VM has.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: many callers do not read their answers: what is kept is bounded")
{
    constexpr std::size_t callerCount = 40;
    constexpr std::size_t answerBytes = std::size_t{4} * 1024 * 1024;
    constexpr std::size_t maxBytes = std::size_t{40} * 1024 * 1024;
    std::size_t handled = 0;
    std::size_t peak = 0;
    this->startServer([&](const HttpRequest &, const HttpResponderPtr &responder) {
        responder->reply(200, {}, std::string(answerBytes, 'x'));
        ++handled;
        peak = std::max(peak, this->server->buffers().usedBytes());
    });
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < callerCount; ++i) {
        tcp::socket &caller = callers.emplace_back(this->loop);
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(4096));
        caller.connect(this->connection.remote_endpoint());
        asio::write(caller, asio::buffer(plainRequest));
    }
    this->runUntil([&handled] { return handled == callerCount; });
    CHECK(peak < maxBytes);
    CHECK(this->server->buffers().refusalCount() > 0);
    // Their memory is free again when they have left.
    callers.clear();
    this->runUntil([this] { return this->server->buffers().usedBytes() == 0; });
    CHECK(this->server->openResponses() == 0);
}

// Guards against a body that counts as a head because it began in the same read as the request before it.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: body of a pipelined request is longer than a head may be: it is read")
{
    IncomingLimits limits;
    limits.maxHeadBytes = 1000;
    std::vector<std::size_t> bodies;
    this->startServer([&bodies](const HttpRequest &request, const HttpResponderPtr &responder) {
        bodies.push_back(request.body.size());
        responder->reply(200, {}, "answer");
    });
    this->server->setLimits(limits);
    this->send(plainRequest + "POST / HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: 5000\r\n\r\nxxxx");
    this->runUntil([&bodies] { return !bodies.empty(); });
    this->send(std::string(4996, 'x'));
    CHECK(this->readToEnd().find(" 431 ") == std::string::npos);
    CHECK(bodies == std::vector<std::size_t>{0, 5000});
}

// Guards against a refusal that says not-run while a pipelined request is at the handler, and against closing it.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: head after pipelined requests is slow: running ones are not refused")
{
    IncomingLimits limits;
    limits.headTimeout = std::chrono::milliseconds(50);
    std::vector<HttpResponderPtr> responders;
    this->startServer(
        [&responders](const HttpRequest &, const HttpResponderPtr &responder) { responders.push_back(responder); });
    this->server->setLimits(limits);
    this->send(plainRequest + plainRequest + "GET / HTTP/1.1\r\nHost: t");
    this->runUntil([&responders] { return responders.size() == 2; });
    responders.front()->reply(200, {}, "first");
    this->loop.run_for(std::chrono::milliseconds(200));
    this->send("e");
    // Several checks for heads that take too long.
    this->loop.run_for(std::chrono::milliseconds(800));
    CHECK(this->server->refusedCallers().slowHeads == 0);
    responders.back()->reply(200, {}, "second");
    // A response counts as open until its responder is destroyed.
    responders.clear();
    const std::string received = this->readToEnd();
    CHECK(received.find("first") < received.find("second"));
    CHECK(received.find("second") != std::string::npos);
    CHECK(received.find("second") < received.find(" 408 "));
    CHECK(received.find(" 408 ") != std::string::npos);
    CHECK(this->server->refusedCallers().slowHeads == 1);
}

namespace {

/// A server whose callers may take little memory, and callers that send or read without advancing.
class StalledCallerFixture : public HttpServerFixture
{
protected:
    static constexpr std::size_t memoryBytes = std::size_t{4} * 1024 * 1024;
    static constexpr std::size_t largeBytes = 1900000;

    /// Longer than the time after which a request or response is taken to have stopped.
    static constexpr std::chrono::milliseconds stopTime{2500};

    void startServer(HttpHandler handler)
    {
        HttpServerFixture::startServer(std::move(handler));
        IncomingLimits limits;
        limits.memoryBytes = memoryBytes;
        this->server->setLimits(limits);
    }

    tcp::socket &addCaller()
    {
        tcp::socket &caller = this->callers.emplace_back(this->loop);
        caller.connect(this->connection.remote_endpoint());
        return caller;
    }

    /// Begins an upload that stays without its last byte.
    void startUpload()
    {
        auto bytes = std::make_shared<std::string>(upload(largeBytes + 1));
        bytes->pop_back();
        asio::async_write(this->addCaller(), asio::buffer(*bytes), [bytes](const asio::error_code &, std::size_t) {});
        const std::size_t used = this->server->buffers().usedBytes();
        this->runUntil([&] { return this->server->buffers().usedBytes() >= used + largeBytes; });
    }

    static std::string upload(std::size_t bytes)
    {
        return "POST / HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: " + std::to_string(bytes)
            + "\r\n\r\n" + std::string(bytes, 'x');
    }

    /// Sends a whole request and returns the answer.
    std::string answer(const std::string &request)
    {
        asio::async_write(this->connection, asio::buffer(request), [](const asio::error_code &, std::size_t) {});
        return this->readToEnd();
    }

    std::list<tcp::socket> callers;
};

} // namespace

// Guards against a few bodies that do not advance and shut out all others.
TEST_CASE_METHOD(StalledCallerFixture, "HttpServer: bodies that stopped hold all room: an upload that advances gets it")
{
    this->startServer(
        [](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, "whole"); });
    this->startUpload();
    this->loop.run_for(stopTime);
    CHECK(this->answer(upload(largeBytes)).starts_with("HTTP/1.1 200"));
    CHECK(this->server->refusedCallers().stalledConnections == 1);
}

// Guards against the opposite, uploads that displace each other so that none gets through.
TEST_CASE_METHOD(StalledCallerFixture, "HttpServer: bodies that advance hold all room: another upload is refused")
{
    this->startServer(
        [](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, "whole"); });
    this->startUpload();
    const std::string received = this->answer(upload(largeBytes));
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Retry-After: 1") != std::string::npos);
    CHECK(this->server->refusedCallers().stalledConnections == 0);
}

// Guards against answers that nobody reads and that shut out all others.
TEST_CASE_METHOD(StalledCallerFixture, "HttpServer: unread answers hold all room: an answer that is read gets it")
{
    this->startServer([](const HttpRequest &, const HttpResponderPtr &responder) {
        responder->reply(200, {}, std::string(largeBytes, 'y'));
    });
    tcp::socket &caller = this->addCaller();
    caller.set_option(asio::socket_base::receive_buffer_size(4096));
    asio::write(caller, asio::buffer(plainRequest));
    this->runUntil([this] { return this->server->buffers().usedBytes() > 0; });
    this->loop.run_for(stopTime);
    const std::string received = this->answer("GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
    CHECK(received.ends_with(std::string(largeBytes, 'y')));
}

// Guards against a body that is read although its length is announced to be above the limit.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: announced body is above the limit: status 413 at once")
{
    this->startServer([](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, ""); });
    IncomingLimits limits;
    limits.maxBodyBytes = 1000;
    this->server->setLimits(limits);
    this->send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1001\r\n\r\n");
    const std::string received = this->readToEnd();
    CHECK(received.starts_with("HTTP/1.1 413"));
    CHECK(received.find("not-run") != std::string::npos);
    CHECK(this->server->refusedCallers().largeBodies == 1);
}

// Guards against a body that holds its memory for minutes.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: body stops: status 408 after the time limit")
{
    this->startServer([](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(200, {}, ""); });
    IncomingLimits limits;
    limits.bodyTimeout = std::chrono::milliseconds(300);
    this->server->setLimits(limits);
    this->send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\nx");
    CHECK(this->readToEnd().starts_with("HTTP/1.1 408"));
    CHECK(this->server->refusedCallers().slowBodies == 1);
}

// Guards against bodies of pipelined requests that are given to each other's handlers.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: pipelined requests have bodies: each handler gets its own")
{
    std::vector<std::string> requests;
    this->startServer([&requests](const HttpRequest &request, const HttpResponderPtr &responder) {
        requests.push_back(request.path + " " + request.body);
        responder->reply(200, {}, request.body);
    });
    this->send("POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\none"
               "GET /b HTTP/1.1\r\nHost: t\r\n\r\n"
               "POST /c HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
               "POST /d HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
    this->readToEnd();
    CHECK(requests == std::vector<std::string>{"/a one", "/b ", "/c two", "/d three"});
}

// Guards against a head that is longer than what is read at once.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: head is longer than one read: its request is handled with its body")
{
    HttpRequest received;
    this->startServer([&received](HttpRequest request, const HttpResponderPtr &responder) {
        received = std::move(request);
        responder->reply(200, {}, "");
    });
    const std::string value(15000, 'v');
    this->send("POST / HTTP/1.1\r\nHost: t\r\nX: " + value
               + "\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    CHECK(this->readToEnd().starts_with("HTTP/1.1 200"));
    CHECK(received.headers.value("X") == value);
    CHECK(received.body == "body");
}

// Guards against a request that gives up the time limits of its connection by an offer to upgrade it.
TEST_CASE_METHOD(HttpServerFixture, "HttpServer: requests offer an upgrade: they are handled like others")
{
    std::vector<std::string> bodies;
    this->startServer([&bodies](const HttpRequest &request, const HttpResponderPtr &responder) {
        bodies.push_back(request.body);
        responder->reply(200, {}, "");
    });
    const std::string upgrade = "POST / HTTP/1.1\r\nHost: t\r\nUpgrade: websocket\r\nContent-Length: 4\r\nConnection: ";
    this->send(upgrade + "Upgrade\r\n\r\nbody" + upgrade + "Upgrade, close\r\n\r\nrest");
    CHECK(this->readToEnd().starts_with("HTTP/1.1 200"));
    CHECK(bodies == std::vector<std::string>{"body", "rest"});
}
