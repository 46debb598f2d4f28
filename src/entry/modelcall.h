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

/// A caller's completion request. When an engine fails, the prompt and the emitted tokens are replayed on another one,
/// so that the caller gets each token once.
///
/// A caller that resumes a stream gets the rest from the engine that generated it, else from the tokens that a draining
/// peer handed over, else by generating the answer again when the service is deterministic.
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
    void failOver(const Upstream &upstream); ///< Goes on elsewhere after the upstream has failed the call.

    void disconnected();
    void cancelAtEngine(const Attempt &attempt);
    void complete();
    void refuse(RequestError error);
    void end(Verdict verdict, int status);

    EntryContext &context;
    CallInfo call;
    CompletionRequest request;
    std::string digest; ///< Of prompt and length, as resumed requests must match.
    std::string fingerprint;
    CompletionWriter writer;
    HttpResponderPtr responder;
    asio::steady_timer timer;
    std::string admissionId; ///< Unique in this process, unlike the request identifier; empty when not submitted.
    bool isAdmitted = false;
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<EventStreamParser> parser;
    int attempts = 0;
    bool resumesStream = false; ///< The running attempt takes up a stream that the engine holds.
    bool hasAskedPeers = false;
    bool wasReclaimed = false; ///< The last attempt's upstream was leaving.
    std::set<std::string> failedUpstreams;
    std::set<std::string> reconnectedUpstreams; ///< Their stream was taken up again after a lost connection.
    Verdict worstVerdict = Verdict::NotRun;
    std::vector<std::string> tokens; ///< Texts of the tokens so far, with those of an earlier stream.
    std::size_t skippedTokens = 0; ///< Tokens that the caller has from an earlier stream.
    std::chrono::steady_clock::time_point lastProgress;
    std::optional<std::chrono::steady_clock::time_point> lastToken; ///< When a token was last received here.
    nlohmann::json usage = nlohmann::json::object();
    bool isAnswerComplete = false; ///< The engine has sent its last event.
    bool hasEnded = false;
};

} // namespace hemlock
