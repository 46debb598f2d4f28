#pragma once

#include "bufferpool.h"
#include "httpserver.h"
#include "relay/eventsplitter.h"
#include "relay/relaycontext.h"
#include "relay/requestsuspects.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hemlock {

/// Relays one request to an upstream, from its arrival to the end of its answer.
///
/// A non-idempotent request is retried only while no upstream can have run it. An idempotent request is retried after
/// any failure, and a resumable stream continues after its last complete event. Both are limited by the route's maximum
/// number of attempts and by the retry budget.
class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    /// @p ended is called once, when the complete answer was passed to the responder, the stream was aborted, or the
    /// caller disconnected.
    RelayCall(RelayContext &context, HttpResponderPtr responder, std::function<void()> ended);

    RelayCall(const RelayCall &) = delete;
    RelayCall &operator=(const RelayCall &) = delete;

    void start(HttpRequest request);

    /// Answers the call before its time limit, since the process is about to exit. A stream that has begun goes on.
    void endEarly();

    /// Gives the current attempt up if it went to one of the given upstreams, which are leaving, and the request has
    /// not arrived there. It may still have run: the acknowledgement may have been lost.
    void giveUpUnreceived(const std::set<std::string> &leavingUpstreams);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    bool resolveRoute();
    bool authorize();
    std::optional<RequestError> quarantineError() const;
    void requestTrial(const std::string &subject);
    bool takeQuota();
    void enqueue();
    void sendAttempt(const Upstream &upstream, const RouteDecision &decision);
    void headArrived(int status, const HttpHeaders &headers);
    void bytesArrived(std::string_view bytes);
    void recordNotice();
    void recordRepeatedAnswer();
    void abortAttempt(const std::string &error);
    void attemptDone(const HttpOutcome &outcome);
    void logFailedAttempt(const HttpOutcome &outcome, CrashEvidence evidence) const;
    void finishStream(const HttpOutcome &outcome);
    void endAttempt(bool failed);
    void recordEvidence(const HttpOutcome &outcome);
    void forwardEvents(std::string completeEvents);
    void beginStream();

    bool isSuccess(const HttpOutcome &outcome) const;
    bool isRetryable() const;
    /// Reserves another attempt in the retry budget. Returns what stands against the attempt, or an empty text.
    std::string_view takeRetry(TimePoint now);
    bool scheduleRetry(const std::string &reason);
    /// Returns the reserved retry, if any.
    void returnRetry();
    void retryOrFail(const std::string &reason);
    void fail(const std::string &reason);
    void deadlineExpired();
    void endUnanswered(const std::string &reason);
    void callerDisconnected();

    void refuse(const RequestError &error);
    /// Refuses a request whose next attempt was not sent; an earlier one may have run.
    void refuseUnsent(const RequestError &error);
    void finish(int status, const std::string &code);
    std::chrono::milliseconds timeLeft() const;

    RelayContext &context;
    HttpResponderPtr responder;
    std::function<void()> ended;
    asio::steady_timer timer;
    std::string id; ///< Unique in this process.
    RelayRequest request;
    RouteTablePtr routes; ///< Keeps the objects behind route and account alive.
    const RelayRoute *route = nullptr;
    const RelayAccount *account = nullptr;
    std::string service;
    std::string fingerprint;
    RequestSuspects suspects;
    TimePoint arrivalTime;
    TimePoint answerDeadline; ///< Time by which the answer has to be complete.

    int attempts = 0;
    std::set<std::string> triedUpstreams;
    Verdict verdict = Verdict::NotRun; ///< Most severe verdict of all attempts.
    Upstream upstream; ///< Receives the current attempt.
    HttpClient::CallId attemptCall = 0;
    bool isAttemptActive = false;
    bool isQueued = false;
    bool holdsRetry = false; ///< A retry is reserved in the budget and not sent yet.
    bool isFinished = false;
    bool isUsageCounted = false; ///< Whether the usage ledger contains this request.
    double quotaUnits = 0.0; ///< Units charged to the account's rate limit.

    int status = 0; ///< HTTP status of the current attempt's answer.
    HttpHeaders headers;
    RelayAnswer answer;
    bool isAborted = false; ///< This process broke off the current attempt's answer.
    bool isMismatched = false; ///< The answer carries the identifier of another request.
    bool isStreaming = false; ///< The current attempt's answer is an event stream to forward.
    /// Body bytes that are not forwarded, since the answer to a stream request is not a stream.
    std::size_t discardedBytes = 0;
    bool hasStreamBegun = false; ///< The status and headers of a stream were sent to the caller.
    EventSplitter events;
    BufferPool::Share bufferedEvent; ///< The incomplete event in events.
    TimePoint answerStart; ///< When the head of the current attempt's answer arrived.
    int eventWrites = 0; ///< Writes of complete events that the current attempt's answer led to.
    TimePoint lastEventTime;
    /// From arrival to the first byte sent of the latest attempt; -1 if none was sent.
    std::chrono::milliseconds sendingDelay{-1};
    std::chrono::milliseconds firstEventDelay{0}; ///< From arrival to the first event.
    std::chrono::milliseconds longestGap{0}; ///< Longest time between two writes of events to the caller.
};

} // namespace hemlock
