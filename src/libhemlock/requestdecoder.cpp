#include "requestdecoder.h"

#include "httptext.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace hemlock {

namespace {

constexpr std::string_view whiteSpace = " \t";

/// Enough for any length that fits into 64 bits; more digits are taken for an error.
constexpr int maxSizeDigits = 16;

/// First reservation for a body.
constexpr std::size_t minBodyCapacity = 512;

/// The most that is reserved for a body beyond what has arrived.
constexpr std::size_t maxSpareBytes = std::size_t{512} * 1024;

std::string_view withoutLineEnd(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return length;
}

std::optional<unsigned> hexadecimalDigit(char character)
{
    constexpr int hexadecimal = 16;
    unsigned value = 0;
    const auto parsed = std::from_chars(&character, &character + 1, value, hexadecimal);
    return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
}

/// End of the line that begins at @p begin, after its line end.
std::size_t endOfLine(std::string_view head, std::size_t begin)
{
    return std::min(head.find('\n', begin), head.size() - 1) + 1;
}

/// End of the field whose first line begins at @p begin, with the lines that continue it.
std::size_t endOfField(std::string_view head, std::size_t begin)
{
    std::size_t end = endOfLine(head, begin);
    while (end < head.size() && whiteSpace.find(head[end]) != std::string_view::npos)
        end = endOfLine(head, end);
    return end;
}

/// Up to the colon, with white space.
std::string_view fieldName(std::string_view field)
{
    const std::string_view line = withoutLineEnd(field.substr(0, endOfLine(field, 0)));
    return line.substr(0, line.find(':'));
}

/// Value of a field, its lines joined by spaces.
std::string fieldValue(std::string_view field)
{
    std::string value;
    for (std::size_t begin = std::min(field.find(':'), field.size() - 1) + 1; begin < field.size();) {
        const std::size_t end = endOfLine(field, begin);
        const std::string_view part = trimmed(withoutLineEnd(field.substr(begin, end - begin)));
        if (!value.empty() && !part.empty())
            value += ' ';
        value += part;
        begin = end;
    }
    return value;
}

} // namespace

RequestDecoder::Result RequestDecoder::add(std::string_view &bytes, const RequestSizeLimits &limits)
{
    Result result = Result::Incomplete;
    while (!bytes.empty() && result == Result::Incomplete) {
        switch (this->part) {
        case Part::Head:
            result = this->addToHead(bytes, limits);
            break;
        case Part::Body:
        case Part::ChunkData:
            result = this->addToBody(bytes);
            break;
        case Part::Trailer:
            result = this->addToTrailer(bytes, limits);
            break;
        case Part::ChunkSize:
        case Part::ChunkExtension:
        case Part::ChunkSizeEnd:
        case Part::ChunkDataEnd:
            result = this->addChunkByte(bytes.front(), limits);
            bytes.remove_prefix(1);
            break;
        }
    }
    return result;
}

void RequestDecoder::beginRequest()
{
    *this = RequestDecoder();
}

std::string RequestDecoder::takeHead()
{
    return std::exchange(this->head, {});
}

std::string RequestDecoder::takeBody()
{
    return std::exchange(this->body, {});
}

bool RequestDecoder::isInHead() const
{
    return this->part == Part::Head && this->headBytes > 0;
}

bool RequestDecoder::isEmpty() const
{
    return this->part == Part::Head && this->headBytes == 0;
}

std::size_t RequestDecoder::heldBytes() const
{
    return this->head.capacity() + this->body.capacity();
}

std::size_t RequestDecoder::lineCount() const
{
    return this->lines;
}

RequestDecoder::Result RequestDecoder::addToHead(std::string_view &bytes, const RequestSizeLimits &limits)
{
    const std::size_t lineEnd = bytes.find('\n');
    const std::size_t size = lineEnd == std::string_view::npos ? bytes.size() : lineEnd + 1;
    if (size > limits.maxHeadBytes - std::min(this->headBytes, limits.maxHeadBytes))
        return Result::HeadTooLarge;
    this->headBytes += size;
    this->head.append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if (lineEnd == std::string_view::npos)
        return Result::Incomplete;
    const std::string_view line = withoutLineEnd(std::string_view(this->head).substr(this->lineStart));
    // HTTP parsers differ in whether a lone carriage return ends a line.
    if (line.find('\r') != std::string_view::npos)
        return Result::Malformed;
    const bool isEmptyLine = line.empty();
    if (isEmptyLine && this->lineStart == 0) {
        // Empty lines before a request belong to it, and are not kept.
        this->head.clear();
        return Result::Incomplete;
    }
    this->lineStart = this->head.size();
    if (isEmptyLine)
        return this->endHead(limits);
    ++this->lines;
    return Result::Incomplete;
}

RequestDecoder::Result RequestDecoder::endHead(const RequestSizeLimits &limits)
{
    if (!this->takeFraming())
        return Result::Malformed;
    this->maxBodyBytes = limits.maxBodyBytes;
    if (this->isChunked) {
        this->part = Part::ChunkSize;
        return Result::Incomplete;
    }
    if (this->bodyBytesLeft > limits.maxBodyBytes)
        return Result::BodyTooLarge;
    this->maxBodyBytes = static_cast<std::size_t>(this->bodyBytesLeft);
    this->part = Part::Body;
    return this->bodyBytesLeft == 0 ? Result::Complete : Result::Incomplete;
}

bool RequestDecoder::takeFraming()
{
    const std::string_view whole = this->head;
    bool hasLength = false;
    std::size_t position = endOfLine(whole, 0);
    std::string kept(whole.substr(0, position));
    while (position < whole.size()) {
        const std::string_view field = whole.substr(position, endOfField(whole, position) - position);
        position += field.size();
        const std::string_view name = fieldName(field);
        // RESTinio would give up its time limits for the connection. The field is only an offer.
        if (equalsIgnoringCase(trimmed(name), "upgrade"))
            continue;
        const bool isLength = equalsIgnoringCase(trimmed(name), "content-length");
        const bool isCoding = equalsIgnoringCase(trimmed(name), "transfer-encoding");
        if (!isLength && !isCoding) {
            kept.append(field);
            continue;
        }
        // Recipients that disagree on such fields would take part of the body for another request.
        if (hasLength || this->isChunked || name != trimmed(name))
            return false;
        if (isCoding && !equalsIgnoringCase(fieldValue(field), "chunked"))
            return false;
        const auto length = isLength ? parseLength(fieldValue(field)) : 0;
        if (!length)
            return false;
        this->isChunked = isCoding;
        hasLength = isLength;
        this->bodyBytesLeft = *length;
    }
    this->head = std::move(kept);
    return true;
}

void RequestDecoder::appendToBody(std::string_view bytes)
{
    const std::size_t needed = this->body.size() + bytes.size();
    if (needed > this->body.capacity()) {
        const std::size_t spare = std::min(this->body.capacity() / 2, maxSpareBytes);
        const std::size_t grown = std::max({needed, this->body.capacity() + spare, minBodyCapacity});
        // reserve() would at least double the capacity.
        std::string larger;
        larger.reserve(std::max(needed, std::min(grown, this->maxBodyBytes)));
        larger.append(this->body);
        this->body = std::move(larger);
    }
    this->body.append(bytes);
}

RequestDecoder::Result RequestDecoder::addToBody(std::string_view &bytes)
{
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), this->bodyBytesLeft));
    this->appendToBody(bytes.substr(0, size));
    bytes.remove_prefix(size);
    this->bodyBytesLeft -= size;
    if (this->bodyBytesLeft > 0)
        return Result::Incomplete;
    if (!this->isChunked)
        return Result::Complete;
    this->part = Part::ChunkDataEnd;
    this->sizeLineBytes = 0;
    return Result::Incomplete;
}

RequestDecoder::Result RequestDecoder::addChunkByte(char byte, const RequestSizeLimits &limits)
{
    if (++this->sizeLineBytes > limits.maxHeadBytes)
        return Result::HeadTooLarge;
    if (this->part == Part::ChunkDataEnd) {
        // The line end after the data, which is CR and LF.
        if (byte != (this->sizeLineBytes == 1 ? '\r' : '\n'))
            return Result::Malformed;
        if (byte == '\n') {
            this->part = Part::ChunkSize;
            this->sizeLineBytes = 0;
        }
        return Result::Incomplete;
    }
    if (this->part == Part::ChunkSizeEnd)
        return byte == '\n' ? this->endChunkSize(limits) : Result::Malformed;
    if (byte == '\r' && this->sizeDigits > 0) {
        this->part = Part::ChunkSizeEnd;
        return Result::Incomplete;
    }
    if (byte == '\n' || byte == '\r')
        return Result::Malformed;
    if (this->part == Part::ChunkExtension)
        return Result::Incomplete;
    const bool endsDigits = byte == ';' || whiteSpace.find(byte) != std::string_view::npos;
    if (endsDigits && this->sizeDigits > 0) {
        this->part = Part::ChunkExtension;
        return Result::Incomplete;
    }
    const auto digit = hexadecimalDigit(byte);
    if (!digit || ++this->sizeDigits > maxSizeDigits)
        return Result::Malformed;
    constexpr std::uint64_t hexadecimal = 16;
    this->bodyBytesLeft = this->bodyBytesLeft * hexadecimal + *digit;
    return Result::Incomplete;
}

RequestDecoder::Result RequestDecoder::endChunkSize(const RequestSizeLimits &limits)
{
    this->sizeDigits = 0;
    this->sizeLineBytes = 0;
    if (this->bodyBytesLeft > limits.maxBodyBytes - std::min(this->body.size(), limits.maxBodyBytes))
        return Result::BodyTooLarge;
    this->part = this->bodyBytesLeft == 0 ? Part::Trailer : Part::ChunkData;
    return Result::Incomplete;
}

RequestDecoder::Result RequestDecoder::addToTrailer(std::string_view &bytes, const RequestSizeLimits &limits)
{
    const char byte = bytes.front();
    bytes.remove_prefix(1);
    if (++this->headBytes > limits.maxHeadBytes)
        return Result::HeadTooLarge;
    if (byte == '\n')
        return std::exchange(this->isLineEmpty, true) ? Result::Complete : Result::Incomplete;
    // As for a head, a carriage return that does not end a line is left to the line that it stands in.
    this->isLineEmpty = this->isLineEmpty && byte == '\r';
    return Result::Incomplete;
}

} // namespace hemlock
