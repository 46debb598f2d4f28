#include "attempt.h"

#include "upstreampool.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

// An upstream's refusal is a short JSON object; more than this is not kept.
constexpr std::size_t maxRefusalBytes = std::size_t{64} * 1024;

bool isOwnRefusal(const HttpOutcome &outcome)
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
    , target(std::move(upstream))
    , identifier(std::move(id))
{
}

Attempt::~Attempt()
{
    if (!this->running)
        return;
    this->http.cancel(this->call);
    this->pool.attemptEnded(this->target.id);
}

const std::string &Attempt::id() const
{
    return this->identifier;
}

const Upstream &Attempt::upstream() const
{
    return this->target;
}

void Attempt::start(HttpCall call, const std::string &target, AttemptHooks hooks)
{
    call.url = "http://" + this->target.address + target;
    call.headers.add(std::string(attemptIdField), this->identifier);
    this->hooks = std::move(hooks);
    const auto guarded = [weak = this->weak_from_this()](auto action) {
        return [weak, action](const auto &...arguments) {
            if (const auto self = weak.lock())
                action(*self, arguments...);
        };
    };
    HttpCallHooks callHooks;
    callHooks.head =
        guarded([](Attempt &self, int status, const HttpHeaders &headers) { self.headReceived(status, headers); });
    if (this->hooks.data)
        callHooks.data = guarded([](Attempt &self, std::string_view bytes) { self.dataReceived(bytes); });
    callHooks.done = guarded([](Attempt &self, const HttpOutcome &outcome) {
        if (!self.rejected)
            self.finish(outcome);
    });
    this->running = true;
    this->pool.attemptStarted(this->target.id);
    this->call = this->http.start(std::move(call), std::move(callHooks));
}

void Attempt::keepUntilEnd(std::shared_ptr<void> object)
{
    this->kept = std::move(object);
}

void Attempt::reject(const std::string &reason)
{
    if (!this->running || this->rejected)
        return;
    this->rejected = true;
    this->http.cancel(this->call);
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
    if (headers.has(attemptIdField) && headers.value(attemptIdField) != this->identifier)
        this->reject("the answer belongs to another attempt");
}

void Attempt::dataReceived(std::string_view bytes)
{
    if (this->rejected)
        return;
    if (this->status == 200)
        this->hooks.data(bytes);
    else if (this->refusal.size() + bytes.size() <= maxRefusalBytes)
        this->refusal += bytes;
}

void Attempt::finish(HttpOutcome outcome)
{
    this->running = false;
    this->kept.reset();
    this->pool.attemptEnded(this->target.id);
    if (this->hooks.data && this->status != 200)
        outcome.body = std::move(this->refusal);
    if (isOwnRefusal(outcome))
        outcome.verdict = Verdict::NotRun;
    else if (!outcome.isComplete())
        this->pool.attemptFailed(this->target.id, std::chrono::steady_clock::now());
    const AttemptHooks hooks = std::exchange(this->hooks, {});
    hooks.done(outcome);
}

} // namespace hemlock
