#include "modelcall.h"

#include "encoding.h"
#include "logger.h"
#include "refusal.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr std::size_t attemptIdLength = 32;

// Typical for text. The cost estimate can be rough, since the fair queue compares requests of one service only.
constexpr double bytesPerPromptToken = 4.0;

constexpr std::string_view completionPath = "/v1/completions";
constexpr std::string_view attemptsPath = "/v1/attempts/";

// Far above the latency targets: an engine that is silent for so long is unreachable rather than busy.
constexpr std::chrono::seconds firstTokenTimeout{30};
constexpr std::chrono::seconds nextTokenTimeout{10};

constexpr std::chrono::milliseconds quarantineRetryDelay{100};
constexpr std::chrono::milliseconds upstreamRetryDelay{250};
constexpr std::chrono::seconds cancelTimeout{5};

// Used in metrics only; a caller that has disconnected gets no answer.
constexpr int callerDisconnectedStatus = 499;

} // namespace

ModelCall::ModelCall(EntryContext &context, CallInfo call, CompletionRequest request, HttpResponderPtr responder)
    : context(context)
    , call(std::move(call))
    , request(std::move(request))
    , digest(sha256Hex(std::to_string(this->request.maxTokens) + ":" + this->request.prompt))
    , fingerprint(requestFingerprint(this->call.clientAccount, this->call.service.id, this->digest))
    , writer(responder, this->call.requestId, this->request.stream, context.settings.maxPendingBytes)
    , responder(std::move(responder))
    , timer(context.loop)
{
}

void ModelCall::start()
{
    const auto &resume = this->request.resume;
    const auto previous = this->context.calls.find(this->call.clientAccount, this->call.requestId);
    if (resume && previous)
        previous->supersede();
    this->context.calls.add(this->call.clientAccount, this->call.requestId, this->shared_from_this());
    this->responder->setDisconnectHook([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->disconnected();
    });
    if (!resume) {
        this->awaitAdmission();
        return;
    }
    // A resumed stream has already passed admission.
    this->skippedTokens = resume->tokens;
    const auto engine = this->context.dispatcher.upstreams().find(resume->upstream);
    if (engine && engine->service == this->call.service.id && engine->state != UpstreamState::Gone)
        this->resumeAtEngine(*engine, "the caller resumes the stream of this engine");
    else
        this->resumeElsewhere();
}

void ModelCall::awaitAdmission()
{
    this->admissionId = makeUniqueId();
    AdmissionRequest admission;
    admission.requestId = this->admissionId;
    admission.clientAccount = this->call.clientAccount;
    admission.service = this->call.service.id;
    admission.tokens = this->expectedTokens(static_cast<std::size_t>(this->request.maxTokens));
    admission.priority = this->call.priority;
    admission.deadline = this->call.deadline;
    AdmissionHooks hooks;
    hooks.start = [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->isAdmitted = true;
        self->nextAttempt();
    };
    hooks.refuse = [weak = this->weak_from_this()](const RequestError &error) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->refuse(error);
    };
    this->context.admission.submit(admission, std::move(hooks), std::chrono::steady_clock::now());
}

double ModelCall::expectedTokens(std::size_t answerTokens) const
{
    const auto promptTokens = static_cast<double>(this->request.prompt.size()) / bytesPerPromptToken;
    return requestCost(promptTokens, static_cast<double>(answerTokens));
}

void ModelCall::resumeAtEngine(const Upstream &upstream, const std::string &reason)
{
    ++this->attempts;
    this->startAttempt(this->context.dispatcher.resume(this->attemptRequest(), upstream, reason), true);
}

void ModelCall::resumeElsewhere()
{
    this->hasAskedPeers = true;
    const StreamPosition position{this->call.clientAccount, this->call.requestId, this->digest, nullptr};
    this->context.findHandedOverStream(position, [weak = this->weak_from_this()](const HandedOverTokens &handedOver) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->continueFromHandedOverTokens(handedOver);
    });
}

void ModelCall::continueFromHandedOverTokens(const HandedOverTokens &handedOver)
{
    const bool isDeterministic = this->call.service.deterministic;
    if (handedOver && (isDeterministic || handedOver->size() >= this->skippedTokens)) {
        this->tokens = *handedOver;
        for (std::size_t number = this->skippedTokens + 1; number <= this->tokens.size(); ++number)
            this->emitToken(number, this->request.resume->upstream);
    } else if (!isDeterministic) {
        this->refuse({Verdict::Ran,
                      410,
                      "stream-not-resumable",
                      "no engine or entry process holds the stream, and the service is not deterministic",
                      {}});
        return;
    }
    this->nextAttempt();
}

void ModelCall::nextAttempt()
{
    if (this->hasEnded)
        return;
    if (this->tokens.size() >= static_cast<std::size_t>(this->request.maxTokens)) {
        this->complete();
        return;
    }
    if (std::chrono::steady_clock::now() >= this->call.deadline) {
        this->refuse({Verdict::NotRun, 504, "deadline-exceeded", "the deadline passed before the answer's end", {}});
        return;
    }
    ++this->attempts;
    DispatchResult result = this->context.dispatcher.next(this->attemptRequest());
    if (result.mustWait) {
        this->waitAndRetry(quarantineRetryDelay);
    } else if (result.attempt) {
        this->startAttempt(std::move(result.attempt), false);
    } else if (!this->tokens.empty() && result.refusal->code == "no-upstream") {
        // An answer that has begun waits for a new upstream; upstreams that failed it may have recovered by then.
        this->failedUpstreams.clear();
        this->waitAndRetry(upstreamRetryDelay);
    } else {
        this->refuse(*result.refusal);
    }
}

void ModelCall::waitAndRetry(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (self && !error)
            self->nextAttempt();
    });
}

AttemptRequest ModelCall::attemptRequest() const
{
    return {.call = this->call,
            .prompt = this->request.prompt,
            .fingerprint = this->fingerprint,
            .excluded = this->failedUpstreams,
            .number = this->attempts,
            .bypassesRetryBudget = !this->tokens.empty() || this->wasReclaimed,
            .makeAttemptId = [this](const std::string &upstream) { return this->attemptId(upstream); }};
}

std::string ModelCall::attemptId(const std::string &upstream) const
{
    // Derived from the request, so that any entry VM can request the stream from the engine when a caller resumes it.
    std::string text;
    for (const std::string &part : {this->call.clientAccount, this->call.requestId, upstream, this->digest})
        text += std::to_string(part.size()) + ":" + part;
    return sha256Hex(text).substr(0, attemptIdLength);
}

void ModelCall::startAttempt(std::shared_ptr<Attempt> attempt, bool resumesStream)
{
    this->attempt = std::move(attempt);
    this->resumesStream = resumesStream;
    this->lastProgress = std::chrono::steady_clock::now();
    this->parser =
        std::make_unique<EventStreamParser>([this](const ServerSentEvent &event) { this->eventReceived(event); });
    AttemptHooks hooks;
    hooks.data = [weak = this->weak_from_this()](std::string_view bytes) {
        const auto self = weak.lock();
        if (!self || !self->attempt)
            return;
        self->lastProgress = std::chrono::steady_clock::now();
        if (!self->parser->append(bytes) && self->attempt)
            self->attempt->reject("the engine sent an overlong line");
    };
    hooks.done = [weak = this->weak_from_this()](const HttpOutcome &outcome) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->attemptDone(outcome);
    };
    this->attempt->start(
        this->makeCall(this->attempt->id(), resumesStream), std::string(completionPath), std::move(hooks));
}

HttpCall ModelCall::makeCall(const std::string &attempt, bool resumesStream) const
{
    nlohmann::json body = this->request.body;
    body["max_tokens"] = this->request.maxTokens;
    body["stream"] = true;
    body["priority"] = this->call.priority;
    body["attempt"] = attempt;
    // A stream whose tokens are not known here is resumed from its start, since a later replay needs the whole text.
    if (resumesStream)
        body["resume_from"] = this->tokens.size();
    else
        body["resume_tokens"] = this->tokens;
    HttpCall call;
    call.method = "POST";
    call.body = dumpJson(body);
    call.headers = {{"Content-Type", "application/json"}, {std::string(requestIdField), this->call.requestId}};
    const auto timeLeft = this->call.deadline - std::chrono::steady_clock::now();
    // At least 1 ms, since HttpClient takes zero as no timeout.
    call.timeout = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(timeLeft));
    return call;
}

void ModelCall::eventReceived(const ServerSentEvent &event)
{
    if (!this->attempt || this->attempt->isRejected() || this->isAnswerComplete)
        return;
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    try {
        if (!json.is_object())
            this->attempt->reject("the engine sent an event that is not a JSON object");
        else if (json.value("attempt", this->attempt->id()) != this->attempt->id())
            this->attempt->reject("the answer belongs to another attempt");
        else
            this->engineEventReceived(json);
    } catch (const nlohmann::json::exception &error) {
        this->attempt->reject(std::string("the engine sent a malformed event: ") + error.what());
    }
}

void ModelCall::engineEventReceived(const nlohmann::json &json)
{
    if (const auto text = json.find("text"); text != json.end())
        this->tokenReceived(json.value("index", this->tokens.size() + 1), text->get<std::string>());
    if (!json.contains("prompt_tokens"))
        return;
    // Copied field by field: callers get the usage and the metrics count it.
    this->usage = {{"prompt_tokens", json.at("prompt_tokens").get<std::uint64_t>()},
                   {"cached_tokens", json.value("cached_tokens", std::uint64_t{0})},
                   {"recomputed_tokens", json.value("recomputed_tokens", std::uint64_t{0})}};
    this->isAnswerComplete = true;
}

void ModelCall::tokenReceived(std::size_t number, const std::string &text)
{
    // Engines number the tokens of the whole answer, which reveals repeated and missing tokens.
    if (number <= this->tokens.size())
        return;
    if (number > this->tokens.size() + 1) {
        this->attempt->reject("the engine left out a token");
        return;
    }
    this->tokens.push_back(text);
    if (number > this->skippedTokens)
        this->recordTokenLatency();
    this->emitToken(number, this->attempt->upstream().id);
    if (!this->writer.isTooSlow())
        return;
    // The engine keeps the stream, so that the caller can resume it.
    this->attempt.reset();
    this->refuse({Verdict::Ran, 503, "caller-too-slow", "the answer was not read in time; resume the stream", {}});
}

void ModelCall::recordTokenLatency()
{
    const MetricLabels labels{this->call.service.id, this->call.clientAccount};
    const auto now = std::chrono::steady_clock::now();
    if (this->lastToken) {
        this->context.metrics.addTokenGap(labels, now - *this->lastToken);
    } else {
        this->context.metrics.addFirstTokenLatency(labels, now - this->call.received);
        this->context.admission.firstTokenArrived(this->admissionId, now);
    }
    this->lastToken = now;
}

void ModelCall::emitToken(std::size_t number, const std::string &upstream)
{
    if (number > this->skippedTokens)
        this->writer.writeToken(number, upstream, this->tokens[number - 1]);
}

void ModelCall::attemptDone(const HttpOutcome &outcome)
{
    const auto endedAttempt = std::exchange(this->attempt, nullptr);
    const Upstream &upstream = endedAttempt->upstream();
    if (this->isAnswerComplete) {
        this->complete();
        return;
    }
    this->worstVerdict = std::max(this->worstVerdict, outcome.verdict);
    this->wasReclaimed = this->context.dispatcher.upstreams().isLeaving(upstream.id);
    logEvent(LogLevel::Warning,
             "attempt-failed",
             {{"request", this->call.requestId},
              {"attempt", endedAttempt->id()},
              {"upstream", upstream.id},
              {"verdict", verdictName(outcome.verdict)},
              {"status", outcome.status},
              {"error", outcome.error},
              {"tokens", this->tokens.size()}});
    if (std::chrono::steady_clock::now() >= this->call.deadline) {
        this->cancelAtEngine(*endedAttempt);
        this->nextAttempt();
        return;
    }
    if (this->resumesStream && outcome.status == 404) {
        // The engine no longer holds the stream.
        if (this->tokens.empty() && !this->hasAskedPeers)
            this->resumeElsewhere();
        else
            this->nextAttempt();
        return;
    }
    if (outcome.isComplete() && outcome.status >= 400 && outcome.status < 500) {
        this->refuse({Verdict::Ran, outcome.status, "upstream-refused", outcome.body, {}});
        return;
    }
    if (outcome.verdict == Verdict::MayHaveRun && !endedAttempt->isRejected()) {
        this->context.dispatcher.probeForCrash(
            this->fingerprint, upstream, [weak = this->weak_from_this(), upstream](bool hasDied) {
                const auto self = weak.lock();
                if (self && !self->hasEnded)
                    self->connectionLost(upstream, hasDied);
            });
        return;
    }
    this->failOver(upstream);
}

void ModelCall::connectionLost(const Upstream &upstream, bool hasDied)
{
    // The engine is alive and holds the stream, which saves generating it again. This is tried only once for each
    // upstream, since the network link may be faulty.
    if (!hasDied && this->reconnectedUpstreams.insert(upstream.id).second) {
        this->resumeAtEngine(upstream, "the engine holds the stream whose connection broke");
        return;
    }
    this->failOver(upstream);
}

void ModelCall::failOver(const Upstream &upstream)
{
    this->failedUpstreams.insert(upstream.id);
    if (this->request.resume && this->tokens.empty() && !this->hasAskedPeers)
        this->resumeElsewhere();
    else
        this->nextAttempt();
}

void ModelCall::checkProgress(std::chrono::steady_clock::time_point now)
{
    const auto limit = this->tokens.empty() ? firstTokenTimeout : nextTokenTimeout;
    if (this->attempt && now - this->lastProgress > limit)
        this->attempt->reject("the engine sent nothing for " + std::to_string(limit.count()) + " s");
}

std::optional<StreamPosition> ModelCall::streamPosition() const
{
    if (!this->request.stream || this->tokens.empty() || this->hasEnded)
        return std::nullopt;
    return StreamPosition{this->call.clientAccount, this->call.requestId, this->digest, &this->tokens};
}

void ModelCall::supersede()
{
    if (this->hasEnded)
        return;
    this->attempt.reset();
    this->refuse({Verdict::Ran, 409, "superseded", "the stream was resumed on another connection", {}});
}

void ModelCall::disconnected()
{
    logEvent(LogLevel::Info, "cancelled", {{"request", this->call.requestId}, {"tokens", this->tokens.size()}});
    const auto endedAttempt = std::exchange(this->attempt, nullptr);
    // Callers of a draining process disconnect to resume elsewhere, so the engine has to keep their streams.
    if (endedAttempt && !this->context.isDraining)
        this->cancelAtEngine(*endedAttempt);
    this->end(endedAttempt ? Verdict::MayHaveRun : this->worstVerdict, callerDisconnectedStatus);
}

void ModelCall::cancelAtEngine(const Attempt &attempt)
{
    HttpCall call;
    call.method = "DELETE";
    call.url = "http://" + attempt.upstream().address + std::string(attemptsPath) + attempt.id();
    call.timeout = cancelTimeout;
    this->context.http.start(std::move(call), {.done = [](const HttpOutcome &) {}});
}

void ModelCall::complete()
{
    const auto now = std::chrono::steady_clock::now();
    this->context.dispatcher.quarantine().recordSuccess(this->fingerprint, now, now);
    this->writer.finish(this->usage);
    this->end(Verdict::Ran, 200);
}

void ModelCall::refuse(RequestError error)
{
    error.verdict = std::max(error.verdict, this->worstVerdict);
    logRefusal(this->call, error);
    this->writer.fail(error);
    this->end(error.verdict, error.status);
}

void ModelCall::end(Verdict verdict, int status)
{
    if (std::exchange(this->hasEnded, true))
        return;
    this->timer.cancel();
    const std::size_t sent = this->tokens.size() - std::min(this->skippedTokens, this->tokens.size());
    const auto recomputed = this->usage.find("recomputed_tokens");
    this->context.metrics.addRequest(
        {this->call.service.id, this->call.clientAccount},
        {verdict, status, sent, recomputed != this->usage.end() ? recomputed->get<std::uint64_t>() : 0});
    const auto now = std::chrono::steady_clock::now();
    if (this->isAdmitted)
        this->context.admission.finished(this->admissionId, this->expectedTokens(this->tokens.size()), now);
    else if (!this->admissionId.empty())
        this->context.admission.cancel(this->admissionId, now);
    this->context.calls.remove(this->shared_from_this());
}

} // namespace hemlock
