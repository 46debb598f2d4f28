#include "requestscanner.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

constexpr std::size_t maxHeadBytes = 100;

/// Adds the bytes whole, or one at a time.
bool addAll(RequestScanner &scanner, const std::string &bytes, bool isSplit)
{
    if (!isSplit)
        return scanner.add(bytes, maxHeadBytes);
    for (const char byte : bytes) {
        if (!scanner.add({&byte, 1}, maxHeadBytes))
            return false;
    }
    return true;
}

} // namespace

// Guards against bodies that are counted as heads, and heads that are taken for bodies and are not bounded.
TEST_CASE("RequestScanner: whole requests: each ends where the next one begins")
{
    const std::string body(1000, 'x');
    const std::string request = GENERATE_COPY(values<std::string>(
        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
         "\r\n\nGET / HTTP/1.1\nHost: a\n\n",
         "POST / HTTP/1.1\r\nCONTENT-length:\t 1000 \r\n\r\n" + body,
         "POST / HTTP/1.1\r\nContent-Length:\r\n  1000\r\n\r\n" + body,
         "POST / HTTP/1.1\r\nX: Content-Length: 5\r\n\r\n",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3E8;a=b\r\n" + body + "\r\n0\r\n\r\n",
         "POST / HTTP/1.1\r\nTransfer-Encoding:\r\n chunked\r\n\r\n1\r\nx\r\n0\r\nT: t\r\n\r\n"}));
    const bool isSplit = GENERATE(false, true);
    INFO(request.substr(0, 60));
    RequestScanner scanner;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(addAll(scanner, request, isSplit));
        CHECK(scanner.isBetweenRequests());
    }
}

// Guards against heads without end.
TEST_CASE("RequestScanner: head, trailer or empty lines above the limit: they are refused")
{
    const std::string bytes =
        GENERATE(as<std::string>(),
                 "GET / HTTP/1.1\r\nHost: a\r\n" + std::string(100, 'x'),
                 std::string(101, '\n'),
                 std::string(101, '\r'),
                 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + std::string(60, 'x'));
    const bool isSplit = GENERATE(false, true);
    RequestScanner scanner;
    CHECK_FALSE(addAll(scanner, bytes, isSplit));
}

// Guards against small fields and chunks that take many times their size.
TEST_CASE("RequestScanner: fields and chunks: each is counted")
{
    RequestScanner scanner;
    scanner.add(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA:\r\n folded\r\n\r\n1\r\nx\r\n1\r\nx\r\n0\r\nT: t\r\n\r\n",
        maxHeadBytes);
    // The request line, two fields, three chunks and a field of the trailer.
    CHECK(scanner.recordCount() == 7);
}
