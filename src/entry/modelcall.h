#pragma once

#include "attempt.h"
#include "callerrequest.h"
#include "completionwriter.h"
#include "entrycontext.h"
#include "eventstream.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// A caller's completion request. When an engine fails, the prompt and the tokens so far are replayed on another
/// engine; the caller gets each token exactly once.
///
/// A resumed stream continues at the engine that generated it, otherwise from the tokens that a draining peer handed
/// over, otherwise by generating the answer again if the service is deterministic.
class ModelCall : public OpenCall, public std::enable_shared_from_this<ModelCall>
{
public:
    ModelCall(EntryContext &context, CallInfo call, CompletionRequest request, HttpResponderPtr responder);

    void start();

    void checkProgress(std::chrono::steady_clock::time_point now) override;
    std::optional<StreamPosition> streamPosition() const override;
    void supersede() override;

private:
    void awaitAdmission();
    double expectedTokens(std::size_t answerTokens) const;
    void nextAttempt();
    void waitAndRetry(std::chrono::milliseconds time);
    void resumeAtEngine(const Upstream &upstream, const std::string &reason);
    void resumeElsewhere();
    void continueFromHandedOverTokens(const HandedOverTokens &handedOver);
    void startAttempt(std::shared_ptr<Attempt> attempt, bool resumesStream);
    AttemptRequest attemptRequest() const;
    std::string attemptId(const std::string &upstream) const;
    HttpCall makeCall(const std::string &attempt, bool resumesStream) const;

    void eventReceived(const ServerSentEvent &event);
    void engineEventReceived(const nlohmann::json &json);
    void tokenReceived(std::size_t number, const std::string &text);
    void emitToken(std::size_t number, const std::string &upstream);
    void recordTokenLatency();
    void attemptDone(const HttpOutcome &outcome);
    void connectionLost(const Upstream &upstream, bool hasDied);
    void failOver(const Upstream &upstream); ///< Continues the answer without this upstream.

    void disconnected();
    void cancelAtEngine(const Attempt &attempt);
    void complete();
    void refuse(RequestError error);
    void end(Verdict verdict, int status);

    EntryContext &context;
    CallInfo call;
    CompletionRequest request;
    std::string digest; ///< Digest of prompt and length, which a resumed request must match.
    std::string fingerprint;
    CompletionWriter writer;
    HttpResponderPtr responder;
    asio::steady_timer timer;
    std::string admissionId; ///< Unique in this process, unlike the request identifier; empty if not submitted.
    bool isAdmitted = false;
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<EventStreamParser> parser;
    int attempts = 0;
    bool resumesStream = false; ///< The running attempt resumes a stream that the engine holds.
    bool hasAskedPeers = false;
    bool wasReclaimed = false; ///< The last attempt's upstream was leaving, gone or unknown.
    std::set<std::string> failedUpstreams;
    std::set<std::string> reconnectedUpstreams; ///< Upstreams whose stream was resumed once after a lost connection.
    Verdict worstVerdict = Verdict::NotRun;
    std::vector<std::string> tokens; ///< Texts of all tokens so far, including those of an earlier stream.
    std::size_t skippedTokens = 0; ///< Number of tokens that the caller received in an earlier stream.
    std::chrono::steady_clock::time_point lastProgress;
    std::optional<std::chrono::steady_clock::time_point> lastToken; ///< Time of the last token received by this call.
    nlohmann::json usage = nlohmann::json::object();
    bool isAnswerComplete = false; ///< The engine has sent its last event.
    bool hasEnded = false;
};

} // namespace hemlock
