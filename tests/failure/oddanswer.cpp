#include "oddanswer.h"

#include <array>

namespace hemlock {

namespace {

enum class Body {
    Missing, ///< The head has no end.
    Half,
    Whole,
    HalfChunked, ///< Without the last chunk.
    BadChunk, ///< Half in a sound chunk, then a chunk whose size is none.
};

struct Form
{
    const char *fields; ///< '#' stands for the length of the body and '%' for half of it.
    Body body;
    bool isReset;
};

/// A body without a length that ends with a close is complete, so that none of these is.
constexpr std::array forms = {
    Form{"", Body::Missing, false},
    Form{"", Body::Missing, true},
    Form{"Content-Length: #\r\n", Body::Missing, false},
    Form{"Content-Length: #\r\nContent-Length: %\r\n", Body::Half, false},
    Form{"Content-Length: #\r\nContent-Length: %\r\n", Body::Half, true},
    Form{"Content-Length: %\r\nContent-Length: #\r\n", Body::Half, false},
    Form{"Content-Length: %\r\nContent-Length: #\r\n", Body::Whole, false},
    Form{"Content-Length: %, #\r\n", Body::Half, false},
    Form{"Content-Length: #, %\r\n", Body::Half, true},
    Form{"Content-Length: %,\r\n", Body::Half, false},
    Form{"Content-Length: %x\r\n", Body::Half, false},
    Form{"Content-Length: %x\r\n", Body::Whole, true},
    Form{"Content-Length: +%\r\n", Body::Half, false},
    Form{"Content-Length: +%\r\n", Body::Half, true},
    Form{"Content-Length: -%\r\n", Body::Half, false},
    Form{"Content-Length: 0x%\r\n", Body::Half, false},
    Form{"Content-Length: % 1\r\n", Body::Half, false},
    Form{"Content-Length:\r\n", Body::Half, false},
    Form{"Content-Length: 99999999999999999999\r\n", Body::Half, false},
    Form{"Content-Length: 99999999999999999999\r\n", Body::Half, true},
    Form{"Content-Length: 18446744073709551616\r\n", Body::Half, false},
    Form{"Content-Length: %\r\nTransfer-Encoding: chunked\r\n", Body::HalfChunked, false},
    Form{"Transfer-Encoding: chunked\r\nContent-Length: %\r\n", Body::HalfChunked, true},
    Form{"Content-Length: %\r\nTransfer-Encoding: soak\r\n", Body::Half, false},
    Form{"Transfer-Encoding: soak\r\n", Body::Half, false},
    Form{"Transfer-Encoding: soak, chunked\r\n", Body::HalfChunked, false},
    Form{"Transfer-Encoding: chunked\r\nTransfer-Encoding: soak\r\n", Body::HalfChunked, false},
    Form{"Transfer-Encoding: chunked\r\n", Body::HalfChunked, false},
    Form{"Transfer-Encoding: chunked\r\n", Body::HalfChunked, true},
    Form{"Transfer-Encoding: chunked\r\n", Body::BadChunk, false},
    Form{"Content-Encoding: gzip\r\nContent-Length: #\r\n", Body::Whole, false},
    Form{"Content-Encoding: soak\r\nContent-Length: #\r\n", Body::Half, false},
    Form{"Content-Length: #\r\n", Body::Half, false},
    Form{"Content-Length: #\r\n", Body::Half, true},
    Form{"", Body::Half, true},
};

std::string withLengths(std::string_view fields, std::size_t size)
{
    std::string text;
    for (const char c : fields)
        text += c == '#' ? std::to_string(size) : c == '%' ? std::to_string(size / 2) : std::string(1, c);
    return text;
}

std::string chunk(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = bytes.size(); rest > 0; rest /= digits.size())
        size.insert(size.begin(), digits[rest % digits.size()]);
    return size + "\r\n" + std::string(bytes) + "\r\n";
}

std::string bodyBytes(Body kind, std::string_view body)
{
    const std::string_view half = body.substr(0, body.size() / 2);
    switch (kind) {
    case Body::Missing:
        return {};
    case Body::Half:
        return std::string(half);
    case Body::Whole:
        return std::string(body);
    case Body::HalfChunked:
        return chunk(half);
    case Body::BadChunk:
        return chunk(half) + "zz\r\n";
    }
    return {};
}

} // namespace

int oddAnswerForms()
{
    return static_cast<int>(forms.size());
}

std::string oddAnswerName(int form)
{
    const Form &found = forms.at(static_cast<std::size_t>(form));
    std::string name;
    for (const char c : std::string_view(found.fields))
        name += c == '\r' ? "" : c == '\n' ? "; " : std::string(1, c);
    constexpr const char *bodies[] = {"no end of the head", "half", "whole", "half in chunks", "bad chunk size"};
    return name + bodies[static_cast<int>(found.body)] + (found.isReset ? ", reset" : ", closed");
}

std::optional<OddAnswer> oddAnswer(std::string_view answer)
{
    const std::string field = "\r\n" + std::string(oddAnswerField) + ": ";
    const std::size_t headEnd = answer.find("\r\n\r\n");
    const std::size_t start = answer.find(field);
    if (headEnd == std::string_view::npos || start == std::string_view::npos || start > headEnd)
        return std::nullopt;
    const Form &form = forms.at(std::stoul(std::string(answer.substr(start + field.size(), 4))));
    const std::string_view body = answer.substr(headEnd + 4);
    std::string bytes;
    std::string_view head = answer.substr(0, headEnd + 2);
    while (!head.empty()) {
        const std::string_view line = head.substr(0, head.find("\r\n") + 2);
        if (!line.starts_with("Content-Length:") && !line.starts_with(oddAnswerField))
            bytes += line;
        head.remove_prefix(line.size());
    }
    bytes += withLengths(form.fields, body.size());
    if (form.body != Body::Missing)
        bytes += "\r\n";
    return OddAnswer{bytes + bodyBytes(form.body, body), form.isReset};
}

} // namespace hemlock
