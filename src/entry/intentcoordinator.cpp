#include "intentcoordinator.h"

#include "encoding.h"
#include "intenthooks.h"
#include "logger.h"
#include "refusal.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

// Each call has its own deadline; with a shorter timeout, a slow store would count as an outage.
constexpr std::chrono::milliseconds storeTimeout{5000};
constexpr std::chrono::milliseconds peerConnectTimeout{500};
// Time between checks that the owner of a forwarded call still holds the slot.
constexpr std::chrono::seconds ownerCheckInterval{1};
// The owner gets a shorter deadline, so that its refusal arrives before the sender's timeout.
constexpr std::chrono::milliseconds answerMargin{20};

void startTimer(asio::io_context &loop, std::chrono::steady_clock::duration delay, std::function<void()> expired)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop, delay);
    timer->async_wait([timer, expired = std::move(expired)](const asio::error_code &error) {
        if (!error)
            expired();
    });
}

bool isShutdownRefusal(const HttpOutcome &outcome)
{
    if (outcome.status != 503)
        return false;
    const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
    return body.is_object() && body.contains("error") && body["error"].value("code", std::string()) == "shutting-down";
}

} // namespace

/// Exchange with the owner of a call's key.
class IntentCoordinator::ForwardedCall : public std::enable_shared_from_this<ForwardedCall>
{
public:
    ForwardedCall(IntentCoordinator &coordinator,
                  std::string owner,
                  IntentRequest intent,
                  std::function<void(const ForwardOutcome &)> done)
        : loop(coordinator.loop)
        , http(coordinator.http)
        , log(coordinator.log)
        , owner(std::move(owner))
        , intent(std::move(intent))
        , done(std::move(done))
    {
    }

    void start(HttpCall call)
    {
        HttpCallHooks hooks;
        hooks.done = [self = this->shared_from_this()](const HttpOutcome &outcome) { self->ended(outcome); };
        this->call = this->http.start(std::move(call), std::move(hooks));
        this->scheduleOwnerCheck();
    }

private:
    void scheduleOwnerCheck()
    {
        startTimer(this->loop, ownerCheckInterval, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            const auto log = self ? self->log.lock() : nullptr;
            if (!log || self->hasEnded)
                return;
            log->verifyOwner(self->intent, self->owner, [self](bool ownsSlot) {
                if (self->hasEnded)
                    return;
                if (ownsSlot)
                    self->scheduleOwnerCheck();
                else
                    self->abandon();
            });
        });
    }

    void abandon()
    {
        this->http.cancel(this->call);
        // The former owner may have run the call or may still be running it.
        this->finish({false, Verdict::MayHaveRun, 0, {}, {}});
    }

    void ended(const HttpOutcome &outcome)
    {
        const auto log = this->log.lock();
        if (this->hasEnded || !log)
            return;
        if (!outcome.isComplete()) {
            // A call that exceeded its own deadline does not show that the owner is unreachable.
            if (std::chrono::steady_clock::now() < this->intent.deadline)
                log->forwardingFailed(this->intent, this->owner, ForwardingFailure::Unreachable);
            this->finish({false, outcome.verdict, 0, {}, {}});
            return;
        }
        if (outcome.status == notOwnerStatus) {
            log->forwardingFailed(this->intent, this->owner, ForwardingFailure::NotOwner);
            this->finish({false, Verdict::NotRun, 0, {}, {}});
            return;
        }
        if (isShutdownRefusal(outcome)) {
            log->forwardingFailed(this->intent, this->owner, ForwardingFailure::Closing);
            this->finish({false, Verdict::NotRun, 0, {}, {}});
            return;
        }
        log->forwardingSucceeded(this->intent, this->owner);
        this->finish({true, Verdict::Ran, outcome.status, outcome.headers, outcome.body});
    }

    void finish(const ForwardOutcome &outcome)
    {
        this->hasEnded = true;
        const auto hook = std::move(this->done);
        hook(outcome);
    }

    asio::io_context &loop;
    HttpClient &http;
    std::weak_ptr<IntentLog> log;
    std::string owner;
    IntentRequest intent;
    std::function<void(const ForwardOutcome &)> done;
    HttpClient::CallId call = 0;
    bool hasEnded = false;
};

IntentCoordinator::IntentCoordinator(asio::io_context &loop,
                                     HttpClient &http,
                                     const IntentCoordinatorSettings &settings)
    : loop(loop)
    , http(http)
    , settings(settings)
    , auth(settings.controlKey)
    , store(http, settings.store, storeTimeout)
{
}

IntentCoordinator::~IntentCoordinator() = default;

void IntentCoordinator::start(const std::string &controlAddress)
{
    this->settings.log.instance = this->settings.vm + "/" + makeUniqueId();
    this->settings.log.address = controlAddress;
    this->log = std::make_shared<IntentLog>(this->settings.log, makeIntentLogHooks(this->loop, this->store));
}

void IntentCoordinator::submit(const IntentRequest &request, std::function<void(const IntentDecision &)> onDecided)
{
    this->log->submit(request, std::move(onDecided));
}

void IntentCoordinator::complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer)
{
    this->log->complete(request, verdict, answer);
}

void IntentCoordinator::forward(const std::string &ownerAddress,
                                const IntentRequest &intent,
                                const HttpRequest &request,
                                std::function<void(const ForwardOutcome &)> done)
{
    const auto timeLeft =
        std::chrono::ceil<std::chrono::milliseconds>(intent.deadline - std::chrono::steady_clock::now());
    const auto atLeastOneMillisecond = [](std::chrono::milliseconds time) {
        return std::max(time, std::chrono::milliseconds(1));
    };
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + ownerAddress + std::string(peerCallPath);
    call.body = encodePeerCall(
        {intent.clientAccount, intent.requestId, atLeastOneMillisecond(timeLeft - answerMargin), request});
    call.headers = this->auth.sign(peerCallPath, call.body, std::chrono::system_clock::now());
    call.headers.add("Content-Type", "application/json");
    call.connectTimeout = peerConnectTimeout;
    call.timeout = atLeastOneMillisecond(timeLeft);
    std::make_shared<ForwardedCall>(*this, ownerAddress, intent, std::move(done))->start(std::move(call));
}

void IntentCoordinator::handlePeerMessage(const HttpRequest &request,
                                          const HttpResponderPtr &responder,
                                          const RunPeerCall &run) const
{
    const std::string requestId = request.headers.value(requestIdField);
    const std::string problem = this->auth.check(request, std::chrono::system_clock::now());
    if (!problem.empty()) {
        logEvent(LogLevel::Warning, "peer-call-refused", {{"remote", request.remoteAddress}, {"problem", problem}});
        replyRefusal(*responder, {Verdict::NotRun, 403, "not-authentic", problem, {}}, requestId);
        return;
    }
    if (request.path != peerCallPath || request.method != "POST") {
        replyRefusal(
            *responder, {Verdict::NotRun, 404, "unknown-path", "nothing is served at this path", {}}, requestId);
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(call, decodePeerCall(request.body));
            run(std::move(call), responder);
            return {};
        },
        [&](const RequestError &error) { replyRefusal(*responder, error, requestId); },
        [&] {
            replyRefusal(
                *responder, {Verdict::NotRun, 500, "internal-error", "the call was not handled", {}}, requestId);
        });
}

void IntentCoordinator::release(std::chrono::milliseconds limit, std::function<void()> done)
{
    if (!this->log) {
        done();
        return;
    }
    this->log->release(limit, std::move(done));
}

const IntentLogStats &IntentCoordinator::stats() const
{
    return this->log->stats();
}

} // namespace hemlock
