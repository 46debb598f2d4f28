#include "relayvm.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <list>

using namespace hemlock;
using asio::ip::tcp;

namespace {

/// Memory of the VM in these tests. The process takes about 17 MB of it without any caller.
constexpr int memoryMb = 60;

/// Descriptors of the VM in these tests; 200 of them are for files.
constexpr int maxDescriptors = 300;
constexpr int maxOpenSockets = 100;

/// More than the default limit of a head (16,384), and less than the 80 KiB at which http_parser gives up.
constexpr std::size_t endlessBytes = 75000;
constexpr std::size_t endlessCallers = 60;

/// Below the default limit of a head.
constexpr std::size_t incompleteBytes = 15000;
constexpr std::size_t incompleteCallers = 100;

constexpr std::size_t silentCallers = 150;

/// The process reads 4 KiB of each connection between two answers, so it has read all of endlessBytes after as many.
constexpr int requestsUntilRead = 40;

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

/// A relay process with little memory and few descriptors, and raw connections to it.
class BoundlessCallerFixture : public RelayVm
{
protected:
    BoundlessCallerFixture()
        : RelayVm({memoryMb, maxDescriptors}, [](const HttpRequest &request, const HttpResponderPtr &responder) {
            answerWhole(request, responder, "answer");
        })
    {
    }

    /// Opens connections that each send @p bytes and then stay open. The relay may close them.
    void startCallers(const std::string &listener, std::size_t count, const std::string &bytes)
    {
        for (std::size_t i = 0; i < count; ++i) {
            asio::error_code ignored;
            tcp::socket &caller = this->callers.emplace_back(this->loop);
            caller.connect({asio::ip::make_address("127.0.0.1"), this->ports.at(listener)}, ignored);
            asio::write(caller, asio::buffer(bytes), ignored);
        }
    }

    /// The greatest resident memory of the process so far.
    long peakMb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->relay->id()) + "/status");
        std::string word;
        while (status >> word && word != "VmHWM:") {}
        long kilobytes = 0;
        status >> kilobytes;
        return kilobytes / 1000;
    }

    void checkHealth()
    {
        for (int i = 0; i < requestsUntilRead; ++i)
            CHECK(this->requestStatus("control") == 200);
        CHECK(this->requestStatus("front") == 200);
        CHECK(this->requestStatus("ready") == 200);
        CHECK_FALSE(this->relay->hasEnded());
        CHECK(this->peakMb() < memoryMb);
        CHECK(this->openSockets() <= maxOpenSockets);
    }

    asio::io_context loop{1};
    std::list<tcp::socket> callers;
};

const std::string requestLine = "POST / HTTP/1.1\r\nHost: test\r\n";

} // namespace

// Guards against a process that is ended for its memory: a small field takes many times its size once it is parsed.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: heads are above the limit: memory is bounded")
{
    const std::string listener = GENERATE(as<std::string>(), "front", "ready", "control");
    INFO(listener);
    this->startCallers(listener, endlessCallers, requestLine + repeated("a: b\r\n", endlessBytes));
    this->checkHealth();
}

// Guards against heads that are each within the limit, but not together.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: many heads below the limit do not end: memory is bounded")
{
    this->startCallers("front", incompleteCallers, requestLine + repeated("a:\n", incompleteBytes));
    this->checkHealth();
}

// Guards against the same fault after the body, where a request has fields, too.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: trailers do not end: memory is bounded")
{
    this->startCallers("front",
                       endlessCallers,
                       requestLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("a: b\r\n", endlessBytes));
    this->checkHealth();
}

// Guards against bytes before, in or after a request line that never become a request.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: other bytes without end: memory is bounded")
{
    const std::string bytes =
        GENERATE_COPY(values<std::string>({repeated("\r\n", endlessBytes),
                                           repeated("\n", endlessBytes),
                                           "GET /" + repeated("x", endlessBytes),
                                           requestLine + repeated("x", endlessBytes),
                                           requestLine + "X: " + repeated("x", endlessBytes),
                                           requestLine + "X: x" + repeated("\r\n x", endlessBytes)}));
    INFO(bytes.substr(0, 50));
    this->startCallers("front", endlessCallers, bytes);
    this->checkHealth();
}

// Guards against connections that use up the descriptors, after which RESTinio would never accept another one.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: many callers send nothing: descriptors are bounded")
{
    const std::string listener = GENERATE(as<std::string>(), "front", "ready", "control");
    INFO(listener);
    this->startCallers(listener, silentCallers, {});
    this->checkHealth();
}

// Guards against a limit that refuses a head within it, or an idle connection, in normal operation.
TEST_CASE_METHOD(BoundlessCallerFixture, "hemlock-relay: callers stay within the limits: all are answered")
{
    const std::string request =
        "GET /metrics HTTP/1.1\r\nHost: test\r\n" + repeated("a:\r\n", incompleteBytes) + "\r\n";
    this->startCallers("control", 1, {});
    for (int i = 0; i < 3; ++i) {
        asio::write(this->callers.front(), asio::buffer(request));
        std::string received;
        asio::read_until(this->callers.front(), asio::dynamic_buffer(received), "hemlock_");
        CHECK(received.starts_with("HTTP/1.1 200"));
        // The rest of the answer.
        asio::error_code ignored;
        this->callers.front().non_blocking(true);
        std::string rest(65536, '\0');
        this->callers.front().read_some(asio::buffer(rest), ignored);
        this->callers.front().non_blocking(false);
    }
    this->checkHealth();
}
