#include "requestscanner.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace hemlock {

namespace {

/// Enough for the longest name that matters and a length of 20 digits.
constexpr std::size_t maxKeptLineBytes = 64;

constexpr std::string_view lengthField = "content-length:";
constexpr std::string_view codingField = "transfer-encoding:";

std::uint64_t parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

} // namespace

bool RequestScanner::add(std::string_view bytes, std::size_t maxHeadBytes)
{
    while (!bytes.empty()) {
        if (this->part == Part::Body || this->part == Part::ChunkData) {
            const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), this->bodyBytesLeft));
            bytes.remove_prefix(size);
            this->bodyBytesLeft -= size;
            if (this->bodyBytesLeft > 0)
                return true;
            if (this->part == Part::Body)
                this->beginRequest();
            else
                this->part = Part::ChunkSize;
            continue;
        }
        if (this->part != Part::ChunkSize && ++this->headBytes > maxHeadBytes)
            return false;
        this->addLineByte(bytes.front());
        bytes.remove_prefix(1);
    }
    return true;
}

bool RequestScanner::isInHead() const
{
    return this->part == Part::Head && this->headBytes > 0;
}

bool RequestScanner::isBetweenRequests() const
{
    return this->part == Part::Head && this->headBytes == 0;
}

std::uint64_t RequestScanner::recordCount() const
{
    return this->records;
}

void RequestScanner::requestComplete()
{
    ++this->handledRequests;
    if (this->handledRequests > this->recognizedRequests)
        this->beginRequest();
}

void RequestScanner::addLineByte(char byte)
{
    if (byte == '\n')
        return this->endLine();
    if (byte == '\r')
        return;
    const bool isSpace = byte == ' ' || byte == '\t';
    if (this->isLineEmpty && this->hasPendingField && !isSpace)
        this->finishField();
    // A field counts from its first byte, since it may never end.
    if (this->isLineEmpty && !isSpace && this->part != Part::ChunkSize)
        ++this->records;
    this->isLineEmpty = false;
    if (!isSpace && this->line.size() < maxKeptLineBytes)
        this->line.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(byte))));
}

void RequestScanner::endLine()
{
    const bool wasEmpty = std::exchange(this->isLineEmpty, true);
    if (this->part == Part::ChunkSize) {
        constexpr int hexadecimal = 16;
        constexpr std::uint64_t lineEndBytes = 2;
        const std::uint64_t size = parseNumber(this->line, hexadecimal);
        this->line.clear();
        if (wasEmpty)
            return;
        ++this->records;
        this->part = size == 0 ? Part::Trailer : Part::ChunkData;
        this->bodyBytesLeft = size + lineEndBytes;
        return;
    }
    if (!wasEmpty) {
        ++this->lines;
        this->hasPendingField = true;
        return;
    }
    this->finishField();
    if (this->part == Part::Trailer)
        return this->beginRequest();
    // Empty lines before a request belong to it.
    if (this->lines > 0)
        this->endHead();
}

void RequestScanner::endHead()
{
    this->lines = 0;
    if (this->isChunked) {
        this->part = Part::ChunkSize;
        return;
    }
    if (this->contentLength == 0)
        return this->beginRequest();
    this->part = Part::Body;
    this->bodyBytesLeft = this->contentLength;
}

void RequestScanner::finishField()
{
    const std::string_view field = this->line;
    if (this->part == Part::Head && field.starts_with(lengthField))
        this->contentLength = parseNumber(field.substr(lengthField.size()), 10);
    if (this->part == Part::Head && field.starts_with(codingField))
        this->isChunked = true;
    this->line.clear();
    this->hasPendingField = false;
}

void RequestScanner::beginRequest()
{
    ++this->recognizedRequests;
    this->part = Part::Head;
    this->headBytes = 0;
    this->lines = 0;
    this->line.clear();
    this->isLineEmpty = true;
    this->hasPendingField = false;
    this->isChunked = false;
    this->contentLength = 0;
}

} // namespace hemlock
