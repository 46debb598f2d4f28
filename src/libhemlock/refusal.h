#pragma once

#include "httpserver.h"
#include "verdict.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hemlock {

/// Field that carries the request identifier in each answer.
inline constexpr std::string_view requestIdField = "X-Request-Id";

/// Body of a refusal: {"error":{"code","message","verdict","request_id"}}.
nlohmann::json refusalBody(const RequestError &error, const std::string &requestId);

/// Answers with a refusal, with Retry-After where the error names a time.
void replyRefusal(HttpResponder &responder, const RequestError &error, const std::string &requestId);

/// Text of a JSON value for a caller; invalid UTF-8 is replaced.
std::string dumpJson(const nlohmann::json &value);

} // namespace hemlock
