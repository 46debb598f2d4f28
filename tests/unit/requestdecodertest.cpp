#include "requestdecoder.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <random>
#include <vector>

using namespace hemlock;

namespace {

using Result = RequestDecoder::Result;

constexpr RequestSizeLimits limits{100, 1000};

/// Adds the bytes whole, or one at a time, until the decoder has decided.
Result addAll(RequestDecoder &decoder, std::string_view bytes, bool isSplit, const RequestSizeLimits &used = limits)
{
    Result result = Result::Incomplete;
    while (!bytes.empty() && result == Result::Incomplete) {
        std::string_view part = bytes.substr(0, isSplit ? 1 : bytes.size());
        const std::size_t size = part.size();
        result = decoder.add(part, used);
        bytes.remove_prefix(size - part.size());
    }
    return result;
}

const std::string longBody(1000, 'x');

} // namespace

// Guards against bodies that are taken for heads, and heads that are taken for bodies and are not bounded.
TEST_CASE("RequestDecoder: whole requests: each ends where the next one begins")
{
    struct Form
    {
        std::string request;
        std::string head;
        std::string body;
    };
    const std::string post = "POST / HTTP/1.1\r\n";
    const Form form = GENERATE_COPY(values<Form>(
        {{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", ""},
         {"\r\n\nGET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\nHost: a\n\n", ""},
         {post + "CONTENT-length:\t 1000 \r\n\r\n" + longBody, post + "\r\n", longBody},
         {post + "Content-Length:\r\n  1000\r\nA: b\r\n\r\n" + longBody, post + "A: b\r\n\r\n", longBody},
         {post + "Content-Length: 0\r\n\r\n", post + "\r\n", ""},
         {post + "Upgrade: websocket\r\nContent-Length: 1\r\n\r\nx", post + "\r\n", "x"},
         {post + "X: Content-Length: 5\r\n\r\n", post + "X: Content-Length: 5\r\n\r\n", ""},
         {post + "X: a\r\n Content-Length: 5\r\n\r\n", post + "X: a\r\n Content-Length: 5\r\n\r\n", ""},
         {post + "Transfer-Encoding: chunked\r\n\r\n3E8;a=b\r\n" + longBody + "\r\n0\r\n\r\n", post + "\r\n", longBody},
         {post + "Transfer-Encoding:\r\n Chunked\r\n\r\n1 ;a\r\nx\r\n02\r\nyz\r\n00\r\nT: t\r\n\r\n",
          post + "\r\n",
          "xyz"}}));
    const bool isSplit = GENERATE(false, true);
    INFO(form.request.substr(0, 60));
    RequestDecoder decoder;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(addAll(decoder, form.request, isSplit) == Result::Complete);
        CHECK(decoder.takeHead() == form.head);
        CHECK(decoder.takeBody() == form.body);
        decoder.beginRequest();
        CHECK(decoder.isEmpty());
    }
}

// Guards against a pipelined request that is taken for part of the one before it.
TEST_CASE("RequestDecoder: requests follow each other in the same bytes: each is taken by itself")
{
    const std::string bytes =
        "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\n\r\nPOST /c HTTP/1.1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\nGET /d";
    std::string_view rest = bytes;
    RequestDecoder decoder;
    std::vector<std::string> bodies;
    while (decoder.add(rest, limits) == Result::Complete) {
        bodies.push_back(decoder.takeBody());
        decoder.beginRequest();
    }
    CHECK(bodies == std::vector<std::string>{"ab", "", "c"});
    CHECK(rest.empty());
    CHECK(decoder.isInHead());
}

// Guards against heads without end.
TEST_CASE("RequestDecoder: head, trailer, chunk size or empty lines above the limit: they are refused")
{
    const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string bytes =
        GENERATE_COPY(values<std::string>({"GET / HTTP/1.1\r\nHost: a\r\n" + std::string(100, 'x'),
                                           std::string(101, '\n'),
                                           std::string(101, '\r'),
                                           chunked + "0\r\n" + std::string(60, 'x'),
                                           chunked + "1;" + std::string(100, 'x')}));
    const bool isSplit = GENERATE(false, true);
    RequestDecoder decoder;
    CHECK(addAll(decoder, bytes, isSplit) == Result::HeadTooLarge);
}

// Guards against a body that is read although it is known to be too long.
TEST_CASE("RequestDecoder: body above the limit: it is refused before it arrives")
{
    const std::string bytes = GENERATE(as<std::string>(),
                                       "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
                                       "POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n",
                                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n",
                                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n",
                                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n3e8\r\n");
    const bool isSplit = GENERATE(false, true);
    INFO(bytes);
    RequestDecoder decoder;
    CHECK(addAll(decoder, bytes, isSplit) == Result::BodyTooLarge);
}

// Guards against a request within the body of another one, by a body whose end is not clear.
TEST_CASE("RequestDecoder: framing is not sound: the request is malformed")
{
    const std::string head = "POST / HTTP/1.1\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string bytes =
        GENERATE_COPY(values<std::string>({head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n",
                                           head + "Content-Length: 4\r\n" + chunked + "\r\n",
                                           head + chunked + "Content-Length: 4\r\n\r\n",
                                           head + chunked + chunked + "\r\n",
                                           head + "Content-Length: 4, 4\r\n\r\n",
                                           head + "Content-Length: +4\r\n\r\n",
                                           head + "Content-Length: -4\r\n\r\n",
                                           head + "Content-Length: 4 0\r\n\r\n",
                                           head + "Content-Length:\r\n\r\n",
                                           head + "Content-Length: 99999999999999999999\r\n\r\n",
                                           head + "Content-Length : 4\r\n\r\n",
                                           head + "A: b\rContent-Length: 4\r\n\r\n",
                                           head + "\rXGET / HTTP/1.1\r\n\r\n",
                                           "GET /\rHTTP/1.1\r\n\r\n",
                                           head + " Content-Length: 4\r\n\r\n",
                                           head + "Transfer-Encoding: gzip\r\n\r\n",
                                           head + "Transfer-Encoding: chunked, chunked\r\n\r\n",
                                           head + "Transfer-Encoding:\r\n\r\n",
                                           head + chunked + "\r\n4\nbody\r\n",
                                           head + chunked + "\r\n4;a\nbody\r\n",
                                           head + chunked + "\r\n4\rbody\r\n",
                                           head + chunked + "\r\n4\r\nbodyx",
                                           head + chunked + "\r\n4\r\nbody\n",
                                           head + chunked + "\r\n\r\n",
                                           head + chunked + "\r\n;a\r\n",
                                           head + chunked + "\r\n+4\r\n",
                                           head + chunked + "\r\n0x4\r\n",
                                           head + chunked + "\r\n00000000000000004\r\n"}));
    const bool isSplit = GENERATE(false, true);
    INFO(bytes);
    RequestDecoder decoder;
    CHECK(addAll(decoder, bytes, isSplit) == Result::Malformed);
}

// Guards against chunks that take more memory than their bytes.
TEST_CASE("RequestDecoder: body in small chunks: takes no more memory than in one")
{
    constexpr std::size_t bodyBytes = 100000;
    constexpr RequestSizeLimits large{1000, bodyBytes};
    std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < bodyBytes; ++i)
        bytes += "1;ext\r\nx\r\n";
    RequestDecoder decoder;
    REQUIRE(addAll(decoder, bytes, false, large) == Result::Incomplete);
    CHECK(decoder.heldBytes() <= bodyBytes + large.maxHeadBytes);
    REQUIRE(addAll(decoder, "0\r\n\r\n", false, large) == Result::Complete);
    CHECK(decoder.takeBody() == std::string(bodyBytes, 'x'));
}

// Guards against memory that an announced length takes before the body arrives.
TEST_CASE("RequestDecoder: body is announced: takes memory as it arrives")
{
    constexpr RequestSizeLimits large{1000, std::size_t{1} << 30};
    RequestDecoder decoder;
    REQUIRE(addAll(decoder, "POST / HTTP/1.1\r\nContent-Length: 500000000\r\n\r\nbytes", false, large)
            == Result::Incomplete);
    CHECK(decoder.heldBytes() < 2000);
}

// Guards against a result that depends on how the bytes are split between chunks and between reads.
TEST_CASE("RequestDecoder: random chunks and reads: the body is the one that was sent")
{
    constexpr RequestSizeLimits large{1000, 100000};
    const unsigned seed = GENERATE(range(1U, 200U));
    std::mt19937 random(seed);
    const auto below = [&random](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    std::string body;
    std::string bytes = "POST / HTTP/1.1\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::size_t chunks = below(20);
    for (std::size_t i = 0; i < chunks; ++i) {
        const std::string data(1 + below(below(2) == 0 ? 3 : 500), static_cast<char>('a' + below(26)));
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), below(2) == 0 ? "%zx" : "0%zX", data.size());
        bytes += size.data() + std::string(below(3) == 0 ? ";name=value" : "") + "\r\n" + data + "\r\n";
        body += data;
    }
    bytes += below(2) == 0 ? "0\r\n\r\n" : "0;x\r\nT: t\r\nU: u\r\n\r\n";
    RequestDecoder decoder;
    Result result = Result::Incomplete;
    for (std::size_t position = 0; position < bytes.size();) {
        REQUIRE(result == Result::Incomplete);
        std::string_view part = std::string_view(bytes).substr(position, 1 + below(100));
        position += part.size();
        result = decoder.add(part, large);
    }
    REQUIRE(result == Result::Complete);
    CHECK(decoder.takeHead() == "POST / HTTP/1.1\r\nA: b\r\n\r\n");
    CHECK(decoder.takeBody() == body);
}

// Guards against small fields that take many times their size once they are parsed.
TEST_CASE("RequestDecoder: lines of a head: each is counted")
{
    RequestDecoder decoder;
    REQUIRE(addAll(decoder, "GET / HTTP/1.1\r\nA:\r\n folded\r\nB: b\r\n\r\n", false) == Result::Complete);
    CHECK(decoder.lineCount() == 4);
}
