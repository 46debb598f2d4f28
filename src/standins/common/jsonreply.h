#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hemlock {

void replyJson(HttpResponder &responder, int status, const nlohmann::json &body);

/// Replies with {"error":MESSAGE}.
void replyError(HttpResponder &responder, int status, const std::string &message);

/// Parses a request body as a JSON object; an empty body gives an empty object. Throws std::invalid_argument for
/// anything else.
nlohmann::json parseBody(const HttpRequest &request);

} // namespace hemlock
