#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlock {

/// Limits of one request.
struct RequestSizeLimits
{
    std::size_t maxHeadBytes = SIZE_MAX; ///< For the empty lines before the head, the head, and the trailer together.
    std::size_t maxBodyBytes = SIZE_MAX; ///< Of the decoded body.
};

/// Takes the body out of HTTP/1.1 requests, one request after the other (RFC 9112).
///
/// The head is left to an HTTP parser, which gets it without the fields that say where the body ends: the end of a
/// request is decided here alone. Chunks leave no trace beside their bytes. Trailers are dropped.
class RequestDecoder
{
public:
    enum class Result {
        Incomplete,
        Complete,
        HeadTooLarge,
        BodyTooLarge, ///< Also if it is announced only.
        Malformed, ///< It is not clear where the request ends.
    };

    /// Takes bytes up to the end of the request and removes them from @p bytes. After any result but Incomplete, the
    /// decoder takes nothing before beginRequest().
    Result add(std::string_view &bytes, const RequestSizeLimits &limits);

    /// Discards the request and expects another one.
    void beginRequest();

    /// Head of a complete request. Fields that frame the body, and offers to upgrade the connection, are left out.
    std::string takeHead();
    std::string takeBody();

    /// Whether part of a head, or of empty lines before it, has arrived.
    bool isInHead() const;

    /// Whether nothing of the request has arrived.
    bool isEmpty() const;

    /// Memory of the head and the body, in bytes.
    std::size_t heldBytes() const;

    /// Lines of the head.
    std::size_t lineCount() const;

private:
    enum class Part { Head, Body, ChunkSize, ChunkExtension, ChunkSizeEnd, ChunkData, ChunkDataEnd, Trailer };

    Result addToHead(std::string_view &bytes, const RequestSizeLimits &limits);
    Result addToBody(std::string_view &bytes);
    Result addToTrailer(std::string_view &bytes, const RequestSizeLimits &limits);
    /// Takes one byte of the bytes around the data of a chunk.
    Result addChunkByte(char byte, const RequestSizeLimits &limits);
    Result endChunkSize(const RequestSizeLimits &limits);
    Result endHead(const RequestSizeLimits &limits);
    /// Removes the framing fields from the head. Returns false if they are not sound.
    bool takeFraming();
    void appendToBody(std::string_view bytes);

    Part part = Part::Head;
    std::size_t headBytes = 0; ///< With empty lines before the head and with the trailer.
    std::size_t lines = 0;
    std::size_t lineStart = 0; ///< Of the current line, in the head.
    bool isLineEmpty = true; ///< Of the trailer.
    std::string head;
    std::string body;
    std::size_t maxBodyBytes = 0; ///< That the body may still come to have; limits what is reserved.
    bool isChunked = false;
    std::uint64_t bodyBytesLeft = 0; ///< Of the body or of the chunk.
    int sizeDigits = 0; ///< Of the current chunk size.
    std::size_t sizeLineBytes = 0;
};

} // namespace hemlock
