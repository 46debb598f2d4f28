#pragma once

#include "httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// What ends the body of an answer (RFC 9112, 6.3).
enum class BodyEnd {
    Unknown, ///< The head of a final answer is not complete.
    Head, ///< The answer has no body.
    Length,
    LastChunk,
    Connection, ///< The answer announces neither a length nor chunks.
};

/// Values of all fields with a name, in message order.
std::vector<std::string> fieldValues(const HttpHeaders &headers, std::string_view name);

/// Decides whether received bytes are one whole, final HTTP/1 answer (RFC 9112, 2.2, 5, 6.3, 7.1 and 8).
///
/// The bytes are given in the order of their arrival. A function that returns false found the answer to be unsound;
/// error() tells why, and no later bytes make it sound.
class AnswerFraming
{
public:
    /// Takes a line of the head, with its line end. Heads of interim answers may come first.
    bool addHeadLine(std::string_view line);

    /// Takes bytes behind the head as they were sent, and passes their content on without chunk sizes and trailer.
    /// Also returns false when @p takeContent does.
    bool addBody(std::string_view bytes, const std::function<bool(std::string_view content)> &takeContent);

    /// Tells that the peer ended the connection in an orderly way.
    void connectionEnded();

    /// Whether the head of a final answer is complete.
    bool isHeadComplete() const;

    /// Whether all bytes of a final answer have arrived.
    bool isComplete() const;

    /// Whether bytes follow the answer on its connection.
    bool hasExcess() const;

    int status() const; ///< Status of the latest head; 0 before the first one.
    HttpHeaders headers() const; ///< Fields of the latest head, as far as they have arrived.
    BodyEnd bodyEnd() const;
    std::uint64_t bodyBytes() const; ///< Bytes of content that have arrived.

    /// Why the answer is not complete; empty if it is.
    std::string error() const;

private:
    enum class ChunkPart {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    bool fail(std::string reason);
    bool beginHead(std::string_view text);
    bool addField(std::string_view text);
    bool endHead();
    bool readFraming();
    bool readLength(const std::vector<std::string> &values);
    bool addChunks(std::string_view bytes, const std::function<bool(std::string_view content)> &takeContent);
    bool endChunkLine();
    bool readChunkSize(std::string_view text);
    bool takeLineEnd(std::string_view &line);
    bool countFieldBytes(std::size_t bytes);

    std::string failure;
    std::vector<HttpHeader> fields;
    bool isInHead = false;
    bool isVersion10 = false;
    bool usesCrlf = true; ///< All lines end with CR and LF, as the status line does; otherwise with LF alone.
    int latestStatus = 0;
    std::size_t fieldBytes = 0; ///< Of all heads and the trailer.
    BodyEnd end = BodyEnd::Unknown;
    std::uint64_t length = 0; ///< Announced length of the body, if that ends it.
    std::uint64_t contentBytes = 0;
    bool hasConnectionEnded = false;
    bool isFollowed = false;
    ChunkPart chunkPart = ChunkPart::Size;
    std::uint64_t chunkBytesLeft = 0;
    std::string chunkLine; ///< Begin of a line that has not arrived as a whole.
};

} // namespace hemlock
