#include "peercall.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <array>

namespace hemlock {

using nlohmann::json;

namespace {

/// Header fields that the owner needs to check and send the call.
constexpr std::array<std::string_view, 6> forwardedFields = {
    "Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "X-Request-Id", "X-Priority"};

std::string parseBytes(const json &value)
{
    auto bytes = decodeBase64(value.get<std::string>());
    if (!bytes)
        throw std::invalid_argument("a field is not base64");
    return *std::move(bytes);
}

} // namespace

std::string encodePeerCall(const PeerCall &call)
{
    // Values from callers may not be valid UTF-8, so they are encoded in base64.
    json headers = json::object();
    for (const std::string_view name : forwardedFields) {
        if (call.request.headers.has(name))
            headers[std::string(name)] = encodeBase64(call.request.headers.value(name));
    }
    return json{{"clientAccount", call.clientAccount},
                {"requestId", encodeBase64(call.requestId)},
                {"timeLeftMs", call.timeLeft.count()},
                {"method", call.request.method},
                {"path", encodeBase64(call.request.path)},
                {"query", encodeBase64(call.request.query)},
                {"headers", headers},
                {"body", encodeBase64(call.request.body)}}
        .dump();
}

Result<PeerCall> decodePeerCall(const std::string &body)
{
    PeerCall call;
    try {
        const json message = json::parse(body);
        message.at("clientAccount").get_to(call.clientAccount);
        call.requestId = parseBytes(message.at("requestId"));
        call.timeLeft = std::chrono::milliseconds(message.at("timeLeftMs").get<std::int64_t>());
        message.at("method").get_to(call.request.method);
        call.request.path = parseBytes(message.at("path"));
        call.request.query = parseBytes(message.at("query"));
        call.request.body = parseBytes(message.at("body"));
        for (const auto &[name, value] : message.at("headers").items())
            call.request.headers.add(name, parseBytes(value));
    } catch (const std::exception &error) {
        return boost::leaf::new_error(RequestError{Verdict::NotRun, 400, "malformed-peer-call", error.what(), {}});
    }
    return call;
}

} // namespace hemlock
