#pragma once

#include "attempt.h"
#include "entrycontext.h"
#include "httpserver.h"

#include <memory>
#include <set>

namespace hemlock {

/// A caller's call of a transactional service. A non-repeatable call is sent only after its intent is durable, and
/// retried only after an attempt that provably did not run.
class TransactionalCall : public OpenCall, public std::enable_shared_from_this<TransactionalCall>
{
public:
    /// @p path is the path on the service, without the prefix /services/SERVICE.
    TransactionalCall(
        EntryContext &context, CallInfo call, std::string path, HttpRequest request, HttpResponderPtr responder);

    void start();

    void checkProgress(std::chrono::steady_clock::time_point now) override;
    std::optional<StreamPosition> streamPosition() const override;
    void supersede() override;

private:
    void submitIntent();
    void intentDecided(const IntentDecision &decision);
    void forward(const std::string &ownerAddress);
    void forwarded(const ForwardOutcome &outcome);
    void nextAttempt();
    void startAttempt(std::shared_ptr<Attempt> next);
    void attemptDone(const HttpOutcome &outcome);
    void exchangeFailed(const Upstream &upstream, const HttpOutcome &outcome);
    void disconnected();
    HttpCall makeCall() const;
    void reply(const StoredAnswer &answer);
    void refuse(RequestError error);
    void finish(Verdict verdict, const StoredAnswer &answer, int status);

    EntryContext &context;
    CallInfo call;
    std::string path;
    HttpRequest request;
    HttpResponderPtr responder;
    bool isRepeatable;
    std::string fingerprint;
    asio::steady_timer timer;
    bool hasIntent = false;
    IntentRequest intent;
    std::shared_ptr<Attempt> attempt;
    int attempts = 0;
    std::set<std::string> triedUpstreams;
    bool wasReclaimed = false; ///< The last attempt's upstream was leaving, gone or unknown.
    bool hasEnded = false;
    Verdict worstVerdict = Verdict::NotRun;
};

} // namespace hemlock
