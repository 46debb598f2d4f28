#include "crashprobe.h"

namespace hemlock {

namespace {

// Several round trips between zones; a caller waits for this before its request goes to another upstream.
constexpr std::chrono::milliseconds connectTimeout{500};

} // namespace

CrashProbe::CrashProbe(HttpClient &http)
    : http(http)
{
}

void CrashProbe::start(const Upstream &upstream, std::function<void(bool hasDied)> done)
{
    auto &waiting = this->waiting[upstream.address];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1)
        return;
    HttpCall call;
    call.url = "http://" + upstream.address + "/healthz";
    call.connectTimeout = connectTimeout;
    call.timeout = connectTimeout * 2;
    call.closesConnection = true;
    HttpCallHooks hooks;
    hooks.done = [this, address = upstream.address](const HttpOutcome &outcome) {
        // Only an upstream that takes no connection counts as dead; a slow answer does not.
        this->finish(address, outcome.verdict == Verdict::NotRun);
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
