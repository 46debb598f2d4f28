#include "crashprobe.h"

namespace hemlock {

namespace {

// Allows several round trips between zones; the caller waits for it before its request fails over.
constexpr std::chrono::milliseconds connectTimeout{500};

// The kernel still accepts connections for a process that is exiting, and then resets them, so the probe is repeated.
constexpr std::chrono::milliseconds retryDelay{50};
constexpr int maxTries = 4;

} // namespace

CrashProbe::CrashProbe(asio::io_context &loop, HttpClient &http)
    : loop(loop)
    , http(http)
{
}

void CrashProbe::start(const Upstream &upstream, std::function<void(bool hasDied)> done)
{
    auto &waiting = this->waiting[upstream.address];
    waiting.push_back(std::move(done));
    if (waiting.size() == 1)
        this->probe(upstream.address, maxTries);
}

void CrashProbe::probe(const std::string &address, int triesLeft)
{
    HttpCall call;
    call.url = "http://" + address + "/healthz";
    call.connectTimeout = connectTimeout;
    call.timeout = connectTimeout * 2;
    call.closesConnection = true;
    HttpCallHooks hooks;
    hooks.done = [this, address, triesLeft](const HttpOutcome &outcome) {
        if (outcome.verdict != Verdict::MayHaveRun || triesLeft <= 1) {
            // Only an upstream that accepts no connection counts as dead.
            this->finish(address, outcome.verdict == Verdict::NotRun);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(this->loop, retryDelay);
        timer->async_wait([this, timer, address, triesLeft](const asio::error_code &error) {
            if (!error)
                this->probe(address, triesLeft - 1);
        });
    };
    this->http.start(std::move(call), std::move(hooks));
}

void CrashProbe::finish(const std::string &address, bool hasDied)
{
    const auto waiting = std::exchange(this->waiting[address], {});
    this->waiting.erase(address);
    for (const auto &done : waiting)
        done(hasDied);
}

} // namespace hemlock
