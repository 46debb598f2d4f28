#pragma once

#include "httpmessage.h"
#include "verdict.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace hemlock {

/// Limits and defaults of the values that callers may send.
struct CallerLimits
{
    std::size_t maxPromptBytes = std::size_t{1024} * 1024;
    int maxTokens = 65536; ///< Upper bound of "max_tokens".
    int defaultTokens = 256; ///< If "max_tokens" is absent.
    std::chrono::milliseconds defaultTimeLeft{120'000}; ///< If X-Deadline-Ms is absent.
    std::chrono::milliseconds maxTimeLeft{3'600'000}; ///< Longer deadlines are cut to this.
};

/// Position from which a streamed answer resumes, from the header field Last-Event-ID: "N.UPSTREAM".
struct ResumePoint
{
    std::size_t tokens = 0; ///< Number of tokens that the caller has received.
    std::string upstream; ///< Upstream that generated the last of them.
};

/// Values of the header fields of a call to a model or a transactional service.
struct CallerFields
{
    std::string requestId;
    std::chrono::milliseconds timeLeft{0}; ///< Time until the deadline.
    std::optional<int> priority; ///< 0 (highest) to 9 (lowest).
    std::string idempotencyKey; ///< Empty if absent.
    std::optional<ResumePoint> resume;
};

/// The body of a POST request to /v1/completions.
struct CompletionRequest
{
    std::string service;
    std::string prompt;
    int maxTokens = 0;
    bool stream = false;
    std::optional<ResumePoint> resume; ///< Filled in from the header fields.
    nlohmann::json body; ///< As received, including fields that are only passed on to the engine.
};

/// Target of a call to /services/SERVICE/PATH.
struct ServiceTarget
{
    std::string service;
    std::string path; ///< Including the leading slash.
};

/// The request identifier sent by the caller, or a new one if it is absent or invalid.
std::string requestIdOf(const HttpHeaders &headers);

/// Parses the header fields; a malformed field is an error (status 400) and never ignored.
Result<CallerFields> parseCallerFields(const HttpHeaders &headers, const CallerLimits &limits);

/// Parses the body of a completion request; fails with status 400, or 413 if the prompt is too large.
Result<CompletionRequest> parseCompletion(const std::string &body, const CallerLimits &limits);

/// Splits a path that starts with /services/; a path without a service or a path below it is an error.
Result<ServiceTarget> parseServiceTarget(const std::string &path);

/// Parses "N.UPSTREAM"; returns nothing if it is malformed.
std::optional<ResumePoint> parseResumePoint(const std::string &text);

/// The API key of "Authorization: Bearer KEY", or an empty string.
std::string bearerKey(const HttpHeaders &headers);

} // namespace hemlock
