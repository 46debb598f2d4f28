#include "transactionalcall.h"

#include "encoding.h"
#include "logger.h"
#include "refusal.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds quarantineRetryDelay{100};

// Used in metrics only; a caller that has disconnected gets no answer.
constexpr int callerDisconnectedStatus = 499;

/// Header fields that are sent to the upstream; all others concern the exchange with the entry process only.
constexpr std::array<std::string_view, 5> upstreamFields = {
    "Content-Type", "Accept", "Accept-Language", "Idempotency-Key", requestIdField};

std::string callDigest(const HttpRequest &request)
{
    // Length prefixes make the concatenation unambiguous, so that different calls have different digests.
    std::string text;
    for (const std::string *part : {&request.method, &request.path, &request.query, &request.body})
        text += std::to_string(part->size()) + ":" + *part;
    return sha256Hex(text);
}

} // namespace

TransactionalCall::TransactionalCall(
    EntryContext &context, CallInfo call, std::string path, HttpRequest request, HttpResponderPtr responder)
    : context(context)
    , call(std::move(call))
    , path(std::move(path))
    , request(std::move(request))
    , responder(std::move(responder))
    , isRepeatable(this->call.service.isRepeatable(this->request.method, this->path))
    , fingerprint(requestFingerprint(this->call.clientAccount, this->call.service.id, callDigest(this->request)))
    , timer(context.loop)
{
}

void TransactionalCall::start()
{
    this->context.calls.add(this->call.clientAccount, this->call.requestId, this->shared_from_this());
    this->responder->setDisconnectHook([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->disconnected();
    });
    if (this->isRepeatable) {
        this->nextAttempt();
        return;
    }
    this->intent.clientAccount = this->call.clientAccount;
    this->intent.key = this->request.headers.value("Idempotency-Key");
    this->intent.bodySha256 = callDigest(this->request);
    this->intent.requestId = this->call.requestId;
    this->intent.deadline = this->call.deadline;
    this->submitIntent();
}

void TransactionalCall::submitIntent()
{
    this->context.submitIntent(this->intent, [self = this->shared_from_this()](const IntentDecision &decision) {
        self->intentDecided(decision);
    });
}

void TransactionalCall::intentDecided(const IntentDecision &decision)
{
    switch (decision.action) {
    case IntentAction::Dispatch:
        this->hasIntent = true;
        // The durable intent proves that no former owner of the key has run the call or will run it.
        this->worstVerdict = Verdict::NotRun;
        this->nextAttempt();
        return;
    case IntentAction::Replay:
        this->reply(decision.answer);
        this->finish(Verdict::Ran, decision.answer, decision.answer.status);
        return;
    case IntentAction::Refuse:
        this->refuse(decision.refusal);
        return;
    case IntentAction::Forward:
        this->forward(decision.ownerAddress);
        return;
    }
}

void TransactionalCall::forward(const std::string &ownerAddress)
{
    if (this->call.isForwarded) {
        replyRefusal(*this->responder,
                     {Verdict::NotRun, notOwnerStatus, "not-owner", "this process does not own the key's slot", {}},
                     this->call.requestId);
        this->finish(Verdict::NotRun, {}, notOwnerStatus);
        return;
    }
    this->context.forwardCall(
        ownerAddress, this->intent, this->request, [self = this->shared_from_this()](const ForwardOutcome &outcome) {
            self->forwarded(outcome);
        });
}

void TransactionalCall::forwarded(const ForwardOutcome &outcome)
{
    if (!outcome.isAnswered) {
        this->worstVerdict = std::max(this->worstVerdict, outcome.verdict);
        this->submitIntent();
        return;
    }
    HttpHeaders headers{{std::string(requestIdField), this->call.requestId}};
    for (const char *name : {"Content-Type", "Retry-After"}) {
        if (outcome.headers.has(name))
            headers.add(name, outcome.headers.value(name));
    }
    this->responder->reply(outcome.status, headers, outcome.body);
    this->finish(Verdict::Ran, {}, outcome.status);
}

void TransactionalCall::nextAttempt()
{
    if (this->hasEnded)
        return;
    if (std::chrono::steady_clock::now() >= this->call.deadline) {
        this->refuse({this->worstVerdict, 504, "deadline-exceeded", "the deadline passed before an answer", {}});
        return;
    }
    ++this->attempts;
    DispatchResult result =
        this->context.dispatcher.next({.call = this->call,
                                       .prompt = {},
                                       .fingerprint = this->fingerprint,
                                       .excluded = this->triedUpstreams,
                                       .number = this->attempts,
                                       .bypassesRetryBudget = this->wasReclaimed,
                                       .makeAttemptId = [](const std::string &) { return makeUniqueId(); }});
    if (result.attempt) {
        this->startAttempt(std::move(result.attempt));
    } else if (result.mustWait) {
        this->timer.expires_after(quarantineRetryDelay);
        this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &error) {
            const auto self = weak.lock();
            if (self && !error)
                self->nextAttempt();
        });
    } else {
        this->refuse(*result.refusal);
    }
}

void TransactionalCall::startAttempt(std::shared_ptr<Attempt> next)
{
    this->attempt = std::move(next);
    this->triedUpstreams.insert(this->attempt->upstream().id);
    AttemptHooks hooks;
    hooks.done = [weak = this->weak_from_this()](const HttpOutcome &outcome) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->attemptDone(outcome);
    };
    const std::string queryString = this->request.query.empty() ? std::string() : "?" + this->request.query;
    this->attempt->start(this->makeCall(), this->path + queryString, std::move(hooks));
}

HttpCall TransactionalCall::makeCall() const
{
    HttpCall call;
    call.method = this->request.method;
    call.body = this->request.body;
    for (const std::string_view name : upstreamFields) {
        if (this->request.headers.has(name))
            call.headers.add(std::string(name), this->request.headers.value(name));
    }
    call.headers.add("X-Client-Account", this->call.clientAccount);
    const auto timeLeft = this->call.deadline - std::chrono::steady_clock::now();
    // At least 1 ms, since HttpClient takes zero as no timeout.
    call.timeout = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(timeLeft));
    return call;
}

void TransactionalCall::attemptDone(const HttpOutcome &outcome)
{
    const auto endedAttempt = std::exchange(this->attempt, nullptr);
    const Upstream &upstream = endedAttempt->upstream();
    if (outcome.verdict == Verdict::Ran) {
        const StoredAnswer answer{outcome.status, outcome.headers.value("Content-Type"), outcome.body};
        const auto now = std::chrono::steady_clock::now();
        this->context.dispatcher.quarantine().recordSuccess(this->fingerprint, now, now);
        this->reply(answer);
        this->finish(Verdict::Ran, answer, answer.status);
        return;
    }
    logEvent(LogLevel::Warning,
             "attempt-failed",
             {{"request", this->call.requestId},
              {"attempt", endedAttempt->id()},
              {"upstream", upstream.id},
              {"verdict", verdictName(outcome.verdict)},
              {"status", outcome.status},
              {"error", outcome.error}});
    this->worstVerdict = std::max(this->worstVerdict, outcome.verdict);
    this->wasReclaimed = this->context.dispatcher.upstreams().isLeaving(upstream.id);
    if (outcome.verdict == Verdict::NotRun || endedAttempt->isRejected())
        this->exchangeFailed(upstream, outcome);
    else
        this->context.dispatcher.probeForCrash(
            this->fingerprint, upstream, [weak = this->weak_from_this(), upstream, outcome](bool) {
                const auto self = weak.lock();
                if (self && !self->hasEnded)
                    self->exchangeFailed(upstream, outcome);
            });
}

void TransactionalCall::exchangeFailed(const Upstream &upstream, const HttpOutcome &outcome)
{
    if (outcome.verdict == Verdict::NotRun || this->isRepeatable) {
        this->nextAttempt();
        return;
    }
    const bool isLate = std::chrono::steady_clock::now() >= this->call.deadline;
    this->refuse({Verdict::MayHaveRun,
                  isLate ? 504 : 502,
                  isLate ? "deadline-exceeded" : "outcome-unknown",
                  "the exchange with " + upstream.id + " broke off: " + outcome.error,
                  {}});
}

void TransactionalCall::checkProgress(std::chrono::steady_clock::time_point)
{
}

std::optional<StreamPosition> TransactionalCall::streamPosition() const
{
    return std::nullopt;
}

void TransactionalCall::supersede()
{
}

void TransactionalCall::disconnected()
{
    // A non-repeatable attempt continues, since its answer has to be recorded for the caller's retry.
    if (!this->isRepeatable)
        return;
    this->attempt.reset();
    logEvent(LogLevel::Info, "cancelled", {{"request", this->call.requestId}});
    this->finish(this->worstVerdict, {}, callerDisconnectedStatus);
}

void TransactionalCall::reply(const StoredAnswer &answer)
{
    HttpHeaders headers{{std::string(requestIdField), this->call.requestId}};
    if (!answer.contentType.empty())
        headers.add("Content-Type", answer.contentType);
    this->responder->reply(answer.status, headers, answer.body);
}

void TransactionalCall::refuse(RequestError error)
{
    error.verdict = std::max(error.verdict, this->worstVerdict);
    logRefusal(this->call, error);
    replyRefusal(*this->responder, error, this->call.requestId);
    this->finish(error.verdict, {}, error.status);
}

void TransactionalCall::finish(Verdict verdict, const StoredAnswer &answer, int status)
{
    if (std::exchange(this->hasEnded, true))
        return;
    this->timer.cancel();
    this->context.metrics.addRequest({this->call.service.id, this->call.clientAccount}, {verdict, status});
    if (this->hasIntent)
        this->context.completeIntent(this->intent, verdict, answer);
    this->context.calls.remove(this->shared_from_this());
}

} // namespace hemlock
