#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlock {

/// Finds heads, bodies and trailers in the received bytes of HTTP/1.1 requests and counts their bytes and fields.
///
/// Accepts at least what http_parser accepts. It does not judge a request, so that malformed ones need no care here.
class RequestScanner
{
public:
    /// Adds received bytes. Returns false, and ignores the rest, when the empty lines before a request, its head and
    /// its trailer together have more than @p maxHeadBytes.
    bool add(std::string_view bytes, std::size_t maxHeadBytes);

    /// Whether part of a head, or of empty lines before it, has arrived.
    bool isInHead() const;

    /// Whether nothing has arrived since the end of the last request.
    bool isBetweenRequests() const;

    /// Fields and chunks since construction; RESTinio keeps a record of each.
    std::uint64_t recordCount() const;

    /// Records that a request was handled. Begins with the next one if its end was not recognized; the bytes of
    /// pipelined requests are added before the first of them is handled.
    void requestComplete();

private:
    enum class Part { Head, Body, ChunkSize, ChunkData, Trailer };

    void addLineByte(char byte);
    void endLine();
    void endHead();
    void finishField();
    void beginRequest();

    Part part = Part::Head;
    std::size_t headBytes = 0; ///< Of the current request, with its trailer.
    std::uint64_t bodyBytesLeft = 0; ///< Of the body, or of the chunk and the line end after it.
    std::uint64_t records = 0;
    std::uint64_t recognizedRequests = 0; ///< Requests whose end was found.
    std::uint64_t handledRequests = 0;
    std::string line; ///< Beginning of the current line without white space, in lower case.
    std::size_t lines = 0; ///< Complete lines of the head or trailer.
    bool isLineEmpty = true;
    bool hasPendingField = false; ///< The line may be continued by the next one.
    bool isChunked = false;
    std::uint64_t contentLength = 0;
};

} // namespace hemlock
