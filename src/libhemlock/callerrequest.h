#pragma once

#include "httpmessage.h"
#include "verdict.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace hemlock {

/// Bounds on what callers may send.
struct CallerLimits
{
    std::size_t maxPromptBytes = std::size_t{1024} * 1024;
    int maxTokens = 65536;
    int defaultTokens = 256;
    std::chrono::milliseconds defaultTimeLeft{120'000};
    std::chrono::milliseconds maxTimeLeft{3'600'000};
};

/// Position in a streamed answer, from the field Last-Event-ID: "N.UPSTREAM".
struct ResumePoint
{
    std::size_t tokens = 0; ///< Tokens that the caller has.
    std::string upstream; ///< Engine that generated the last of them.
};

/// What the header fields of a call say, for models and transactional services alike.
struct CallerFields
{
    std::string requestId;
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> priority;
    std::string idempotencyKey;
    std::optional<ResumePoint> resume;
};

/// The body of a POST of /v1/completions.
struct CompletionRequest
{
    std::string service;
    std::string prompt;
    int maxTokens = 0;
    bool stream = false;
    std::optional<ResumePoint> resume; ///< Filled in from the header fields.
    nlohmann::json body; ///< As sent, with further fields that concern the engine only.
};

/// A call of /services/SERVICE/PATH.
struct ServiceTarget
{
    std::string service;
    std::string path; ///< With the leading slash.
};

/// The caller's request identifier, or a new one when it is absent or not usable.
std::string requestIdOf(const HttpHeaders &headers);

/// Reads the header fields; a field that cannot be understood is an error rather than ignored.
Result<CallerFields> parseCallerFields(const HttpHeaders &headers, const CallerLimits &limits);

Result<CompletionRequest> parseCompletion(const std::string &body, const CallerLimits &limits);

/// Splits a path below /services/; an incomplete one is an error.
Result<ServiceTarget> parseServiceTarget(const std::string &path);

/// Parses "N.UPSTREAM"; nothing when it is malformed.
std::optional<ResumePoint> parseResumePoint(const std::string &text);

/// The key of "Authorization: Bearer KEY", or an empty string.
std::string bearerKey(const HttpHeaders &headers);

} // namespace hemlock
