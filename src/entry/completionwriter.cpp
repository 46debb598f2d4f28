#include "completionwriter.h"

#include "eventstream.h"
#include "refusal.h"

#include <nlohmann/json.hpp>

namespace hemlock {

CompletionWriter::CompletionWriter(HttpResponderPtr responder,
                                   std::string requestId,
                                   bool isStream,
                                   std::size_t maxPendingBytes)
    : responder(std::move(responder))
    , requestId(std::move(requestId))
    , isStream(isStream)
    , maxPendingBytes(maxPendingBytes)
{
}

void CompletionWriter::begin()
{
    if (this->begun)
        return;
    this->begun = true;
    this->responder->beginStream(200,
                                 {{"Content-Type", "text/event-stream"},
                                  {"Cache-Control", "no-store"},
                                  {std::string(requestIdField), this->requestId}});
}

void CompletionWriter::writeToken(std::size_t number, const std::string &upstream, const std::string &text)
{
    if (!this->isStream) {
        this->wholeText += text;
        return;
    }
    this->begin();
    ServerSentEvent event;
    event.id = std::to_string(number) + "." + upstream;
    event.data = dumpJson({{"id", this->requestId}, {"choices", {{{"text", text}}}}});
    this->responder->write(formatEvent(event));
}

void CompletionWriter::finish(const nlohmann::json &usage)
{
    if (this->isStream) {
        this->begin();
        this->responder->write(formatEvent({{}, {}, "[DONE]"}));
        this->responder->endStream();
        return;
    }
    const nlohmann::json body = {{"id", this->requestId}, {"choices", {{{"text", this->wholeText}}}}, {"usage", usage}};
    this->responder->reply(
        200, {{"Content-Type", "application/json"}, {std::string(requestIdField), this->requestId}}, dumpJson(body));
}

void CompletionWriter::fail(const RequestError &error)
{
    if (!this->begun) {
        replyRefusal(*this->responder, error, this->requestId);
        return;
    }
    this->responder->write(formatEvent({{}, "error", dumpJson(refusalBody(error, this->requestId))}));
    this->responder->endStream();
}

bool CompletionWriter::hasBegun() const
{
    return this->begun;
}

bool CompletionWriter::isTooSlow() const
{
    return this->responder->pendingBytes() > this->maxPendingBytes;
}

} // namespace hemlock
