#pragma once

#include "httpserver.h"
#include "relay/eventsplitter.h"
#include "relay/relaycontext.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hemlock {

/// One relayed request, from its arrival to the end of its answer.
///
/// A request that may run once is sent again only while no upstream can have run it. An idempotent one is sent again
/// after any failure, and a resumable stream goes on after its last whole event, both within the route's number of
/// attempts and the retry budget.
class RelayCall : public std::enable_shared_from_this<RelayCall>
{
public:
    /// @p ended is called once, when the answer has been handed over or the caller has left.
    RelayCall(RelayContext &context, HttpResponderPtr responder, std::function<void()> ended);

    RelayCall(const RelayCall &) = delete;
    RelayCall &operator=(const RelayCall &) = delete;

    void start(HttpRequest request);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    bool resolveRoute();
    bool authorize();
    bool takeQuota();
    void enqueue();
    void sendAttempt(const Upstream &upstream, const RouteDecision &decision);
    void headArrived(int status, const HttpHeaders &headers);
    void bytesArrived(std::string_view bytes);
    void abortAttempt(const std::string &error);
    void attemptDone(const HttpOutcome &outcome);
    void finishStream(const HttpOutcome &outcome);
    void endAttempt(bool failed);
    void forwardEvents(std::string completeEvents);
    void beginStream();

    bool isSuccess(const HttpOutcome &outcome) const;
    bool isRetryable() const;
    bool scheduleRetry(const std::string &reason);
    void retryOrFail(const std::string &reason);
    void deadlineExpired();
    void callerDisconnected();

    void refuse(const RequestError &error);
    void finish(int status, const std::string &code);
    std::chrono::milliseconds timeLeft() const;

    RelayContext &context;
    HttpResponderPtr responder;
    std::function<void()> ended;
    asio::steady_timer timer;
    std::string id; ///< Of this call in this process.
    RelayRequest request;
    RouteTablePtr routes; ///< Keeps the route alive.
    const RelayRoute *route = nullptr;
    const RelayAccount *account = nullptr;
    std::string service;
    std::string fingerprint;
    TimePoint arrivalTime;
    TimePoint answerDeadline; ///< The answer ends by then.

    int attempts = 0;
    std::set<std::string> triedUpstreams;
    Verdict verdict = Verdict::NotRun; ///< Greatest of all attempts.
    Upstream upstream; ///< Of the attempt in progress.
    HttpClient::CallId attemptCall = 0;
    bool isAttemptActive = false;
    bool isQueued = false;
    bool isFinished = false;
    bool isUsageCounted = false; ///< In the usage ledger.
    double quotaUnits = 0.0; ///< Admitted by the account's limit.

    int status = 0; ///< Of the attempt in progress.
    HttpHeaders headers;
    RelayAnswer answer;
    bool isMismatched = false; ///< The answer belongs to another request.
    bool isStreaming = false; ///< The attempt's answer is a stream to pass on.
    std::size_t discardedBytes = 0; ///< Of an answer to a stream's request that is no stream.
    bool hasStreamBegun = false; ///< The caller got the head of a stream.
    EventSplitter events;
    TimePoint lastEventTime;
    std::chrono::milliseconds sendingDelay{-1}; ///< From the arrival to the first byte of the latest attempt.
    std::chrono::milliseconds firstEventDelay{0}; ///< From the arrival to the first event.
    std::chrono::milliseconds longestGap{0}; ///< Between two events.
};

} // namespace hemlock
