#pragma once

#include "httpserver.h"
#include "verdict.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hemlock {

/// Header field that carries the request identifier in each response.
inline constexpr std::string_view requestIdField = "X-Request-Id";

/// Body of an error response: {"error":{"code","message","verdict","request_id"}}.
nlohmann::json refusalBody(const RequestError &error, const std::string &requestId);

/// Sends an error response, with a Retry-After header field if the error has a retry time.
void replyRefusal(HttpResponder &responder, const RequestError &error, const std::string &requestId);

/// Serializes a JSON value; invalid UTF-8, which may come from a caller, is replaced.
std::string dumpJson(const nlohmann::json &value);

} // namespace hemlock
