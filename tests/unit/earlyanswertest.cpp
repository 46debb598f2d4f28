#include "rawupstream.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// Longer than what the kernel takes for an upstream that does not read.
constexpr std::size_t uploadBytes = std::size_t{12} * 1024 * 1024;

/// An entry process before upstreams that answer uploads before they have read them.
class EarlyAnswerFixture : public StaleAnswerFixture
{
protected:
    EarlyAnswerFixture()
    {
        HttpServerSettings settings;
        settings.maxBodyBytes = 2 * uploadBytes;
        this->largeEntry = std::make_unique<HttpServer>(
            this->loop, settings, [this](HttpRequest request, const HttpResponderPtr &responder) {
                auto call = std::make_shared<RelayCall>(this->context, responder, [] {});
                this->calls.insert(call);
                call->start(std::move(request));
            });
        this->address = this->largeEntry->start();
    }

    HttpOutcome upload(const HttpHeaders &headers = {})
    {
        return this->call("attempt-1", std::string(uploadBytes, 'x'), headers);
    }

    std::unique_ptr<HttpServer> largeEntry;
};

} // namespace

// Guards against a part of an answer that looks whole because its connection ends while the request is being sent.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "RelayCall: answer without a length breaks off during the upload: does not look complete")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream));
    const auto ending =
        GENERATE(RawUpstream::Ending::Close, RawUpstream::Ending::Reset, RawUpstream::Ending::EndThenReset);
    const bool isChunked = GENERATE(false, true);
    INFO("ending " << static_cast<int>(ending) << ", chunked " << isChunked);
    this->answerUnframed("id: 1\ndata: a\n\n", ending);
    const HttpOutcome outcome = this->upload(isChunked ? HttpHeaders{{"Transfer-Encoding", "chunked"}} : HttpHeaders{});
    CHECK((!outcome.isComplete() || outcome.status == 502));
}

// As above, for a request that the kernel has taken and the upstream has not received.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "HttpClient: peer ends its side before it has received the request: the answer is not complete")
{
    const std::size_t bodyBytes = GENERATE(std::size_t{128} * 1024, uploadBytes);
    asio::ip::tcp::acceptor acceptor(this->loop);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    std::vector<asio::ip::tcp::socket> peers;
    const std::string answer = RawUpstream::unframedAnswer("attempt-1", "part");
    acceptor.async_accept([&](const asio::error_code &, asio::ip::tcp::socket socket) {
        peers.push_back(std::move(socket));
        asio::write(peers.back(), asio::buffer(answer));
        peers.back().shutdown(asio::socket_base::shutdown_send);
    });
    HttpCall call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    call.body = std::string(bodyBytes, 'x');
    call.timeout = std::chrono::milliseconds(3000);
    std::optional<HttpOutcome> result;
    HttpCallHooks hooks;
    hooks.done = [&result](const HttpOutcome &outcome) { result = outcome; };
    this->http.start(call, std::move(hooks));
    while (!result)
        this->loop.run_one();
    CHECK_FALSE(result->isComplete());
    CHECK(result->verdict == Verdict::MayHaveRun);
}

TEST_CASE_METHOD(EarlyAnswerFixture,
                 "RelayCall: answer without a length breaks off during the upload: another upstream's answer is whole")
{
    RawUpstream second(this->loop);
    second.bytesFor = [](std::size_t, const std::string &attemptId) { return RawUpstream::answer(attemptId); };
    this->applyUpstreams({this->raw.address(), second.address()});
    this->configure(CallKind::Idempotent, 2);
    this->answerUnframed("part", RawUpstream::Ending::EndThenReset);
    const HttpOutcome outcome = this->upload();
    REQUIRE(outcome.isComplete());
    CHECK(outcome.body == "whole-attempt-1");
}

// Guards against an answer whose status no client knows.
TEST_CASE_METHOD(EarlyAnswerFixture, "RelayCall: status of the answer is out of range: is answered 502")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream));
    const std::string status = GENERATE("000", "001", "099", "0200", "2000", "20", "999", "1000", "-20", "abc", "");
    const std::string framing = GENERATE("Content-Length: 5\r\n", "Connection: close\r\n");
    INFO(status << ' ' << framing);
    this->raw.ending = RawUpstream::Ending::Close;
    this->raw.bytesFor = [status, framing](std::size_t, const std::string &attemptId) {
        return "HTTP/1.1 " + status + " Unknown\r\n" + RawUpstream::signedFields(attemptId) + framing + "\r\nwhole";
    };
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 502);
}
