#include "controlauth.h"

#include "encoding.h"

#include <charconv>
#include <stdexcept>

namespace hemlock {

namespace {

constexpr std::string_view timeField = "X-Hemlock-Time";
constexpr std::string_view signatureField = "X-Hemlock-Signature";

// Tolerates clocks that differ by some seconds, and limits how long a recorded message can be replayed.
constexpr std::chrono::seconds maxClockSkew{30};

} // namespace

ControlAuth::ControlAuth(std::string key)
    : key(std::move(key))
{
    if (this->key.empty())
        throw std::invalid_argument("the control key is empty");
}

HttpHeaders
ControlAuth::sign(std::string_view path, std::string_view body, std::chrono::system_clock::time_point now) const
{
    const auto sinceEpoch = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
    const std::string time = std::to_string(sinceEpoch.count());
    HttpHeaders headers;
    headers.add(std::string(timeField), time);
    headers.add(std::string(signatureField), this->signature(time, path, body));
    return headers;
}

std::string ControlAuth::check(const HttpRequest &request, std::chrono::system_clock::time_point now) const
{
    const std::string time = request.headers.value(timeField);
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(time.data(), time.data() + time.size(), milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != time.data() + time.size())
        return "the message carries no valid time";
    const std::string expected = this->signature(time, request.path, request.body);
    if (!equalsConstantTime(expected, request.headers.value(signatureField)))
        return "the message's signature does not match";
    const std::chrono::system_clock::time_point sent{std::chrono::milliseconds(milliseconds)};
    if (now - sent > maxClockSkew || sent - now > maxClockSkew)
        return "the message is too old or from the future";
    return {};
}

std::string ControlAuth::signature(std::string_view time, std::string_view path, std::string_view body) const
{
    std::string message(time);
    message.append("\n").append(path).append("\n").append(body);
    return hmacSha256Hex(this->key, message);
}

} // namespace hemlock
