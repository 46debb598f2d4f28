#include "httpserver.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

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
