#include "callercrowd.h"

#include <algorithm>
#include <utility>

namespace hemlock {

using asio::ip::tcp;

namespace {

const std::string requestLine = "POST /metrics HTTP/1.1\r\nHost: test.example\r\nX-Hemlockflow-Deadline-Ms: 20000\r\n"
                                "X-Hemlockflow-Attempt-Id: attempt-of-crowd\r\n";

/// Bytes that are written at once; patterns are repeated until they are about as long.
constexpr std::size_t writeBytes = std::size_t{64} * 1024;

std::string hexadecimal(std::size_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    do {
        text.insert(text.begin(), digits[number % digits.size()]);
        number /= digits.size();
    } while (number > 0);
    return text;
}

std::shared_ptr<const std::string> repeatedPattern(const std::string &unit)
{
    auto pattern = std::make_shared<std::string>(unit);
    while (pattern->size() + unit.size() <= writeBytes)
        pattern->append(unit);
    return pattern;
}

} // namespace

CallerBytes CallerBytes::chunked(std::size_t chunkBytes, std::size_t sentBytes)
{
    const std::string chunk = hexadecimal(chunkBytes) + "\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    CallerBytes bytes;
    bytes.name = "chunks of " + std::to_string(chunkBytes) + " bytes";
    bytes.begin = requestLine + "Transfer-Encoding: chunked\r\n\r\n";
    bytes.pattern = repeatedPattern(chunk);
    bytes.repeatedBytes = sentBytes / chunkBytes * chunk.size();
    return bytes;
}

CallerBytes CallerBytes::announced(std::size_t bodyBytes, std::size_t sentBytes)
{
    CallerBytes bytes;
    bytes.name = "length of " + std::to_string(bodyBytes) + " bytes";
    bytes.begin = requestLine + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    bytes.pattern = repeatedPattern("x");
    bytes.repeatedBytes = sentBytes;
    return bytes;
}

CallerBytes &&CallerBytes::ended() &&
{
    this->end = "0\r\n\r\n";
    return std::move(*this);
}

CallerCrowd::CallerCrowd(asio::io_context &loop, std::uint16_t port)
    : loop(loop)
    , endpoint(asio::ip::make_address("127.0.0.1"), port)
{
}

void CallerCrowd::add(std::size_t count, std::vector<CallerBytes> forms, int returns)
{
    for (std::size_t i = 0; i < count; ++i) {
        Caller &caller = this->callers.emplace_back(this->loop);
        caller.forms = forms;
        caller.form = i % forms.size();
        caller.returns = returns;
        caller.reads = this->reads;
        if (this->isInTurn)
            this->waiting.push_back(&caller);
        else
            this->connect(caller);
    }
    if (this->isInTurn)
        this->startNext();
}

void CallerCrowd::setInTurn(bool inTurn)
{
    this->isInTurn = inTurn;
}

void CallerCrowd::setReading(bool shallRead)
{
    this->reads = shallRead;
}

bool CallerCrowd::hasSentAll() const
{
    return std::all_of(this->callers.begin(), this->callers.end(), [](const Caller &caller) { return caller.isDone; });
}

void CallerCrowd::leave()
{
    this->waiting.clear();
    for (Caller &caller : this->callers) {
        caller.returns = 0;
        asio::error_code ignored;
        caller.socket.close(ignored);
    }
}

void CallerCrowd::startNext()
{
    if (this->waiting.empty())
        return;
    Caller &next = *this->waiting.front();
    this->waiting.pop_front();
    this->connect(next);
}

void CallerCrowd::finish(Caller &caller)
{
    if (std::exchange(caller.isDone, true))
        return;
    this->startNext();
}

void CallerCrowd::connect(Caller &caller)
{
    caller.sentBytes = 0;
    caller.socket = tcp::socket(this->loop);
    caller.socket.async_connect(this->endpoint, [this, &caller](const asio::error_code &error) {
        if (error)
            return this->connectionLost(caller);
        if (caller.reads)
            this->receive(caller);
        asio::async_write(caller.socket,
                          asio::buffer(caller.forms[caller.form].begin),
                          [this, &caller](const asio::error_code &writeError, std::size_t) {
                              if (writeError)
                                  return this->connectionLost(caller);
                              this->sendPattern(caller);
                          });
    });
}

void CallerCrowd::sendPattern(Caller &caller)
{
    const CallerBytes &bytes = caller.forms[caller.form];
    const std::size_t size = std::min(bytes.pattern->size(), bytes.repeatedBytes - caller.sentBytes);
    if (size == 0)
        return this->sendEnd(caller);
    asio::async_write(caller.socket,
                      asio::buffer(bytes.pattern->data(), size),
                      [this, &caller, size](const asio::error_code &error, std::size_t) {
                          if (error)
                              return this->connectionLost(caller);
                          caller.sentBytes += size;
                          this->sendPattern(caller);
                      });
}

void CallerCrowd::sendEnd(Caller &caller)
{
    asio::async_write(caller.socket,
                      asio::buffer(caller.forms[caller.form].end),
                      [this, &caller](const asio::error_code &error, std::size_t) {
                          if (error)
                              return this->connectionLost(caller);
                          this->finish(caller);
                      });
}

void CallerCrowd::receive(Caller &caller)
{
    caller.socket.async_read_some(asio::buffer(caller.received),
                                  [this, &caller](const asio::error_code &error, std::size_t) {
                                      if (!error)
                                          return this->receive(caller);
                                      if (error != asio::error::operation_aborted)
                                          this->connectionLost(caller);
                                  });
}

void CallerCrowd::connectionLost(Caller &caller)
{
    // Reads and writes report the same loss.
    if (!caller.socket.is_open())
        return;
    asio::error_code ignored;
    caller.socket.close(ignored);
    if (caller.isDone || caller.returns == 0)
        return this->finish(caller);
    --caller.returns;
    caller.form = (caller.form + 1) % caller.forms.size();
    // After the handlers of the closed socket.
    asio::post(this->loop, [this, &caller] { this->connect(caller); });
}

} // namespace hemlock
