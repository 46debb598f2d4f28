#include "entrycluster.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

constexpr int tokens = 1500;

class SlowCallerFixture : public EntryCluster
{
protected:
    /// Sends a streamed completion on a connection that is never read.
    void requestWithoutReading(const Node &entry, const std::string &prompt)
    {
        const std::size_t colon = entry.address.find(':');
        const auto port = static_cast<std::uint16_t>(std::stoi(entry.address.substr(colon + 1)));
        this->connection.open(asio::ip::tcp::v4());
        this->connection.set_option(asio::socket_base::receive_buffer_size(4096));
        this->connection.connect({asio::ip::make_address("127.0.0.1"), port});
        const std::string body =
            json{{"model", this->modelService}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}}.dump();
        const std::string request =
            "POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer api key of the "
            "test\r\nX-Request-Id: request-1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(this->connection, asio::buffer(request));
    }

    asio::io_context loop;
    asio::ip::tcp::socket connection{this->loop};
};

} // namespace

// Guards against callers that do not read their stream: the entry VM must neither buffer without bound nor lose the
// rest of the answer when it closes the stream.
TEST_CASE_METHOD(SlowCallerFixture, "hemlock-entry: caller does not read its stream: it is closed and can be resumed")
{
    // Not deterministic, so that only the stream that the engine holds can be resumed.
    this->modelService = "free";
    this->startEngine("a", {{"stepMs", 0}, {"vocabulary", {std::string(2000, 'x'), std::string(2500, 'y')}}});
    const Node &entry = this->startEntry({{"maxPendingBytes", 65536}});
    this->applySnapshot();
    const std::string prompt = "list";
    this->requestWithoutReading(entry, prompt);
    entry.process->waitForEvent("refused", [](const json &line) { return line.at("code") == "caller-too-slow"; });
    CHECK(this->rpc(entry, "report", json::object()).at("openCalls") == 0);
    // The engine sends the held tokens faster than a loopback connection transfers them, so the resumed stream may be
    // closed again; each part must continue where the last one ended.
    std::size_t received = 10;
    std::string lastEventId = "10.engine-1";
    bool isDone = false;
    while (!isDone) {
        const Stream resumed =
            this->openStream(entry, prompt, tokens, {{"X-Request-Id", "request-1"}, {"Last-Event-ID", lastEventId}});
        this->waitForEnd(resumed);
        REQUIRE_FALSE(resumed->texts.empty());
        REQUIRE(resumed->events.front().id == std::to_string(received + 1) + ".engine-1");
        received += resumed->texts.size();
        lastEventId = resumed->lastEventId;
        isDone = resumed->isDone();
    }
    CHECK(received == tokens);
}
