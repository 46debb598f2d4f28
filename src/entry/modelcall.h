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
class ModelCall : public OpenCall, public std::enable_shared_from_this<ModelCall>
{
public:
    ModelCall(EntryContext &context, CallInfo call, CompletionRequest request, HttpResponderPtr responder);

    void start();

private:
    void nextAttempt();
    void startAttempt(const Upstream &upstream);
    HttpCall makeCall(const std::string &attempt) const;
    std::string attemptId(const std::string &upstream) const;
    void eventReceived(const ServerSentEvent &event);
    void engineReported(const nlohmann::json &json);
    void tokenReceived(std::size_t number, const std::string &text);
    void attemptDone(const HttpOutcome &outcome);
    void disconnected();
    void complete();
    void refuse(RequestError error);
    void end();

    EntryContext &context;
    CallInfo call;
    CompletionRequest request;
    CompletionWriter writer;
    HttpResponderPtr responder;
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<EventStreamParser> parser;
    int attempts = 0;
    std::set<std::string> failedUpstreams;
    Verdict worstVerdict = Verdict::NotRun;
    std::vector<std::string> tokens; ///< Texts of the tokens generated so far.
    std::size_t skippedTokens = 0; ///< Tokens that the caller has from an earlier stream.
    nlohmann::json usage = nlohmann::json::object();
    bool isGenerated = false; ///< The engine has sent its last event.
    bool hasEnded = false;
};

} // namespace hemlock
