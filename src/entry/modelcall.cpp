#include "modelcall.h"

#include "encoding.h"
#include "logger.h"
#include "refusal.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr int maxAttempts = 8;
constexpr std::chrono::seconds retryLater{1};
constexpr std::size_t attemptIdLength = 32;
constexpr std::string_view completionPath = "/v1/completions";

} // namespace

ModelCall::ModelCall(EntryContext &context, CallInfo call, CompletionRequest request, HttpResponderPtr responder)
    : context(context)
    , call(std::move(call))
    , request(std::move(request))
    , writer(responder, this->call.requestId, this->request.stream, context.settings.maxPendingBytes)
    , responder(std::move(responder))
{
}

void ModelCall::start()
{
    this->context.calls.add(this->shared_from_this());
    this->responder->setDisconnected([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->disconnected();
    });
    this->nextAttempt();
}

void ModelCall::nextAttempt()
{
    const auto now = std::chrono::steady_clock::now();
    if (now >= this->call.deadline) {
        this->refuse({Verdict::NotRun, 504, "deadline-exceeded", "the deadline passed before the answer's end", {}});
        return;
    }
    RouteQuery query;
    query.requestId = this->call.requestId;
    query.service = this->call.service.id;
    query.prompt = this->request.prompt;
    query.zone = this->context.settings.zone;
    query.priority = this->call.priority;
    const auto candidates = this->context.upstreams.candidates(query.service, this->failedUpstreams, now);
    RouteDecision decision = this->context.router.choose(query, candidates, this->context.random);
    const auto upstream = this->context.upstreams.find(decision.upstream);
    if (upstream && this->attempts < maxAttempts)
        this->startAttempt(*upstream);
    this->context.decisions.add({this->call.requestId,
                                 this->call.clientAccount,
                                 this->call.service.id,
                                 this->attempt ? this->attempt->id() : std::string(),
                                 ++this->attempts,
                                 std::move(decision)});
    if (!this->attempt)
        this->refuse({Verdict::NotRun, 503, "no-upstream", "no upstream takes the request", retryLater});
}

void ModelCall::startAttempt(const Upstream &upstream)
{
    this->attempt = std::make_shared<Attempt>(
        this->context.loop, this->context.http, this->context.upstreams, upstream, this->attemptId(upstream.id));
    this->parser =
        std::make_unique<EventStreamParser>([this](const ServerSentEvent &event) { this->eventReceived(event); });
    AttemptHooks hooks;
    hooks.data = [weak = this->weak_from_this()](std::string_view bytes) {
        const auto self = weak.lock();
        if (self && self->attempt && !self->parser->append(bytes))
            self->attempt->reject("the engine sent an overlong line");
    };
    hooks.done = [weak = this->weak_from_this()](const HttpOutcome &outcome) {
        if (const auto self = weak.lock())
            self->attemptDone(outcome);
    };
    this->attempt->start(this->makeCall(this->attempt->id()), std::string(completionPath), std::move(hooks));
}

std::string ModelCall::attemptId(const std::string &upstream) const
{
    // Derived rather than random, so that any entry VM can ask the engine for the stream that a caller resumes.
    std::string text;
    for (const std::string &part : {this->call.clientAccount,
                                    this->call.requestId,
                                    upstream,
                                    this->request.prompt,
                                    std::to_string(this->request.maxTokens)})
        text += std::to_string(part.size()) + ":" + part;
    return sha256Hex(text).substr(0, attemptIdLength);
}

HttpCall ModelCall::makeCall(const std::string &attempt) const
{
    nlohmann::json body = this->request.body;
    body["max_tokens"] = this->request.maxTokens;
    body["stream"] = true;
    body["priority"] = this->call.priority;
    body["attempt"] = attempt;
    body["resume_tokens"] = this->tokens;
    HttpCall call;
    call.method = "POST";
    call.body = dumpJson(body);
    call.headers = {{"Content-Type", "application/json"}, {std::string(requestIdField), this->call.requestId}};
    const auto left = this->call.deadline - std::chrono::steady_clock::now();
    // Zero would mean no limit to the client.
    call.timeout = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(left));
    return call;
}

void ModelCall::eventReceived(const ServerSentEvent &event)
{
    if (!this->attempt || this->attempt->isRejected() || this->isGenerated)
        return;
    if (event.data == "[DONE]") {
        this->isGenerated = true;
        return;
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    try {
        if (!json.is_object())
            this->attempt->reject("the engine sent an event that is not a JSON object");
        else if (json.value("attempt", this->attempt->id()) != this->attempt->id())
            this->attempt->reject("the answer belongs to another attempt");
        else
            this->engineReported(json);
    } catch (const nlohmann::json::exception &error) {
        this->attempt->reject(std::string("the engine sent a malformed event: ") + error.what());
    }
}

void ModelCall::engineReported(const nlohmann::json &json)
{
    if (const auto text = json.find("text"); text != json.end())
        this->tokenReceived(json.value("index", this->tokens.size() + 1), text->get<std::string>());
    if (!json.contains("prompt_tokens"))
        return;
    this->usage = json;
    this->usage.erase("attempt");
    this->isGenerated = true;
}

void ModelCall::tokenReceived(std::size_t number, const std::string &text)
{
    // Engines count the tokens of the whole answer, so a repeated or missing one shows.
    if (number <= this->tokens.size())
        return;
    if (number > this->tokens.size() + 1) {
        this->attempt->reject("the engine left out a token");
        return;
    }
    this->tokens.push_back(text);
    if (this->tokens.size() > this->skippedTokens)
        this->writer.writeToken(this->tokens.size(), this->attempt->upstream().id, text);
}

void ModelCall::attemptDone(const HttpOutcome &outcome)
{
    const std::string upstream = this->attempt->upstream().id;
    this->attempt.reset();
    if (this->isGenerated) {
        this->complete();
        return;
    }
    this->worstVerdict = std::max(this->worstVerdict, outcome.verdict);
    logEvent(LogLevel::Warning,
             "attempt-failed",
             {{"request", this->call.requestId},
              {"upstream", upstream},
              {"verdict", verdictName(outcome.verdict)},
              {"status", outcome.status},
              {"error", outcome.error},
              {"tokens", this->tokens.size()}});
    if (outcome.isComplete() && outcome.status >= 400 && outcome.status < 500) {
        this->refuse({Verdict::Ran, outcome.status, "upstream-refused", outcome.body, {}});
        return;
    }
    this->failedUpstreams.insert(upstream);
    this->nextAttempt();
}

void ModelCall::disconnected()
{
    logEvent(LogLevel::Info, "cancelled", {{"request", this->call.requestId}, {"tokens", this->tokens.size()}});
    this->attempt.reset();
    this->end();
}

void ModelCall::complete()
{
    this->writer.finish(this->usage);
    this->end();
}

void ModelCall::refuse(RequestError error)
{
    error.verdict = std::max(error.verdict, this->worstVerdict);
    logEvent(LogLevel::Info,
             "refused",
             {{"request", this->call.requestId},
              {"clientAccount", this->call.clientAccount},
              {"service", this->call.service.id},
              {"status", error.status},
              {"code", error.code},
              {"verdict", verdictName(error.verdict)}});
    this->writer.fail(error);
    this->end();
}

void ModelCall::end()
{
    if (std::exchange(this->hasEnded, true))
        return;
    this->context.calls.remove(this->shared_from_this());
}

} // namespace hemlock
