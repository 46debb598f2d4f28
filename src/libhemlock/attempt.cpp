#include "attempt.h"

#include "upstreampool.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

// A refusal of an upstream is a short JSON object; bytes of longer error bodies are discarded.
constexpr std::size_t maxErrorBodyBytes = std::size_t{64} * 1024;

bool isUpstreamRefusal(const HttpOutcome &outcome)
{
    if (!outcome.isComplete() || outcome.status != 503)
        return false;
    const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
    return body.is_object() && body.contains("verdict") && body["verdict"] == verdictName(Verdict::NotRun);
}

} // namespace

Attempt::Attempt(asio::io_context &loop, HttpClient &http, UpstreamPool &pool, Upstream upstream, std::string id)
    : loop(loop)
    , http(http)
    , pool(pool)
    , targetUpstream(std::move(upstream))
    , attemptId(std::move(id))
{
}

Attempt::~Attempt()
{
    if (!this->running)
        return;
    this->http.cancel(this->callId);
    this->pool.attemptEnded(this->targetUpstream.id);
}

const std::string &Attempt::id() const
{
    return this->attemptId;
}

const Upstream &Attempt::upstream() const
{
    return this->targetUpstream;
}

void Attempt::start(HttpCall call, const std::string &path, AttemptHooks hooks)
{
    call.url = "http://" + this->targetUpstream.address + path;
    call.headers.add(std::string(attemptIdField), this->attemptId);
    this->hooks = std::move(hooks);
    const auto callIfAlive = [weak = this->weak_from_this()](auto action) {
        return [weak, action](const auto &...arguments) {
            if (const auto self = weak.lock())
                action(*self, arguments...);
        };
    };
    HttpCallHooks callHooks;
    callHooks.head =
        callIfAlive([](Attempt &self, int status, const HttpHeaders &headers) { self.headReceived(status, headers); });
    if (this->hooks.data)
        callHooks.data = callIfAlive([](Attempt &self, std::string_view bytes) { self.dataReceived(bytes); });
    callHooks.done = callIfAlive([](Attempt &self, const HttpOutcome &outcome) {
        if (!self.rejected)
            self.finish(outcome);
    });
    this->running = true;
    this->pool.attemptStarted(this->targetUpstream.id);
    this->callId = this->http.start(std::move(call), std::move(callHooks));
}

void Attempt::keepUntilEnd(std::shared_ptr<void> object)
{
    this->keptObject = std::move(object);
}

void Attempt::reject(const std::string &reason)
{
    if (!this->running || this->rejected)
        return;
    this->rejected = true;
    this->http.cancel(this->callId);
    asio::post(this->loop, [weak = this->weak_from_this(), reason] {
        const auto self = weak.lock();
        if (!self)
            return;
        HttpOutcome outcome;
        outcome.verdict = Verdict::MayHaveRun;
        outcome.status = self->status;
        outcome.error = reason;
        self->finish(std::move(outcome));
    });
}

bool Attempt::isRejected() const
{
    return this->rejected;
}

void Attempt::headReceived(int status, const HttpHeaders &headers)
{
    this->status = status;
    if (headers.has(attemptIdField) && headers.value(attemptIdField) != this->attemptId)
        this->reject("the answer belongs to another attempt");
}

void Attempt::dataReceived(std::string_view bytes)
{
    if (this->rejected)
        return;
    if (this->status == 200)
        this->hooks.data(bytes);
    else if (this->errorBody.size() + bytes.size() <= maxErrorBodyBytes)
        this->errorBody += bytes;
}

void Attempt::finish(HttpOutcome outcome)
{
    this->running = false;
    this->keptObject.reset();
    this->pool.attemptEnded(this->targetUpstream.id);
    if (this->hooks.data && this->status != 200)
        outcome.body = std::move(this->errorBody);
    if (isUpstreamRefusal(outcome))
        outcome.verdict = Verdict::NotRun;
    else if (!outcome.isComplete())
        this->pool.attemptFailed(this->targetUpstream.id, std::chrono::steady_clock::now());
    const AttemptHooks hooks = std::exchange(this->hooks, {});
    hooks.done(outcome);
}

} // namespace hemlock
