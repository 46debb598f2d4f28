#include "jsonreply.h"

#include "refusal.h"

#include <stdexcept>

namespace hemlock {

void replyJson(HttpResponder &responder, int status, const nlohmann::json &body)
{
    responder.reply(status, {{"Content-Type", "application/json"}}, dumpJson(body));
}

void replyError(HttpResponder &responder, int status, const std::string &message)
{
    replyJson(responder, status, {{"error", message}});
}

nlohmann::json parseBody(const HttpRequest &request)
{
    if (request.body.empty())
        return nlohmann::json::object();
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        throw std::invalid_argument("the body is not a JSON object");
    return body;
}

} // namespace hemlock
