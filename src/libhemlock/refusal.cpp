#include "refusal.h"

#include <nlohmann/json.hpp>

namespace hemlock {

nlohmann::json refusalBody(const RequestError &error, const std::string &requestId)
{
    return {{"error",
             {{"code", error.code},
              {"message", error.message},
              {"verdict", verdictName(error.verdict)},
              {"request_id", requestId}}}};
}

void replyRefusal(HttpResponder &responder, const RequestError &error, const std::string &requestId)
{
    HttpHeaders headers{{"Content-Type", "application/json"}, {std::string(requestIdField), requestId}};
    if (error.retryAfter)
        headers.add("Retry-After", retryAfterText(*error.retryAfter));
    responder.reply(error.status, headers, dumpJson(refusalBody(error, requestId)));
}

std::string dumpJson(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hemlock
