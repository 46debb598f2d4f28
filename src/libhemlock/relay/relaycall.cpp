#include "relay/relaycall.h"

#include "answerframing.h"
#include "encoding.h"
#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

/// A stream is aborted when more than this many bytes wait for a caller that reads too slowly.
constexpr std::size_t maxPendingBytes = std::size_t{256} * 1024;

/// An answer that is not a stream, or that is not forwarded, is aborted beyond this size.
constexpr std::size_t maxAnswerBytes = std::size_t{4} * 1024 * 1024;

/// Connections within a region take a few milliseconds; a lost SYN packet is retransmitted only after one second.
constexpr std::chrono::milliseconds connectTimeout{700};

/// Time reserved for sending the answer to the caller; subtracted from the time that an upstream gets.
constexpr std::chrono::milliseconds answerTransferTime{5};

/// A request with less time left than this cannot be answered before its deadline.
constexpr std::chrono::milliseconds minRemainingTime{10};

/// Time limit of requests without a deadline on routes without a timeout.
constexpr std::chrono::milliseconds defaultTimeLimit{60000};

/// The peer may have dropped an idle connection unnoticed. A request sent on it is lost, and a non-idempotent request
/// is not retried.
constexpr std::chrono::seconds nonIdempotentIdleLimit{2};

constexpr int lowestUpstreamPriority = 9;

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders endToEnd;
    for (const HttpHeader &field : headers) {
        if (!isConnectionField(field.name))
            endToEnd.add(field.name, field.value);
    }
    return endToEnd;
}

/// Identifiers of prompt parts in hexadecimal, separated by commas.
std::string partList(const std::vector<PromptPart> &parts)
{
    std::string list;
    for (const PromptPart &part : parts)
        list += (list.empty() ? "" : ",") + fmt::format("{:x}", part.id);
    return list;
}

std::string_view failureName(HttpFailure failure)
{
    switch (failure) {
    case HttpFailure::None:
        return "none";
    case HttpFailure::Connect:
        return "connect";
    case HttpFailure::Timeout:
        return "timeout";
    case HttpFailure::Broken:
        return "broken";
    }
    return "unknown";
}

/// Whether callers take an answer with this status for the promise that the request was not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether an answer may be an event stream; upstreams need not tell the type.
bool isEventStream(const HttpHeaders &headers)
{
    return !headers.has("Content-Type") || headers.value("Content-Type").starts_with("text/event-stream");
}

std::string nextCallId()
{
    static std::uint64_t last = 0;
    return std::to_string(++last);
}

} // namespace

RelayCall::RelayCall(RelayContext &context, HttpResponderPtr responder, std::function<void()> ended)
    : context(context)
    , responder(std::move(responder))
    , ended(std::move(ended))
    , timer(context.loop)
    , id(nextCallId())
    , suspects(context.quarantine)
    , bufferedEvent(context.answerBuffers)
{
}

void RelayCall::start(HttpRequest received)
{
    this->arrivalTime = this->context.now();
    auto decoded = this->context.transport.decodeRequest(std::move(received));
    if (const auto *error = std::get_if<RequestError>(&decoded))
        return this->refuse(*error);
    this->request = std::move(std::get<RelayRequest>(decoded));
    if (!this->resolveRoute() || !this->authorize())
        return;
    const auto trial = this->suspects.dueTrial(this->arrivalTime);
    if (const auto error = this->quarantineError(); error && !trial)
        return this->refuse(*error);
    const auto routeLimit = this->route->timeout.count() > 0 ? this->route->timeout : defaultTimeLimit;
    const auto timeLimit = std::min(routeLimit, this->request.deadline.value_or(routeLimit));
    if (!this->context.acceptsCall(timeLimit, this->route->kind == CallKind::Stream && this->route->isResumable))
        return this->refuse({Verdict::NotRun, 503, "stopping", "the process is about to end", std::chrono::seconds(0)});
    this->answerDeadline = this->arrivalTime + timeLimit;
    if (this->timeLeft() < minRemainingTime)
        return this->refuse({Verdict::NotRun, 503, "deadline", "too little time is left", std::chrono::seconds(1)});
    if (!this->takeQuota())
        return;
    this->timer.expires_after(this->timeLeft());
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->deadlineExpired();
    });
    this->responder->setDisconnectHook([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerDisconnected();
    });
    if (trial)
        return this->requestTrial(*trial);
    this->enqueue();
}

void RelayCall::requestTrial(const std::string &subject)
{
    this->context.requestTrial(subject, [weak = this->weak_from_this(), subject](std::optional<TimePoint> validUntil) {
        const auto self = weak.lock();
        if (!self || self->isFinished)
            return;
        if (!validUntil) {
            constexpr std::chrono::seconds trialRetry{1};
            return self->refuse({Verdict::NotRun,
                                 503,
                                 "quarantined",
                                 "another request is the trial of what crashed upstreams",
                                 trialRetry});
        }
        logEvent(LogLevel::Info, "quarantine-trial", {{"request", self->request.attemptId}, {"subject", subject}});
        self->suspects.grantTrial(subject, *validUntil);
        self->enqueue();
    });
}

bool RelayCall::resolveRoute()
{
    this->routes = this->context.routes;
    if (!this->routes) {
        this->refuse({Verdict::NotRun, 503, "starting", "no configuration is known yet", std::chrono::seconds(1)});
        return false;
    }
    this->route = this->routes->find(this->request.host, this->request.path);
    if (!this->route) {
        this->refuse({Verdict::NotRun, 404, "unknown-route", "no route has this host and path", {}});
        return false;
    }
    this->service = targetService(*this->route, this->request.attemptId);
    return true;
}

bool RelayCall::authorize()
{
    const bool needsAccount = !this->routes->config().accounts.empty() && !this->route->isPublic;
    this->account = this->routes->accountOfKey(this->request.apiKey);
    if (!this->account && needsAccount) {
        this->refuse({Verdict::NotRun, 401, "unknown-key", "the API key belongs to no client account", {}});
        return false;
    }
    const std::string name = this->account ? this->account->name : std::string();
    this->fingerprint = requestFingerprint(name, this->request.target, *this->request.body);
    this->suspects.setRequest(this->service, this->request.parts, this->fingerprint);
    return true;
}

std::optional<RequestError> RelayCall::quarantineError() const
{
    const auto refusal = this->suspects.refusal(this->context.now());
    if (!refusal)
        return std::nullopt;
    const std::string subject = refusal->isPart ? "a part of the prompt" : "the request";
    return RequestError{Verdict::NotRun, 503, "quarantined", subject + " crashed several upstreams", refusal->wait};
}

bool RelayCall::takeQuota()
{
    if (!this->account)
        return true;
    const double units =
        this->account->countsTokens ? this->request.totalTokens().value_or(this->account->defaultTokens) : 1.0;
    const QuotaLimit quota{this->account->rate, this->account->burst};
    const auto now = this->context.now();
    if (this->context.quota.tryTake(this->account->name, quota, units, this->context.peerCount(), now)) {
        this->quotaUnits = units;
        return true;
    }
    const auto wait = this->context.quota.waitTime(this->account->name, quota, now);
    this->refuse({Verdict::NotRun,
                  429,
                  "account-limit",
                  "the client account has used up its rate",
                  std::chrono::ceil<std::chrono::seconds>(wait)});
    return false;
}

void RelayCall::enqueue()
{
    RelayTicket ticket;
    ticket.id = this->id;
    ticket.service = this->service;
    ticket.clientAccount = this->account ? this->account->name : std::string();
    ticket.rank = this->account && this->account->priority ? *this->account->priority : this->route->priority;
    ticket.promptTokens = this->request.promptTokens.value_or(0.0);
    ticket.answerTokens = this->request.answerTokens;
    ticket.parts = this->request.parts;
    ticket.latestStart = std::min(this->answerDeadline, this->arrivalTime + this->route->latencyTarget);
    // A request that was sent before is not refused for a late start: it is retried until its caller's deadline.
    if (this->attempts > 0)
        ticket.latestStart = this->answerDeadline;
    ticket.excluded = this->triedUpstreams;
    ticket.isTrial = this->suspects.grantedTrial(this->context.now()).has_value();
    RelayTicketHooks hooks;
    hooks.start = [weak = this->weak_from_this()](const Upstream &chosen, const RouteDecision &decision) {
        if (const auto self = weak.lock())
            self->sendAttempt(chosen, decision);
    };
    hooks.refuse = [weak = this->weak_from_this()](const RequestError &error) {
        if (const auto self = weak.lock()) {
            self->isQueued = false;
            self->refuseUnsent(error);
        }
    };
    this->isQueued = true;
    this->context.scheduler.submit(std::move(ticket), std::move(hooks), this->context.now());
}

void RelayCall::refuseUnsent(const RequestError &error)
{
    this->returnRetry();
    if (this->hasStreamBegun || this->verdict != Verdict::NotRun)
        this->fail(error.message);
    else
        this->refuse(error);
}

void RelayCall::sendAttempt(const Upstream &chosen, const RouteDecision &decision)
{
    this->isQueued = false;
    // The request or a part of its prompt may have been refused while it was queued.
    if (const auto error = this->quarantineError()) {
        this->context.scheduler.requestEnded(this->id, false, this->context.now());
        return this->refuseUnsent(*error);
    }
    this->suspects.endTrial();
    this->isAttemptActive = true;
    this->upstream = chosen;
    this->triedUpstreams.insert(chosen.id);
    ++this->attempts;
    this->status = 0;
    this->headers = {};
    this->answer = {};
    this->isAborted = false;
    this->isMismatched = false;
    this->isStreaming = false;
    this->discardedBytes = 0;
    this->eventWrites = 0;
    if (this->attempts == 1)
        this->context.retryBudget.recordRequest({}, this->service, this->context.now());
    if (std::exchange(this->holdsRetry, false))
        this->context.retryBudget.commitRetry({}, this->service, this->context.now());

    RelayAttempt attempt;
    attempt.upstreamId = chosen.id;
    attempt.address = chosen.address;
    attempt.clientAccount = this->account ? this->account->name : std::string();
    attempt.timeLeft = std::max(minRemainingTime, this->timeLeft() - answerTransferTime);
    attempt.lastEventId = this->request.lastEventId;
    if (this->hasStreamBegun && !this->events.lastEventId().empty())
        attempt.lastEventId = this->events.lastEventId();
    if (this->request.promptTokens)
        attempt.priority = std::min(this->route->priority, lowestUpstreamPriority);
    HttpCall call = this->context.transport.encodeAttempt(this->request, attempt);
    call.connectTimeout = std::min(connectTimeout, attempt.timeLeft);
    call.maxBodyBytes = maxAnswerBytes;
    call.buffers = this->context.answerBuffers;
    const bool isRepeatableKind = this->route->kind == CallKind::Idempotent
        || (this->route->kind == CallKind::Stream && this->route->isResumable);
    call.forcesNewConnection = this->context.repeatedAnswers.isExpected(chosen, this->context.now());
    call.closesConnection = call.forcesNewConnection;
    call.maxIdleTime = isRepeatableKind ? this->context.idleLimit : nonIdempotentIdleLimit;
    const UpstreamListFreshness freshness = this->context.upstreamListFreshness();
    logEvent(LogLevel::Info,
             "route",
             {{"request", this->request.attemptId},
              {"attempt", this->attempts},
              {"service", this->service},
              {"account", attempt.clientAccount},
              {"quotaUnits", this->quotaUnits},
              {"configuration", this->routes->config().version},
              {"upstream", chosen.id},
              {"upstreamsRevision", freshness.revision},
              {"upstreamsAgeMs", freshness.age.count()},
              {"waitedMs",
               std::chrono::duration_cast<std::chrono::milliseconds>(this->context.now() - this->arrivalTime).count()},
              {"reason", decision.reason}});

    this->context.promptSent(decision.tokensToCompute);

    HttpCallHooks hooks;
    hooks.sending = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->sendingDelay =
                std::chrono::duration_cast<std::chrono::milliseconds>(self->context.now() - self->arrivalTime);
    };
    hooks.closed = [request = this->request.attemptId, upstream = chosen.id](std::optional<std::size_t> unsentBytes) {
        logEvent(LogLevel::Info,
                 "attempt-closed",
                 {{"request", request},
                  {"upstream", upstream},
                  {"unsentBytes", unsentBytes ? nlohmann::json(*unsentBytes) : nlohmann::json()}});
    };
    hooks.head = [weak = this->weak_from_this()](int status, const HttpHeaders &headers) {
        if (const auto self = weak.lock())
            self->headArrived(status, headers);
    };
    // Only streams are forwarded as their bytes arrive; other answers are buffered.
    if (this->route->kind == CallKind::Stream) {
        hooks.data = [weak = this->weak_from_this()](std::string_view bytes) {
            if (const auto self = weak.lock())
                self->bytesArrived(bytes);
        };
    }
    hooks.done = [weak = this->weak_from_this()](const HttpOutcome &outcome) {
        if (const auto self = weak.lock())
            self->attemptDone(outcome);
    };
    this->attemptCall = this->context.http.start(std::move(call), std::move(hooks));
}

void RelayCall::headArrived(int headStatus, const HttpHeaders &head)
{
    this->status = headStatus;
    this->headers = head;
    this->answerStart = this->context.now();
    this->answer = this->context.transport.decodeAnswer(head);
    // One second less than the upstream announces, since the upstream measures idleness at its own end.
    if (this->answer.keepAlive && *this->answer.keepAlive > std::chrono::seconds(1))
        this->context.idleLimit = std::min(this->context.idleLimit, *this->answer.keepAlive - std::chrono::seconds(1));
    this->isMismatched = this->answer.attemptId != this->request.attemptId;
    if (this->isMismatched) {
        this->recordRepeatedAnswer();
        return this->abortAttempt("the answer belongs to another request");
    }
    this->recordNotice();
    const bool isSuccessful = headStatus >= 200 && headStatus < 300 && this->answer.isSigned;
    // An answer of another type does not continue a stream.
    this->isStreaming =
        this->route->kind == CallKind::Stream && isSuccessful && (!this->hasStreamBegun || isEventStream(head));
    if (this->route->kind != CallKind::Stream)
        this->context.scheduler.answerBegan(this->id, this->context.now());
}

void RelayCall::recordRepeatedAnswer()
{
    if (this->answer.attemptId.empty())
        return;
    logEvent(
        LogLevel::Warning,
        "repeated-answer",
        {{"request", this->request.attemptId}, {"upstream", this->upstream.id}, {"answerTo", this->answer.attemptId}});
    this->context.repeatedAnswers.record(this->upstream, this->context.now());
}

void RelayCall::recordNotice()
{
    UpstreamNotice notice;
    notice.limit = this->answer.rateLimit;
    if (!this->answer.namesRateLimit && this->status < 300 && this->answer.isSigned)
        notice.limit = 0.0;
    notice.isLeaving = this->answer.isUpstreamLeaving;
    notice.invalidFields = this->answer.invalidNotices;
    if (this->status == 503) {
        notice.pause = this->answer.pause;
        if (this->answer.isPauseInvalid)
            notice.invalidFields.emplace_back("pause");
    }
    this->context.scheduler.recordNotice(this->upstream, notice, this->context.now());
}

void RelayCall::abortAttempt(const std::string &error)
{
    // Closes the connection, so that later bytes on it are not taken for the answer to the next request.
    this->context.http.cancel(this->attemptCall);
    this->isAborted = true;
    HttpOutcome outcome;
    outcome.verdict = Verdict::MayHaveRun;
    outcome.failure = HttpFailure::Broken;
    outcome.error = error;
    asio::post(this->context.loop, [weak = this->weak_from_this(), outcome] {
        if (const auto self = weak.lock())
            self->attemptDone(outcome);
    });
}

void RelayCall::bytesArrived(std::string_view bytes)
{
    if (this->isMismatched || this->isFinished)
        return;
    if (!this->isStreaming) {
        this->discardedBytes += bytes.size();
        if (this->discardedBytes > maxAnswerBytes)
            this->abortAttempt("the answer is too long");
        return;
    }
    this->context.scheduler.answerBegan(this->id, this->context.now());
    if (!this->isUsageCounted && this->account) {
        this->isUsageCounted = true;
        this->context.usage.count(this->account->name, this->context.wallTime());
    }
    this->forwardEvents(this->events.append(bytes));
    if (this->isFinished)
        return;
    if (this->events.isPartialEventTooLong() || !this->bufferedEvent.resize(this->events.partialEventBytes()))
        this->abortAttempt("an event of the stream is too long");
}

void RelayCall::forwardEvents(std::string completeEvents)
{
    if (completeEvents.empty())
        return;
    const TimePoint now = this->context.now();
    if (this->hasStreamBegun) {
        const std::string accountName = this->account ? this->account->name : std::string();
        this->context.metrics.addTokenGap({this->service, accountName}, now - this->lastEventTime);
        this->longestGap = std::max(this->longestGap,
                                    std::chrono::duration_cast<std::chrono::milliseconds>(now - this->lastEventTime));
    }
    this->lastEventTime = now;
    if (++this->eventWrites >= provenEventWrites)
        this->suspects.recordProgress(this->answerStart, now);
    this->beginStream();
    this->responder->write(std::move(completeEvents));
    if (this->responder->pendingBytes() > maxPendingBytes)
        this->retryOrFail("the caller does not read its stream");
}

void RelayCall::beginStream()
{
    if (this->hasStreamBegun)
        return;
    this->hasStreamBegun = true;
    this->firstEventDelay =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->context.now() - this->arrivalTime);
    this->responder->beginStream(this->status, endToEndHeaders(this->headers));
    const std::string accountName = this->account ? this->account->name : std::string();
    this->context.metrics.addFirstTokenLatency({this->service, accountName}, this->context.now() - this->arrivalTime);
}

bool RelayCall::isSuccess(const HttpOutcome &outcome) const
{
    return outcome.isComplete() && outcome.status >= 200 && outcome.status < 300 && this->answer.isSigned;
}

void RelayCall::endAttempt(bool failed)
{
    this->isAttemptActive = false;
    this->attemptCall = 0;
    this->context.scheduler.requestEnded(this->id, failed, this->context.now());
}

void RelayCall::attemptDone(const HttpOutcome &outcome)
{
    if (!this->isAttemptActive || this->isFinished)
        return;
    const bool reportsNotRun = outcome.isComplete() && (this->answer.isNotExecuted || outcome.status == 421);
    const bool isFailure = !outcome.isComplete() || (outcome.status >= 500 && !reportsNotRun);
    this->endAttempt(isFailure);
    this->recordEvidence(outcome);
    const auto now = this->context.now();
    if (outcome.failure == HttpFailure::Connect)
        this->context.scheduler.upstreamFailed(this->upstream.id, now);
    if (outcome.failure == HttpFailure::Connect || outcome.failure == HttpFailure::Broken)
        this->context.connectionFailed(this->upstream);
    if (outcome.failure == HttpFailure::Connect || reportsNotRun)
        return this->retryOrFail(reportsNotRun ? "the upstream did not run the request"
                                               : "no connection: " + outcome.error);
    if (!outcome.isComplete()) {
        this->verdict = Verdict::MayHaveRun;
        // The attempt ends shortly before the call's own deadline, so that the error reaches the caller in time.
        if (outcome.failure == HttpFailure::Timeout && this->timeLeft() <= answerTransferTime)
            return this->deadlineExpired();
        return this->retryOrFail("attempt failed: " + outcome.error);
    }
    if (this->verdict == Verdict::NotRun)
        this->verdict = Verdict::Ran;
    if (!this->isUsageCounted && this->account) {
        this->isUsageCounted = true;
        this->context.usage.count(this->account->name, this->context.wallTime());
    }
    if (this->isStreaming)
        return this->finishStream(outcome);
    const bool isUnsigned = outcome.status < 300 && !this->answer.isSigned;
    if (isUnsigned || this->hasStreamBegun)
        return this->retryOrFail("the answer is not signed");
    if (promisesNotRun(outcome.status))
        return this->retryOrFail("the upstream refused the request without saying that it did not run");
    if (outcome.status >= 500 && this->scheduleRetry("status " + std::to_string(outcome.status)))
        return;
    this->responder->reply(outcome.status, endToEndHeaders(outcome.headers), outcome.body);
    this->finish(outcome.status, "answered");
}

void RelayCall::recordEvidence(const HttpOutcome &outcome)
{
    AttemptEnd end;
    end.failure = outcome.failure;
    end.status = outcome.status;
    end.eventWrites = this->eventWrites;
    end.isSuccess = this->isSuccess(outcome);
    end.isStream = this->isStreaming;
    end.endsWithConnection = outcome.bodyEnd == BodyEnd::Connection;
    end.isAborted = this->isAborted || outcome.isRejected;
    end.isUpstreamLeaving = this->context.scheduler.upstreams().isLeaving(this->upstream.id);
    const CrashEvidence evidence = crashEvidence(end);
    if (!outcome.isComplete() || evidence == CrashEvidence::BrokeAtAnswerStart)
        this->logFailedAttempt(outcome, evidence);
    this->suspects.record(evidence, this->upstream, this->answerStart, this->context.now());
}

void RelayCall::logFailedAttempt(const HttpOutcome &outcome, CrashEvidence evidence) const
{
    logEvent(LogLevel::Info,
             "attempt-failed",
             {{"request", this->request.attemptId},
              {"attempt", this->attempts},
              {"upstream", this->upstream.id},
              {"failure", failureName(outcome.failure)},
              {"error", outcome.error},
              {"answerStatus", outcome.status},
              {"headComplete", outcome.bodyEnd != BodyEnd::Unknown},
              {"contentLength", fieldValues(outcome.headers, "Content-Length")},
              {"transferEncoding", fieldValues(outcome.headers, "Transfer-Encoding")},
              {"bodyBytes", outcome.bodyBytes},
              {"eventWrites", this->eventWrites},
              {"evidence", crashEvidenceName(evidence)},
              {"fingerprint", this->fingerprint},
              {"parts", partList(this->request.parts)}});
}

void RelayCall::finishStream(const HttpOutcome &outcome)
{
    if (this->eventWrites == 0 && outcome.bodyEnd == BodyEnd::Connection)
        return this->retryOrFail("the stream ended before its first event");
    if (this->events.hasPartialEvent())
        return this->retryOrFail("the stream ended within an event");
    this->beginStream();
    this->responder->endStream();
    this->finish(outcome.status, "answered");
}

bool RelayCall::isRetryable() const
{
    if (this->verdict == Verdict::NotRun)
        return true;
    if (this->route->kind == CallKind::Stream)
        return this->route->isResumable;
    return this->route->kind == CallKind::Idempotent;
}

std::string_view RelayCall::takeRetry(TimePoint now)
{
    if (!this->isRetryable())
        return "kind";
    if (this->attempts >= this->route->maxAttempts)
        return "attempts";
    if (this->timeLeft() < minRemainingTime)
        return "time";
    if (this->quarantineError())
        return "quarantine";
    if (!this->context.scheduler.upstreams().hasUsable(this->service, this->triedUpstreams))
        return "upstreams";
    if (this->context.scheduler.pauseLeft(this->service, this->triedUpstreams, now))
        return "pause";
    this->holdsRetry = this->context.retryBudget.reserveRetry({}, this->service, now);
    return this->holdsRetry ? "" : "budget";
}

bool RelayCall::scheduleRetry(const std::string &reason)
{
    const auto now = this->context.now();
    const std::string limit(this->takeRetry(now));
    const double balance = this->context.retryBudget.balance({}, this->service, now);
    const MetricLabels labels{this->service, this->account ? this->account->name : std::string()};
    if (!limit.empty()) {
        this->context.metrics.addRefusedRetry(labels, limit);
        logEvent(LogLevel::Info,
                 "retry-refused",
                 {{"request", this->request.attemptId},
                  {"attempt", this->attempts},
                  {"service", this->service},
                  {"limit", limit},
                  {"balance", balance},
                  {"reason", reason}});
        return false;
    }
    this->context.metrics.addRetry(labels);
    logEvent(LogLevel::Info,
             "retry",
             {{"request", this->request.attemptId},
              {"attempt", this->attempts},
              {"service", this->service},
              {"balance", balance},
              {"reason", reason}});
    this->events.discardPartialEvent();
    this->bufferedEvent.resize(0);
    this->enqueue();
    return true;
}

void RelayCall::returnRetry()
{
    if (std::exchange(this->holdsRetry, false))
        this->context.retryBudget.returnRetry({}, this->service, this->context.now());
}

void RelayCall::retryOrFail(const std::string &reason)
{
    if (this->isFinished)
        return;
    if (!this->isAttemptActive && this->scheduleRetry(reason))
        return;
    this->fail(reason);
}

void RelayCall::fail(const std::string &reason)
{
    if (this->hasStreamBegun) {
        this->responder->abort();
        return this->finish(0, reason);
    }
    if (this->verdict == Verdict::NotRun) {
        const auto pauseLeft = this->context.scheduler.pauseLeft(this->service, {}, this->context.now());
        return this->refuse({Verdict::NotRun, 503, "not-run", reason, pauseLeft.value_or(std::chrono::seconds(1))});
    }
    this->refuse({this->verdict, 502, "upstream-failed", reason, {}});
}

void RelayCall::deadlineExpired()
{
    this->endUnanswered("the time limit was reached");
}

void RelayCall::endEarly()
{
    // A stream that has begun needs no time for an answer, and may still end by itself.
    if (!this->hasStreamBegun)
        this->endUnanswered("the process is about to end");
}

void RelayCall::giveUpUnreceived(const std::set<std::string> &leavingUpstreams)
{
    if (!this->isAttemptActive || this->isAborted || this->status != 0 || !leavingUpstreams.contains(this->upstream.id))
        return;
    if (this->context.http.unacknowledgedBytes(this->attemptCall).value_or(0) > 0)
        this->abortAttempt("the upstream leaves and has not received the request");
}

void RelayCall::endUnanswered(const std::string &reason)
{
    if (this->isFinished)
        return;
    if (this->isAttemptActive)
        this->verdict = Verdict::MayHaveRun;
    if (this->hasStreamBegun) {
        this->responder->abort();
        return this->finish(0, reason);
    }
    if (this->verdict == Verdict::NotRun)
        return this->refuse({Verdict::NotRun, 503, "deadline", "not sent: " + reason, std::chrono::seconds(1)});
    this->refuse({this->verdict, 504, "timeout", reason, {}});
}

void RelayCall::callerDisconnected()
{
    this->finish(0, "the caller disconnected");
}

void RelayCall::refuse(const RequestError &error)
{
    HttpHeaders fields = {{"Content-Type", "application/json"}};
    if (error.retryAfter)
        fields.add("Retry-After", std::to_string(error.retryAfter->count()));
    const nlohmann::json body = {
        {"error", {{"code", error.code}, {"message", error.message}, {"verdict", verdictName(error.verdict)}}}};
    this->responder->reply(error.status, fields, body.dump());
    this->finish(error.status, error.code + ": " + error.message);
}

void RelayCall::finish(int answerStatus, const std::string &outcome)
{
    if (this->isFinished)
        return;
    this->isFinished = true;
    this->events.discardPartialEvent();
    this->bufferedEvent.resize(0);
    this->timer.cancel();
    this->returnRetry();
    const auto selfReference = this->shared_from_this();
    // The rate limit counts requests that ran; a caller that retries after a refusal must not be charged twice.
    if (this->verdict == Verdict::NotRun && !this->isAttemptActive && this->quotaUnits > 0.0)
        this->context.quota.refund(this->account->name, this->quotaUnits);
    if (this->isAttemptActive) {
        this->context.http.cancel(this->attemptCall);
        this->endAttempt(false);
    } else if (this->isQueued) {
        this->context.scheduler.cancel(this->id, this->context.now());
    }
    const std::string accountName = this->account ? this->account->name : std::string();
    this->context.metrics.addRequest({this->service, accountName}, {this->verdict, answerStatus, 0, 0});
    logEvent(
        LogLevel::Info,
        "request",
        {{"request", this->request.attemptId},
         {"route", this->route ? this->route->name : std::string()},
         {"clientAccount", accountName},
         {"status", answerStatus},
         {"verdict", verdictName(this->verdict)},
         {"attempts", this->attempts},
         {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(this->context.now() - this->arrivalTime).count()},
         {"sentMs", this->sendingDelay.count()},
         {"firstEventMs", this->firstEventDelay.count()},
         {"longestGapMs", this->longestGap.count()},
         {"outcome", outcome}});
    this->ended();
}

std::chrono::milliseconds RelayCall::timeLeft() const
{
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(this->answerDeadline - this->context.now()));
}

} // namespace hemlock
