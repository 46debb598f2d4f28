#include "enginestream.h"

#include "encoding.h"
#include "jsonreply.h"
#include "refusal.h"

#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::size_t maxTokensLimit = 100000;

} // namespace

CompletionRequest parseCompletion(const json &body, const std::string &attemptHeader)
{
    CompletionRequest request;
    request.attempt = body.value("attempt", attemptHeader);
    if (request.attempt.empty())
        request.attempt = makeUniqueId();
    request.prompt = body.value("prompt", "");
    request.resumeTokens = body.value("resume_tokens", std::vector<std::string>{});
    request.maxTokens = body.value("max_tokens", request.maxTokens);
    request.resumesStream = body.contains("resume_from");
    request.resumeFrom = body.value("resume_from", std::size_t{0});
    request.stream = body.value("stream", true);
    request.priority = body.value("priority", request.priority);
    if (request.maxTokens > maxTokensLimit)
        throw std::invalid_argument("max_tokens is above " + std::to_string(maxTokensLimit));
    return request;
}

EngineStream::EngineStream(asio::io_context &loop,
                           const CompletionRequest &request,
                           const std::vector<std::string> &vocabulary)
    : request(request)
    , retentionTimer(loop)
    , generator(request.prompt, vocabulary)
    , tokens(request.resumeTokens)
{
}

void EngineStream::attach(const HttpResponderPtr &responder, std::size_t afterIndex, bool asEventStream)
{
    if (this->reader && this->asEventStream)
        this->reader->endStream();
    else if (this->reader)
        replyError(*this->reader, 409, "another reader has taken over");
    this->reader = responder;
    this->asEventStream = asEventStream;
    if (!asEventStream) {
        if (this->finished)
            this->sendEnd();
        return;
    }
    responder->beginStream(200, {{"Content-Type", "text/event-stream"}, {"X-Attempt-Id", this->request.attempt}});
    for (std::size_t index = afterIndex + 1; index <= this->tokens.size(); ++index)
        this->sendToken(index);
    if (this->finished)
        this->sendEnd();
}

bool EngineStream::detach(const HttpResponderPtr &responder)
{
    if (this->reader != responder)
        return false;
    this->reader.reset();
    return true;
}

bool EngineStream::hasReader() const
{
    return this->reader != nullptr;
}

void EngineStream::emitToken()
{
    this->tokens.push_back(this->generator.token(this->tokens.size() + 1));
    if (this->asEventStream)
        this->sendToken(this->tokens.size());
}

void EngineStream::finish(const json &usage)
{
    this->finished = true;
    this->usage = usage;
    this->sendEnd();
}

bool EngineStream::isFinished() const
{
    return this->finished;
}

std::string EngineStream::contextText() const
{
    std::string context = this->request.prompt;
    for (const std::string &token : this->tokens)
        context += token;
    return context;
}

void EngineStream::sendToken(std::size_t index)
{
    if (!this->reader)
        return;
    this->reader->write(
        "data: " + dumpJson({{"attempt", this->request.attempt}, {"index", index}, {"text", this->tokens[index - 1]}})
        + "\n\n");
}

void EngineStream::sendEnd()
{
    const HttpResponderPtr endedReader = std::exchange(this->reader, nullptr);
    if (!endedReader)
        return;
    json end = this->usage;
    end["attempt"] = this->request.attempt;
    if (this->asEventStream) {
        endedReader->write("event: usage\ndata: " + dumpJson(end) + "\n\n");
        endedReader->endStream();
        return;
    }
    std::string answer;
    for (const std::string &token : this->tokens)
        answer += token;
    end["text"] = answer;
    endedReader->reply(
        200, {{"Content-Type", "application/json"}, {"X-Attempt-Id", this->request.attempt}}, dumpJson(end));
}

} // namespace hemlock
