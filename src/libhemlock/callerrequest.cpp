#include "callerrequest.h"

#include "encoding.h"
#include "refusal.h"

#include <algorithm>
#include <charconv>

namespace hemlock {

namespace {

constexpr std::size_t maxIdentifierLength = 200;
constexpr int lowestPriority = 9;

template <class T>
std::optional<T> parseNumber(std::string_view text)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Allows visible ASCII only, since identifiers are written to header fields and log lines.
bool isValidIdentifier(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdentifierLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

boost::leaf::error_id badRequest(std::string code, std::string message)
{
    return boost::leaf::new_error(RequestError{Verdict::NotRun, 400, std::move(code), std::move(message), {}});
}

boost::leaf::error_id invalidField(const std::string &name, const std::string &allowed)
{
    return badRequest("invalid-field", "field \"" + name + "\": " + allowed);
}

} // namespace

std::string requestIdOf(const HttpHeaders &headers)
{
    std::string id = headers.value(requestIdField);
    return isValidIdentifier(id) ? id : makeUniqueId();
}

Result<CallerFields> parseCallerFields(const HttpHeaders &headers, const CallerLimits &limits)
{
    CallerFields fields;
    fields.requestId = headers.value(requestIdField);
    if (headers.has(requestIdField) && !isValidIdentifier(fields.requestId))
        return badRequest("invalid-request-id", "X-Request-Id: 1 to 200 visible ASCII characters are allowed");
    fields.timeLeft = limits.defaultTimeLeft;
    if (headers.has("X-Deadline-Ms")) {
        const auto deadlineMs = parseNumber<std::int64_t>(headers.value("X-Deadline-Ms"));
        if (!deadlineMs || *deadlineMs <= 0)
            return badRequest("invalid-deadline", "X-Deadline-Ms: a positive whole number of milliseconds is expected");
        fields.timeLeft = std::min(limits.maxTimeLeft, std::chrono::milliseconds(*deadlineMs));
    }
    if (headers.has("X-Priority")) {
        fields.priority = parseNumber<int>(headers.value("X-Priority"));
        if (!fields.priority || *fields.priority < 0 || *fields.priority > lowestPriority)
            return badRequest("invalid-priority", "X-Priority: a whole number from 0 (highest) to 9 is expected");
    }
    if (headers.has("Idempotency-Key")) {
        fields.idempotencyKey = headers.value("Idempotency-Key");
        if (!isValidIdentifier(fields.idempotencyKey))
            return badRequest("invalid-idempotency-key",
                              "Idempotency-Key: 1 to 200 visible ASCII characters are allowed");
    }
    if (headers.has("Last-Event-ID")) {
        fields.resume = parseResumePoint(headers.value("Last-Event-ID"));
        if (!fields.resume)
            return badRequest("invalid-last-event-id", "Last-Event-ID: an event identifier of a stream is expected");
        if (fields.requestId.empty())
            return badRequest("missing-request-id", "Last-Event-ID needs the X-Request-Id of the request to resume");
    }
    return fields;
}

Result<CompletionRequest> parseCompletion(const std::string &body, const CallerLimits &limits)
{
    CompletionRequest request;
    request.body = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json &json = request.body;
    if (json.is_discarded())
        return badRequest("malformed-json", "the body is not valid JSON");
    if (!json.is_object())
        return badRequest("invalid-body", "the body is not a JSON object");
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string() || model->get_ref<const std::string &>().empty())
        return invalidField("model", "the name of a service is expected");
    const auto prompt = json.find("prompt");
    if (prompt == json.end() || !prompt->is_string())
        return invalidField("prompt", "a text is expected");
    if (prompt->get_ref<const std::string &>().size() > limits.maxPromptBytes) {
        return boost::leaf::new_error(
            RequestError{Verdict::NotRun,
                         413,
                         "prompt-too-large",
                         "the prompt exceeds " + std::to_string(limits.maxPromptBytes) + " bytes",
                         {}});
    }
    request.maxTokens = limits.defaultTokens;
    if (const auto tokens = json.find("max_tokens"); tokens != json.end()) {
        if (!tokens->is_number_integer() || *tokens < 1 || *tokens > limits.maxTokens)
            return invalidField("max_tokens", "a whole number from 1 to " + std::to_string(limits.maxTokens));
        request.maxTokens = tokens->get<int>();
    }
    if (const auto stream = json.find("stream"); stream != json.end()) {
        if (!stream->is_boolean())
            return invalidField("stream", "true or false is expected");
        request.stream = stream->get<bool>();
    }
    request.service = model->get<std::string>();
    request.prompt = prompt->get<std::string>();
    return request;
}

Result<ServiceTarget> parseServiceTarget(const std::string &path)
{
    constexpr std::string_view prefix = "/services/";
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == 0 || slash == std::string::npos)
        return badRequest("invalid-path", "/services/SERVICE/PATH is expected");
    return ServiceTarget{rest.substr(0, slash), rest.substr(slash)};
}

std::optional<ResumePoint> parseResumePoint(const std::string &text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos || !isValidIdentifier(text) || dot + 1 == text.size())
        return std::nullopt;
    const auto tokens = parseNumber<std::size_t>(std::string_view(text).substr(0, dot));
    if (!tokens)
        return std::nullopt;
    return ResumePoint{*tokens, text.substr(dot + 1)};
}

std::string bearerKey(const HttpHeaders &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = headers.value("Authorization");
    return value.compare(0, scheme.size(), scheme) == 0 ? value.substr(scheme.size()) : std::string();
}

} // namespace hemlock
