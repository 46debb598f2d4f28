#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hemlock {

void replyJson(HttpResponder &responder, int status, const nlohmann::json &body);

/// Refusal {"error":MESSAGE}.
void replyError(HttpResponder &responder, int status, const std::string &message);

/// Body of a request as a JSON object; an empty body is an empty object. Throws std::invalid_argument.
nlohmann::json parseBody(const HttpRequest &request);

} // namespace hemlock
