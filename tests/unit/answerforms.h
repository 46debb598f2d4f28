#pragma once

#include <string>
#include <vector>

namespace hemlock {

/// One form of an HTTP answer.
struct AnswerForm
{
    std::string name;
    std::string framing; ///< Fields that frame the body, each with its line end.
    std::string body; ///< Bytes behind the head.
    std::string statusLine = "HTTP/1.1 200 OK\r\n";
    std::string headEnd = "\r\n";

    /// Returns the answer with more fields, which end with CR and LF.
    std::string bytes(std::string fields = {}) const
    {
        if (!this->headEnd.starts_with('\r'))
            std::erase(fields, '\r');
        return this->statusLine + fields + this->framing + this->headEnd + this->body;
    }
};

constexpr std::size_t wholeAnswerBytes = 800;

/// Body of an upstream's whole answer.
inline std::string wholeAnswerBody()
{
    std::string body;
    while (body.size() < wholeAnswerBytes)
        body += "part " + std::to_string(body.size()) + ";";
    return body.substr(0, wholeAnswerBytes);
}

/// Answers that end after half of their body, or whose bytes do not tell where the body ends.
inline std::vector<AnswerForm> unsoundAnswers()
{
    const std::string whole = wholeAnswerBody();
    const std::string half = whole.substr(0, wholeAnswerBytes / 2);
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string end = "\r\n0\r\n\r\n";
    const std::string length = "Content-Length: 400\r\n";
    using namespace std::string_literals;
    return {
        {"lengths differ", "Content-Length: 800\r\n" + length, half},
        {"lengths differ, the first is shorter", length + "Content-Length: 800\r\n", half},
        {"lengths differ in one field", "Content-Length: 400, 800\r\n", half},
        {"length and an empty item", "Content-Length: 400,\r\n", half},
        {"length with a letter", "Content-Length: 400x\r\n", half},
        {"length with a sign", "Content-Length: +400\r\n", half},
        {"length with a fraction", "Content-Length: 400.0\r\n", half},
        {"length with a blank", "Content-Length: 400 0\r\n", half},
        {"hexadecimal length", "Content-Length: 0x190\r\n", half},
        {"empty length", "Content-Length:\r\n", half},
        {"blank length", "Content-Length:  \r\n", half},
        {"negative length", "Content-Length: -1\r\n", half},
        {"length above 63 bits", "Content-Length: 9223372036854775808\r\n", half},
        {"length above 64 bits", "Content-Length: 99999999999999999999\r\n", half},
        {"length in an interim answer",
         "\r\nHTTP/1.1 200 OK\r\n",
         half,
         "HTTP/1.1 103 Hints\r\nContent-Length: 400\r\n"},
        {"length beside chunks", length + chunked, "190\r\n" + half + end},
        {"chunks beside a length", chunked + length, "190\r\n" + half + end},
        {"gzip as transfer coding", "Transfer-Encoding: gzip\r\n", half},
        {"gzip and chunked", "Transfer-Encoding: gzip, chunked\r\n", "190\r\n" + half + end},
        {"chunked twice", "Transfer-Encoding: chunked, chunked\r\n", "190\r\n" + half + end},
        {"two fields with chunked", chunked + chunked, "190\r\n" + half + end},
        {"identity", "Transfer-Encoding: identity\r\n", half},
        {"empty transfer coding", "Transfer-Encoding:\r\n", half},
        {"unknown transfer coding", "Transfer-Encoding: xchunked\r\n", half},
        {"chunks in HTTP/1.0", chunked, "190\r\n" + half + end, "HTTP/1.0 200 OK\r\n"},
        {"blank before the colon", "Content-Length : 800\r\n", half},
        {"tab before the colon", "Transfer-Encoding\t: chunked\r\n", "320\r\n" + half},
        {"line that is no field", "Content-Length 800\r\n", half},
        {"field without a name", ": 800\r\n" + length, half},
        {"field with a blank in its name", "Content Length: 800\r\n" + length, half},
        {"status line within the head", "HTTP/1.1 200 OK\r\n" + length, half},
        {"NUL in a field", "X-Field: a\0b\r\n"s + length, half},
        {"CR in a field", "X-Field: a\rContent-Length: 800\r\n" + length, half},
        {"line ends differ", "X-Field: a\n" + length, half},
        {"head ends early by a status line that ends early", "", half, "HTTP/1.1 200 O\n\r\nX-Field: a\r\n"},
        {"head ends early by a line end", "X-Field: a\r\n\n" + length, half},
        {"folded length", "Content-Length: 40\r\n 0\r\n", half},
        {"folded line at the begin", length, half, "HTTP/1.1 200 OK\r\n X-Folded: a\r\n"},
        {"chunk size with a sign", chunked, "+190\r\n" + half + end},
        {"negative chunk size", chunked, "-190\r\n" + half + end},
        {"chunk size with a prefix", chunked, "190\r\n" + half + "\r\n0x190\r\n" + half + end},
        {"chunk size with a letter", chunked, "190\r\n" + half + "\r\n0z\r\n\r\n"},
        {"blank before a chunk size", chunked, " 190\r\n" + half + end},
        {"blank behind a chunk size", chunked, "190 \r\n" + half + end},
        {"empty chunk size", chunked, "\r\n" + half + end},
        {"chunk size above 64 bits", chunked, "10000000000000190\r\n" + half + end},
        {"chunk longer than its size", chunked, "18f\r\n" + half + end},
        {"chunk line without CR", chunked, "190\n" + half + end},
        {"line of the trailer that is no field", chunked, "190\r\n" + half + "\r\n0\r\n" + half + "\r\n\r\n"},
        {"body of 204", length, half, "HTTP/1.1 204 No Content\r\n"},
        {"chunks of 204", chunked, "190\r\n" + half + end, "HTTP/1.1 204 No Content\r\n"},
        {"status with four digits", length, half, "HTTP/1.1 2000 OK\r\n"},
        {"unknown version", length, half, "HTTP/1.7 200 OK\r\n"},
    };
}

/// Answers whose content is wholeAnswerBody(). Those that neither length nor chunks end, end with their connection.
inline std::vector<AnswerForm> soundAnswers()
{
    const std::string whole = wholeAnswerBody();
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string length = "Content-Length: 800\r\n";
    const std::string lastChunk = "\r\n0\r\n\r\n";
    return {
        {"length", length, whole},
        {"lower-case length", "content-length:800\r\n", whole},
        {"length with zeros before it", "Content-Length: 00800\r\n", whole},
        {"equal lengths", length + length, whole},
        {"equal lengths in one field", "Content-Length: 800, 800\r\n", whole},
        {"HTTP/1.0 with a length", length, whole, "HTTP/1.0 200 OK\r\n"},
        {"end of the connection", "", whole},
        {"HTTP/1.0 and the end of the connection", "", whole, "HTTP/1.0 200 OK\r\n"},
        {"status line without a reason", length, whole, "HTTP/1.1 200\r\n"},
        {"lines that end with LF alone", "Content-Length: 800\n", whole, "HTTP/1.1 200 OK\n", "\n"},
        {"folded field", "X-Field: a\r\n  b\r\n" + length, whole},
        {"interim answers",
         length,
         whole,
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n"},
        {"chunks", chunked, "190\r\n" + whole.substr(0, 400) + "\r\n190\r\n" + whole.substr(400) + lastChunk},
        {"upper-case chunked", "TRANSFER-ENCODING: CHUNKED\r\n", "320\r\n" + whole + lastChunk},
        {"chunk size with zeros before it", chunked, "0000320\r\n" + whole + "\r\n000\r\n\r\n"},
        {"chunk extension", chunked, "320;name=value\r\n" + whole + "\r\n0;last\r\n\r\n"},
        {"chunk extension behind a blank", chunked, "320 ; name=\"value\"\r\n" + whole + lastChunk},
        {"trailer", chunked, "320\r\n" + whole + "\r\n0\r\nX-Late: 1\r\nContent-Length: 5\r\n\r\n"},
        {"content coding", length + "Content-Encoding: gzip\r\n", whole},
        {"content coding of chunks", chunked + "Content-Encoding: gzip\r\n", "320\r\n" + whole + lastChunk},
    };
}

} // namespace hemlock
