#include "httpclient.h"
#include "answerforms.h"
#include "bufferpool.h"
#include "httpserver.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <list>
#include <unistd.h>

using namespace hemlock;
using asio::ip::tcp;

namespace {

/// Limit for what a response may occupy: a quarter of the memory of the smallest VM.
constexpr std::size_t maxAnswerBytes = std::size_t{40} * 1024 * 1024;

/// Half of the memory of a small VM.
constexpr std::size_t maxMemoryGrowth = std::size_t{130} * 1024 * 1024;

/// Memory of this process, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t virtualPages = 0;
    std::size_t residentPages = 0;
    file >> virtualPages >> residentPages;
    return residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Behaviour of the scripted server after it has read the head of a request.
enum class Behaviour {
    Answer,
    CloseWithoutAnswer,
    TruncatedAnswer,
    EndlessHead,
    EndlessBody,
    EndlessTrailer,
    AnswerWithTrailer,
    RawAnswer,
    OpenRawAnswer,
    NoAnswer,
};

/// Server on a loopback port that handles requests according to a script and counts them.
class ScriptedServer
{
public:
    explicit ScriptedServer(asio::io_context &loop)
        : acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        this->accept();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
    }

    void answer(const std::shared_ptr<tcp::socket> &socket, bool whole = true)
    {
        asio::write(*socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")));
        asio::write(*socket, asio::buffer(std::string(whole ? "done" : "do")));
        if (!whole)
            return socket->close();
        this->read(socket);
    }

    std::deque<Behaviour> script;
    std::string rawAnswer;
    int requests = 0;
    int connections = 0;
    std::size_t bytesWritten = 0; ///< Bytes of endless responses written so far.
    std::vector<std::shared_ptr<tcp::socket>> unansweredSockets; ///< Connections with NoAnswer.

private:
    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code &error, tcp::socket socket) {
            if (error)
                return;
            ++this->connections;
            this->read(std::make_shared<tcp::socket>(std::move(socket)));
            this->accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        const auto buffer = std::make_shared<std::string>();
        asio::async_read_until(*socket,
                               asio::dynamic_buffer(*buffer),
                               "\r\n\r\n",
                               [this, socket, buffer](const asio::error_code &error, std::size_t) {
                                   if (error)
                                       return;
                                   ++this->requests;
                                   this->handleRequest(socket);
                               });
    }

    void handleRequest(const std::shared_ptr<tcp::socket> &socket)
    {
        const Behaviour behaviour = this->script.empty() ? Behaviour::Answer : this->script.front();
        if (!this->script.empty())
            this->script.pop_front();
        if (behaviour == Behaviour::CloseWithoutAnswer)
            return socket->close();
        if (behaviour == Behaviour::NoAnswer)
            return this->unansweredSockets.push_back(socket);
        if (behaviour == Behaviour::EndlessHead)
            return this->writeEndlessly(socket, "HTTP/1.1 200 OK\r\n", "X-More: " + std::string(1000, 'x') + "\r\n");
        if (behaviour == Behaviour::EndlessBody)
            return this->writeEndlessly(socket, "HTTP/1.1 200 OK\r\n\r\n", std::string(std::size_t{64} * 1024, 'x'));
        const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";
        if (behaviour == Behaviour::EndlessTrailer)
            return this->writeEndlessly(socket, chunkedAnswer, "X-More: " + std::string(1000, 'x') + "\r\n");
        if (behaviour == Behaviour::RawAnswer) {
            asio::write(*socket, asio::buffer(this->rawAnswer));
            return socket->close();
        }
        if (behaviour == Behaviour::OpenRawAnswer) {
            asio::write(*socket, asio::buffer(this->rawAnswer));
            return this->read(socket);
        }
        if (behaviour == Behaviour::AnswerWithTrailer) {
            asio::write(*socket, asio::buffer(chunkedAnswer + "X-Late: 1\r\nHTTP/1.1 500: 1\r\n\r\n"));
            return this->read(socket);
        }
        this->answer(socket, behaviour == Behaviour::Answer);
    }

    /// Writes until the client closes the connection, or until it has accepted far more than any limit allows.
    void writeEndlessly(const std::shared_ptr<tcp::socket> &socket, const std::string &begin, const std::string &chunk)
    {
        constexpr std::size_t maxBytesWritten = std::size_t{256} * 1024 * 1024;
        const auto bytes = std::make_shared<std::string>(begin);
        asio::async_write(*socket,
                          asio::buffer(*bytes),
                          [this, socket, bytes, chunk](const asio::error_code &error, std::size_t size) {
                              this->bytesWritten += size;
                              if (error || this->bytesWritten > maxBytesWritten)
                                  return socket->close();
                              this->writeEndlessly(socket, chunk, chunk);
                          });
    }

    tcp::acceptor acceptor;
};

class HttpClientFixture
{
protected:
    HttpClient::CallId start(const std::string &url, std::optional<HttpOutcome> &result)
    {
        HttpCall call;
        call.method = "POST";
        call.url = url;
        call.timeout = this->timeout;
        call.buffers = this->buffers;
        return this->client.start(call,
                                  {nullptr, nullptr, [&result](const HttpOutcome &outcome) { result = outcome; }});
    }

    /// Waits for a call's timeout without running the loop; libcurl then ends that call before it starts others.
    void busyWaitForTimeout() const
    {
        const auto end = std::chrono::steady_clock::now() + this->timeout + std::chrono::milliseconds(10);
        while (std::chrono::steady_clock::now() <= end)
            continue;
    }

    HttpOutcome post(const std::string &url)
    {
        std::optional<HttpOutcome> result;
        this->start(url, result);
        while (!result)
            this->loop.run_one();
        return *result;
    }

    asio::io_context loop;
    ScriptedServer server{loop};
    HttpClient client{loop};
    std::chrono::milliseconds timeout{10000};
    std::shared_ptr<BufferPool> buffers = std::make_shared<BufferPool>(std::size_t{32} * 1024 * 1024);
};

} // namespace

// Guards against idle connections to many upstreams that take all descriptors of a VM.
TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient: connections of many servers are idle: those above the limit are closed")
{
    const auto openFiles = [] {
        const std::filesystem::directory_iterator files("/proc/self/fd");
        return std::distance(begin(files), end(files));
    };
    constexpr int serverCount = 20;
    constexpr std::size_t maxConnections = 5;
    std::list<HttpServer> servers;
    std::vector<std::string> urls;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back(
            this->loop, HttpServerSettings{}, [](const HttpRequest &, const HttpResponderPtr &responder) {
                responder->reply(200, {}, "");
            });
        urls.push_back("http://" + servers.back().start() + "/");
    }
    this->client.setMaxConnections(maxConnections);
    const auto before = openFiles();
    for (const std::string &url : urls)
        REQUIRE(this->post(url).isComplete());
    // The servers notice the closed connections.
    this->loop.run_for(std::chrono::milliseconds(100));
    // Both ends of each connection.
    CHECK(openFiles() - before <= 2 * static_cast<std::ptrdiff_t>(maxConnections));
}

// Guards against running a call twice: libcurl resends a request when a reused connection closes without a response.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: reused connection closes after the request: request is sent only once")
{
    this->server.script = {Behaviour::Answer, Behaviour::CloseWithoutAnswer, Behaviour::Answer};
    REQUIRE(this->post(this->server.url()).isComplete());

    const HttpOutcome outcome = this->post(this->server.url());

    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(this->server.requests == 2);
}

// Guards against reporting "not run" for a request that reached the upstream.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: connection closes before a response: verdict is may-have-run")
{
    this->server.script = {Behaviour::CloseWithoutAnswer};
    CHECK(this->post(this->server.url()).verdict == Verdict::MayHaveRun);
}

// Guards against taking a truncated response for a complete one.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: connection closes within the response: verdict is may-have-run")
{
    this->server.script = {Behaviour::TruncatedAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(outcome.status == 200);
}

// Guards against losing a safe retry: nothing was written to a refused connection.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: connection is refused: verdict is not-run")
{
    tcp::acceptor closed(this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::string url = "http://127.0.0.1:" + std::to_string(closed.local_endpoint().port()) + "/";
    closed.close();
    CHECK(this->post(url).verdict == Verdict::NotRun);
}

// Guards against calling the hooks of a cancelled call.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: call is cancelled at once: no hook runs and nothing is sent")
{
    bool finished = false;
    HttpCall call;
    call.url = this->server.url();
    const auto id = this->client.start(call, {nullptr, nullptr, [&finished](const HttpOutcome &) { finished = true; }});
    this->client.cancel(id);
    REQUIRE(this->post(this->server.url()).isComplete());
    CHECK_FALSE(finished);
    CHECK(this->server.requests == 1);
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: call is cancelled while it waits for a response: the closed hook runs")
{
    this->server.script = {Behaviour::NoAnswer};
    bool isClosed = false;
    HttpCall call;
    call.url = this->server.url();
    HttpCallHooks hooks;
    hooks.done = [](const HttpOutcome &) {};
    hooks.closed = [&isClosed](std::optional<std::size_t>) { isClosed = true; };
    const auto id = this->client.start(call, std::move(hooks));
    while (this->server.unansweredSockets.empty())
        this->loop.run_one();
    this->client.cancel(id);
    while (!isClosed)
        this->loop.run_one();
    char byte = 0;
    asio::error_code error;
    this->server.unansweredSockets.front()->read_some(asio::buffer(&byte, 1), error);
    CHECK(error);
}

// Guards against a socket that is not watched, or watched twice, when its descriptor number is reused immediately.
TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient: late loop, next call reuses the socket number of an ended one: its response is received")
{
    this->server.script = {Behaviour::NoAnswer, Behaviour::Answer};
    this->timeout = std::chrono::milliseconds(100);
    std::optional<HttpOutcome> first;
    this->start(this->server.url(), first);
    while (this->server.unansweredSockets.empty())
        this->loop.run_one();
    this->busyWaitForTimeout();
    std::optional<HttpOutcome> second;
    this->timeout = std::chrono::seconds(10);
    this->start(this->server.url(), second);
    this->server.answer(this->server.unansweredSockets.front());
    // poll() does not wait for later timers, so only socket events can complete the call.
    constexpr int maxPolls = 2000;
    for (int i = 0; i < maxPolls && !second; ++i)
        this->loop.poll();
    REQUIRE(first);
    CHECK(first->failure == HttpFailure::Timeout);
    REQUIRE(second);
    CHECK(second->isComplete());
}

// Guards against unbounded memory use when a faulty server sends an endless response.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: endless head: the connection is closed and the response is broken")
{
    this->server.script = {Behaviour::EndlessHead};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.failure == HttpFailure::Broken);
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(this->server.bytesWritten < maxAnswerBytes);
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: endless body: the connection is closed and the response is broken")
{
    this->server.script = {Behaviour::EndlessBody};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.failure == HttpFailure::Broken);
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(outcome.body.size() < maxAnswerBytes);
    CHECK(this->server.bytesWritten < maxAnswerBytes);
}

// Guards against a process that runs out of memory by the fields behind a chunked body.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: endless trailer: the connection is closed and the response is broken")
{
    this->server.script = {Behaviour::EndlessTrailer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.failure == HttpFailure::Broken);
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(this->server.bytesWritten < maxAnswerBytes);
    CHECK(this->client.brokenOffAnswers() == 1);
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient: response has a trailer: its fields are not taken for those of the head")
{
    this->server.script = {Behaviour::AnswerWithTrailer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 200);
    CHECK(outcome.headers.has("Transfer-Encoding"));
    CHECK_FALSE(outcome.headers.has("X-Late"));
    CHECK(outcome.body == "done");
}

// Guards against a limit for each response that does not bound what many of them take together.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: many endless bodies at once: their sum is bounded")
{
    constexpr std::size_t callCount = 60;
    this->server.script = std::deque<Behaviour>(callCount, Behaviour::EndlessBody);
    std::vector<std::optional<HttpOutcome>> outcomes(callCount);
    for (auto &outcome : outcomes)
        this->start(this->server.url(), outcome);
    const std::size_t memoryBefore = residentBytes();
    std::size_t memoryPeak = memoryBefore;
    for (const auto &outcome : outcomes) {
        while (!outcome) {
            this->loop.run_one();
            memoryPeak = std::max(memoryPeak, residentBytes());
        }
        CHECK(outcome->failure == HttpFailure::Broken);
    }
    CHECK(memoryPeak - memoryBefore < maxMemoryGrowth);
    this->server.script = {Behaviour::Answer};
    CHECK(this->post(this->server.url()).isComplete());
}

// Guards against passing on an answer after which a caller waits for the final one.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: status is not that of a final answer: verdict is may-have-run")
{
    const std::string status = GENERATE("101 Switching", "100 Continue", "199 Unknown", "600 Unknown", "999 Unknown");
    INFO(status);
    this->server.rawAnswer = "HTTP/1.1 " + status + "\r\nContent-Length: 4\r\n\r\ndone";
    this->server.script = {Behaviour::RawAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(outcome.failure == HttpFailure::Broken);
    CHECK(outcome.body.empty());
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: interim answers precede the final one: the final one is taken")
{
    this->server.rawAnswer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    this->server.script = {Behaviour::RawAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 200);
    CHECK(outcome.body == "done");
    CHECK_FALSE(outcome.headers.has("X-Hint"));
}

// Guards against taking a head that breaks off for an answer with an empty body.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: connection closes within the head: verdict is may-have-run")
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const std::string &fields : {std::string("X-Signature: s\r\n"),
                                      std::string("X-Signature: s\r\nX-Mo"),
                                      std::string("X-Signature: s\r\nContent-Le"),
                                      std::string("X-Signature: s\r\nContent-Length: 4"),
                                      std::string()}) {
        INFO(fields);
        this->server.rawAnswer = status + fields;
        this->server.script = {Behaviour::RawAnswer};
        const HttpOutcome outcome = this->post(this->server.url());
        CHECK(outcome.verdict == Verdict::MayHaveRun);
        CHECK(outcome.failure == HttpFailure::Broken);
    }
}

// Guards against a success with a part of the server's body.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: framing of the response is not sound: verdict is may-have-run")
{
    const AnswerForm form = GENERATE(from_range(unsoundAnswers()));
    INFO(form.name);
    this->server.rawAnswer = form.bytes();
    this->server.script = {Behaviour::RawAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.verdict == Verdict::MayHaveRun);
    CHECK(outcome.failure == HttpFailure::Broken);
    CHECK_FALSE(outcome.error.empty());
}

// Guards against a response to another request, by bytes that are left on a connection.
TEST_CASE_METHOD(HttpClientFixture, "HttpClient: framing of the response is not sound: the connection is not reused")
{
    const AnswerForm form = GENERATE(from_range(unsoundAnswers()));
    INFO(form.name);
    this->server.rawAnswer = form.bytes();
    this->server.script = {Behaviour::OpenRawAnswer, Behaviour::Answer};
    this->timeout = std::chrono::milliseconds(2000);
    CHECK(this->post(this->server.url()).failure == HttpFailure::Broken);
    CHECK(this->post(this->server.url()).body == "done");
    CHECK(this->server.connections == 2);
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: framing of the response is sound: its body is received")
{
    const AnswerForm form = GENERATE(from_range(soundAnswers()));
    INFO(form.name);
    this->server.rawAnswer = form.bytes();
    this->server.script = {Behaviour::RawAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 200);
    CHECK(outcome.body == wholeAnswerBody());
    CHECK(outcome.bodyBytes == wholeAnswerBytes);
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: response has no body by its status: later bytes are not taken for one")
{
    const std::string head = GENERATE("HTTP/1.1 204 No Content\r\n\r\n",
                                      "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
                                      "HTTP/1.1 304 Not Modified\r\nContent-Length: 800\r\n\r\n");
    INFO(head);
    this->server.rawAnswer = head + wholeAnswerBody();
    this->server.script = {Behaviour::RawAnswer};
    const HttpOutcome outcome = this->post(this->server.url());
    CHECK(outcome.isComplete());
    CHECK(outcome.body.empty());
    CHECK(outcome.bodyBytes == 0);
}

namespace {

/// A server that accepts a connection and reads from it only when the test says so, like one behind a broken link.
class UnreadRequestFixture : public HttpClientFixture
{
protected:
    UnreadRequestFixture()
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
    }

    /// Starts a call with a body that exceeds what the kernel buffers for the connection, and accepts the connection.
    HttpClient::CallId startLongCall()
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
        call.body = std::string(std::size_t{16} * 1024 * 1024, 'x');
        call.timeout = this->timeout;
        HttpCallHooks hooks;
        hooks.done = [this](const HttpOutcome &) { this->isEnded = true; };
        hooks.closed = [this](std::optional<std::size_t>) { this->isEnded = true; };
        const auto id = this->client.start(call, std::move(hooks));
        bool isAccepted = false;
        this->acceptor.async_accept(this->peer, [&isAccepted](const asio::error_code &) { isAccepted = true; });
        while (!isAccepted || this->peer.available() == 0)
            this->loop.run_one_for(std::chrono::milliseconds(10));
        return id;
    }

    /// Reads what the kernel still delivers. Returns how the connection ended.
    asio::error_code readToEnd()
    {
        while (!this->isEnded)
            this->loop.run_one();
        asio::error_code error;
        std::string bytes(std::size_t{64} * 1024, 0);
        while (!error)
            this->peer.read_some(asio::buffer(bytes), error);
        return error;
    }

    tcp::acceptor acceptor{this->loop};
    tcp::socket peer{this->loop};
    bool isEnded = false;
};

} // namespace

// Guards against requests that reach an upstream after they were given up, once a broken link works again.
TEST_CASE_METHOD(UnreadRequestFixture,
                 "HttpClient: call is cancelled before its request was read: the rest is discarded")
{
    this->client.cancel(this->startLongCall());
    CHECK(this->readToEnd() == asio::error::connection_reset);
}

TEST_CASE_METHOD(UnreadRequestFixture, "HttpClient: call times out before its request was read: the rest is discarded")
{
    this->timeout = std::chrono::milliseconds(200);
    this->startLongCall();
    CHECK(this->readToEnd() == asio::error::connection_reset);
}

TEST_CASE_METHOD(UnreadRequestFixture, "HttpClient: request is not read: its bytes count as unacknowledged")
{
    const auto id = this->startLongCall();
    CHECK(this->client.unacknowledgedBytes(id).value_or(0) > 0);
    this->client.cancel(id);
    this->readToEnd();
    CHECK_FALSE(this->client.unacknowledgedBytes(id));
}

TEST_CASE_METHOD(HttpClientFixture, "HttpClient: request was received: no byte counts as unacknowledged")
{
    this->server.script = {Behaviour::NoAnswer};
    std::optional<HttpOutcome> result;
    const auto id = this->start(this->server.url(), result);
    CHECK_FALSE(this->client.unacknowledgedBytes(id));
    while (this->server.unansweredSockets.empty() || this->client.unacknowledgedBytes(id) != std::size_t{0})
        this->loop.run_one_for(std::chrono::milliseconds(10));
    CHECK_FALSE(result);
}
