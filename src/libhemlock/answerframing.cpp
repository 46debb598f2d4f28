#include "answerframing.h"

#include "httptext.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace hemlock {

namespace {

/// Statuses of final answers. Those below are interim, and 101 would change the protocol of the connection.
constexpr int minInterimStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int minFinalStatus = 200;
constexpr int maxFinalStatus = 599;
constexpr int noContent = 204;
constexpr int notModified = 304;

/// Limit for the fields of an answer, with those of interim answers and of the trailer.
constexpr std::size_t maxFieldBytes = std::size_t{64} * 1024;

/// Limit for a line with a chunk size and its extensions.
constexpr std::size_t maxChunkSizeLineBytes = 4096;

constexpr std::uint64_t maxBodyBytes = std::numeric_limits<std::int64_t>::max();

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
}

/// Whether a character may be part of a field's name (RFC 9110, 5.6.2).
bool isTokenCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return isLetter || isDigit(character) || others.find(character) != std::string_view::npos;
}

/// Parses a number that consists of digits only. Returns nullopt for anything else and for numbers above the limit.
std::optional<std::uint64_t> parseSize(std::string_view text, int base)
{
    std::uint64_t size = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), size, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size() || size > maxBodyBytes)
        return std::nullopt;
    return size;
}

} // namespace

std::vector<std::string> fieldValues(const HttpHeaders &headers, std::string_view name)
{
    std::vector<std::string> values;
    for (const HttpHeader &field : headers) {
        if (equalsIgnoringCase(field.name, name))
            values.push_back(field.value);
    }
    return values;
}

bool AnswerFraming::fail(std::string reason)
{
    if (this->failure.empty())
        this->failure = std::move(reason);
    return false;
}

bool AnswerFraming::countFieldBytes(std::size_t bytes)
{
    this->fieldBytes += bytes;
    return this->fieldBytes <= maxFieldBytes
        || this->fail("the header fields are longer than " + std::to_string(maxFieldBytes) + " bytes");
}

bool AnswerFraming::takeLineEnd(std::string_view &line)
{
    if (!line.ends_with('\n'))
        return this->fail("a line has no end");
    line.remove_suffix(1);
    if (line.ends_with('\r') != this->usesCrlf)
        return this->fail("the lines end in different ways");
    if (this->usesCrlf)
        line.remove_suffix(1);
    constexpr std::string_view controls("\r\n\0", 3);
    return line.find_first_of(controls) == std::string_view::npos || this->fail("a line has a control character");
}

bool AnswerFraming::addHeadLine(std::string_view line)
{
    if (!this->failure.empty())
        return false;
    if (!this->countFieldBytes(line.size()))
        return false;
    if (!this->isInHead)
        this->usesCrlf = line.ends_with("\r\n");
    std::string_view text = line;
    if (!this->takeLineEnd(text))
        return false;
    if (!this->isInHead)
        return this->isHeadComplete() ? this->fail("a head follows the final one") : this->beginHead(text);
    if (text.empty())
        return this->endHead();
    return this->addField(text);
}

bool AnswerFraming::beginHead(std::string_view text)
{
    constexpr std::string_view version10 = "HTTP/1.0 ";
    constexpr std::string_view version11 = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    this->isVersion10 = text.starts_with(version10);
    if (!this->isVersion10 && !text.starts_with(version11))
        return this->fail("the version of the answer is not HTTP/1.0 or HTTP/1.1");
    text.remove_prefix(version11.size());
    const std::string_view digits = text.substr(0, statusDigits);
    const bool hasEnd = text.size() == digits.size() || text[digits.size()] == ' ';
    if (digits.size() != statusDigits || !std::all_of(digits.begin(), digits.end(), isDigit) || !hasEnd)
        return this->fail("the status of the answer is no number of three digits");
    this->latestStatus = static_cast<int>(parseSize(digits, 10).value_or(0));
    this->fields = {};
    this->isInHead = true;
    return true;
}

bool AnswerFraming::addField(std::string_view text)
{
    if (isBlank(text.front())) {
        if (this->fields.empty())
            return this->fail("the head begins with a folded line");
        this->fields.back().value.append(" ").append(trimmed(text));
        return true;
    }
    const std::size_t colon = text.find(':');
    const std::string_view name = text.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return this->fail("a line of the head is no field");
    this->fields.push_back({std::string(name), std::string(trimmed(text.substr(colon + 1)))});
    return true;
}

bool AnswerFraming::endHead()
{
    this->isInHead = false;
    const HttpHeaders head = this->headers();
    const bool isInterim = this->latestStatus >= minInterimStatus && this->latestStatus < minFinalStatus;
    if (isInterim && this->latestStatus != switchingProtocols) {
        if (head.has("Content-Length") || head.has("Transfer-Encoding"))
            return this->fail("an interim answer announces a body");
        return true;
    }
    if (this->latestStatus < minFinalStatus || this->latestStatus > maxFinalStatus)
        return this->fail("status " + std::to_string(this->latestStatus) + " is not that of a final answer");
    return this->readFraming();
}

bool AnswerFraming::readFraming()
{
    const bool hasNoBody = this->latestStatus == noContent || this->latestStatus == notModified;
    const HttpHeaders head = this->headers();
    const auto lengths = fieldValues(head, "Content-Length");
    const auto codings = fieldValues(head, "Transfer-Encoding");
    if (!codings.empty()) {
        if (!lengths.empty())
            return this->fail("the answer has a length and a transfer coding");
        if (codings.size() != 1 || !equalsIgnoringCase(codings.front(), "chunked"))
            return this->fail("the transfer coding is not \"chunked\"");
        if (hasNoBody || this->isVersion10)
            return this->fail("the answer must not have a transfer coding");
        this->end = BodyEnd::LastChunk;
        return true;
    }
    if (!lengths.empty() && !this->readLength(lengths))
        return false;
    if (this->latestStatus == noContent && this->length > 0)
        return this->fail("the answer must not have a body");
    if (hasNoBody)
        this->end = BodyEnd::Head;
    else
        this->end = lengths.empty() ? BodyEnd::Connection : BodyEnd::Length;
    return true;
}

bool AnswerFraming::readLength(const std::vector<std::string> &values)
{
    std::optional<std::uint64_t> first;
    for (const std::string &value : values) {
        std::string_view rest = value;
        while (true) {
            const std::size_t comma = rest.find(',');
            const auto size = parseSize(trimmed(rest.substr(0, comma)), 10);
            if (!size)
                return this->fail("the length is not valid");
            if (first && *first != *size)
                return this->fail("the lengths differ");
            first = size;
            if (comma == std::string_view::npos)
                break;
            rest.remove_prefix(comma + 1);
        }
    }
    this->length = first.value_or(0);
    return true;
}

bool AnswerFraming::addBody(std::string_view bytes, const std::function<bool(std::string_view)> &takeContent)
{
    if (!this->failure.empty())
        return false;
    if (bytes.empty())
        return true;
    if (this->end == BodyEnd::LastChunk)
        return this->addChunks(bytes, takeContent);
    if (this->end == BodyEnd::Unknown)
        return this->fail("no complete head of a final answer");
    if (this->end == BodyEnd::Head)
        return this->fail("the answer must not have a body");
    if (this->end == BodyEnd::Length && bytes.size() > this->length - this->contentBytes)
        return this->fail("the body is longer than announced");
    this->contentBytes += bytes.size();
    return takeContent(bytes);
}

bool AnswerFraming::addChunks(std::string_view bytes, const std::function<bool(std::string_view)> &takeContent)
{
    while (!bytes.empty()) {
        if (this->chunkPart == ChunkPart::Done) {
            this->isFollowed = true;
            return true;
        }
        if (this->chunkPart == ChunkPart::Data) {
            const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), this->chunkBytesLeft));
            this->chunkBytesLeft -= size;
            this->contentBytes += size;
            if (this->chunkBytesLeft == 0)
                this->chunkPart = ChunkPart::DataEnd;
            if (!takeContent(bytes.substr(0, size)))
                return false;
            bytes.remove_prefix(size);
            continue;
        }
        const std::size_t lineEnd = bytes.find('\n');
        const std::size_t size = lineEnd == std::string_view::npos ? bytes.size() : lineEnd + 1;
        if (this->chunkPart == ChunkPart::Trailer && !this->countFieldBytes(size))
            return false;
        this->chunkLine.append(bytes.substr(0, size));
        bytes.remove_prefix(size);
        if (this->chunkPart != ChunkPart::Trailer && this->chunkLine.size() > maxChunkSizeLineBytes)
            return this->fail("the line of a chunk size is too long");
        if (lineEnd != std::string_view::npos && !this->endChunkLine())
            return false;
    }
    return true;
}

bool AnswerFraming::endChunkLine()
{
    std::string_view text = this->chunkLine;
    if (!this->takeLineEnd(text))
        return false;
    if (this->chunkPart == ChunkPart::Size) {
        if (!this->readChunkSize(text))
            return false;
    } else if (this->chunkPart == ChunkPart::DataEnd) {
        if (!text.empty())
            return this->fail("a chunk is longer than announced");
        this->chunkPart = ChunkPart::Size;
    } else if (text.empty()) {
        this->chunkPart = ChunkPart::Done;
    } else {
        // The fields of a trailer are left out, so that their names need not be valid.
        const std::size_t colon = text.find(':');
        if ((colon == std::string_view::npos || colon == 0) && !isBlank(text.front()))
            return this->fail("a line of the trailer is no field");
    }
    this->chunkLine.clear();
    return true;
}

bool AnswerFraming::readChunkSize(std::string_view text)
{
    constexpr int hexadecimal = 16;
    const std::size_t semicolon = text.find(';');
    std::string_view digits = text.substr(0, semicolon);
    // Only an extension may be preceded by blanks (RFC 9112, 7.1.1).
    while (semicolon != std::string_view::npos && !digits.empty() && isBlank(digits.back()))
        digits.remove_suffix(1);
    const auto size = parseSize(digits, hexadecimal);
    if (!size)
        return this->fail("a chunk size is not valid");
    this->chunkBytesLeft = *size;
    this->chunkPart = *size > 0 ? ChunkPart::Data : ChunkPart::Trailer;
    return true;
}

void AnswerFraming::connectionEnded()
{
    this->hasConnectionEnded = true;
}

bool AnswerFraming::isHeadComplete() const
{
    return this->end != BodyEnd::Unknown;
}

bool AnswerFraming::isComplete() const
{
    if (!this->failure.empty())
        return false;
    switch (this->end) {
    case BodyEnd::Unknown:
        return false;
    case BodyEnd::Head:
        return true;
    case BodyEnd::Length:
        return this->contentBytes == this->length;
    case BodyEnd::LastChunk:
        return this->chunkPart == ChunkPart::Done;
    case BodyEnd::Connection:
        return this->hasConnectionEnded;
    }
    return false;
}

bool AnswerFraming::hasExcess() const
{
    return this->isFollowed;
}

int AnswerFraming::status() const
{
    return this->latestStatus;
}

HttpHeaders AnswerFraming::headers() const
{
    HttpHeaders headers;
    for (const HttpHeader &field : this->fields)
        headers.add(field.name, field.value);
    return headers;
}

BodyEnd AnswerFraming::bodyEnd() const
{
    return this->end;
}

std::uint64_t AnswerFraming::bodyBytes() const
{
    return this->contentBytes;
}

std::string AnswerFraming::error() const
{
    if (!this->failure.empty() || this->isComplete())
        return this->failure;
    switch (this->end) {
    case BodyEnd::Length:
        return "the body ended after " + std::to_string(this->contentBytes) + " of " + std::to_string(this->length)
            + " bytes";
    case BodyEnd::LastChunk:
        return "the body ended before its last chunk";
    case BodyEnd::Connection:
        return "the body did not end with its connection";
    default:
        return "no complete head of a final answer";
    }
}

} // namespace hemlock
