#include "soakupstream.h"

#include "oddanswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds answerDelay{20};
constexpr std::chrono::milliseconds eventInterval{40};
constexpr std::chrono::milliseconds slowEventInterval{450};
constexpr std::chrono::milliseconds stallInterval{300};
constexpr int slots = 16;

HttpServerSettings upstreamServerSettings()
{
    HttpServerSettings settings;
    settings.readTimeout = std::chrono::seconds(60);
    return settings;
}

} // namespace

std::string soakEvent(const std::string &attemptId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attemptId + " event " + std::to_string(number) + "\n\n";
}

std::string soakEvents(const std::string &attemptId, int first)
{
    std::string events;
    for (int number = first; number <= soakStreamEvents; ++number)
        events += soakEvent(attemptId, number);
    return events;
}

std::string soakAnswer(const std::string &attemptId)
{
    return "answer to " + attemptId + ", all of it";
}

struct SoakUpstream::Run
{
    HttpRequest request;
    std::string attemptId;
    HttpResponderPtr responder;
    Behavior behavior;
    int nextEvent = 1;
    bool hasEnded = false;
    asio::steady_timer timer;
};

SoakUpstream::SoakUpstream(asio::io_context &loop, std::string service, std::string zone, Hooks hooks)
    : service(std::move(service))
    , zone(std::move(zone))
    , loop(loop)
    , hooks(std::move(hooks))
    , server(
          loop,
          upstreamServerSettings(),
          [this](const HttpRequest &request, const HttpResponderPtr &responder) { this->handle(request, responder); })
    , faultProxy(std::make_unique<FaultProxy>(loop, this->server.start()))
{
}

std::string SoakUpstream::record(const std::string &state) const
{
    const nlohmann::json record = {{"service", this->service},
                                   {"address", this->faultProxy->address()},
                                   {"zone", this->zone},
                                   {"state", state},
                                   {"slots", slots},
                                   {"born", this->born}};
    return record.dump();
}

std::chrono::seconds SoakUpstream::pause() const
{
    const auto rest = this->pausedUntil - std::chrono::steady_clock::now();
    return std::max(std::chrono::ceil<std::chrono::seconds>(rest), std::chrono::seconds(0));
}

bool SoakUpstream::isDisturbed(std::chrono::steady_clock::time_point time) const
{
    return time <= this->disturbedUntil;
}

FaultProxy &SoakUpstream::proxy()
{
    return *this->faultProxy;
}

HttpHeaders SoakUpstream::answerHeaders(const std::string &attemptId) const
{
    HttpHeaders headers = {{"X-Hemlockflow-Attempt-Id", attemptId},
                           {"X-Hemlockflow-Response-Signature", "signature of " + attemptId}};
    if (this->rateLimit > 0.0)
        headers.add("Server-Limit", std::to_string(this->rateLimit));
    if (this->isLeaving)
        headers.add("Server-Leaving", "1");
    return headers;
}

void SoakUpstream::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string attemptId = request.headers.value("X-Hemlockflow-Attempt-Id");
    HttpHeaders headers = this->answerHeaders(attemptId);
    this->hooks.arrived(*this, request);
    const Behavior behavior = this->hooks.behavior(request);
    const bool isOther = request.headers.value("X-Hemlockflow-Expect-Instance") != this->id;
    const std::chrono::seconds pause = this->pause();
    const bool isPaused = pause.count() > 0;
    if (isOther || isPaused || behavior == Behavior::Refuses) {
        headers.add("X-Hemlockflow-Not-Executed", "1");
        if (!isOther && isPaused)
            headers.add("Retry-After", std::to_string(pause.count()));
        this->hooks.answered(*this, request, isOther ? 421 : 503);
        return responder->reply(isOther ? 421 : 503, headers, {});
    }
    this->hooks.began(*this, request, behavior);
    auto run =
        std::make_shared<Run>(Run{request, attemptId, responder, behavior, 1, false, asio::steady_timer(this->loop)});
    responder->setDisconnectHook([this, weak = std::weak_ptr<Run>(run)] {
        if (const auto disconnected = weak.lock())
            this->end(*disconnected);
    });
    if (behavior == Behavior::LosesAnswer) {
        this->end(*run);
        return responder->abort();
    }
    const bool isStream = request.path.starts_with("/stream/");
    if (behavior == Behavior::CrashesAtOnce || (behavior == Behavior::Crashes && !isStream)) {
        this->end(*run);
        return this->hooks.crashed(*this, request);
    }
    if (isStream && request.headers.has("Last-Event-Id"))
        run->nextEvent = std::stoi(request.headers.value("Last-Event-Id")) + 1;
    if (isStream && behavior != Behavior::Fails && behavior != Behavior::OddAnswer) {
        this->hooks.answered(*this, request, 200);
        responder->beginStream(200, headers);
        if (behavior != Behavior::Crashes)
            return this->continueStream(run);
        // The head leaves before the connections break.
        run->timer.expires_after(eventInterval);
        return run->timer.async_wait([this, run, request](const asio::error_code &error) {
            if (error)
                return;
            this->end(*run);
            this->hooks.crashed(*this, request);
        });
    }
    run->timer.expires_after(answerDelay);
    run->timer.async_wait([this, run](const asio::error_code &error) {
        if (!error)
            this->answer(*run);
    });
}

void SoakUpstream::answer(Run &run)
{
    this->end(run);
    if (run.behavior == Behavior::BreaksOff)
        return run.responder->abort();
    HttpHeaders headers = this->answerHeaders(run.attemptId);
    std::string body = soakAnswer(run.attemptId);
    if (run.behavior == Behavior::OddAnswer) {
        headers.add(std::string(oddAnswerField), std::to_string(this->hooks.oddForm(run.attemptId)));
        if (run.request.path.starts_with("/stream/"))
            body = soakEvents(run.attemptId, run.nextEvent);
    }
    const int status = run.behavior == Behavior::Fails ? 500 : 200;
    this->hooks.answered(*this, run.request, status);
    run.responder->reply(status, headers, std::move(body));
}

void SoakUpstream::continueStream(const std::shared_ptr<Run> &run)
{
    const bool isStalled = run->behavior == Behavior::Stalls && run->nextEvent > 2;
    run->timer.expires_after(isStalled                             ? stallInterval
                                 : run->behavior == Behavior::Slow ? slowEventInterval
                                                                   : eventInterval);
    run->timer.async_wait([this, run, isStalled](const asio::error_code &error) {
        if (error || !run->responder->isConnected())
            return;
        if (run->nextEvent > soakStreamEvents) {
            this->end(*run);
            return run->responder->endStream();
        }
        std::string event = soakEvent(run->attemptId, run->nextEvent);
        if (run->behavior == Behavior::BreaksOff && run->nextEvent == soakStreamEvents / 2) {
            this->end(*run);
            run->responder->write(event.substr(0, event.size() / 2));
            return run->responder->abort();
        }
        if (isStalled) {
            run->responder->write(":");
        } else {
            run->responder->write(std::move(event));
            ++run->nextEvent;
        }
        this->continueStream(run);
    });
}

void SoakUpstream::end(Run &run)
{
    if (std::exchange(run.hasEnded, true))
        return;
    run.timer.cancel();
    this->hooks.ended(run.attemptId);
}

} // namespace hemlock
