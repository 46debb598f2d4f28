#include "admission/arrivalforecast.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

// The lowest speed that was measured at upstreams; see part C of docs/design/hard-load.md.
constexpr double tokensPerMs = 50.0;

// Upstreams of one service differ by a factor of 0.55 to 1.2 from their mean; a quarter is about one deviation.
constexpr double speedDeviation = 0.25;

std::chrono::milliseconds toMilliseconds(double value)
{
    return std::chrono::milliseconds(std::llround(value));
}

bool hasFreeSlot(const UpstreamView &view, double overcommit)
{
    return view.slots <= 0 || view.load() < view.slots * overcommit;
}

/// Time until the requests ahead and the given one have left the queue; unset when the rate is unknown.
std::optional<std::chrono::milliseconds> queueWait(const ArrivalQuery &query)
{
    if (!query.startsPerSecond || *query.startsPerSecond <= 0.0)
        return std::nullopt;
    return toMilliseconds(1000.0 * static_cast<double>(query.waitingAhead + 1) / *query.startsPerSecond);
}

} // namespace

FirstTokenForecast constantSpeedForecast(const UpstreamView &upstream, double tokens)
{
    const double delay = (upstream.pendingTokens + tokens) / tokensPerMs;
    return {toMilliseconds(delay), toMilliseconds(delay * speedDeviation)};
}

ArrivalForecast
forecastArrival(const ArrivalQuery &query, const std::vector<UpstreamView> &upstreams, const FirstTokenHook &firstToken)
{
    ArrivalForecast result;
    result.query = query;
    if (upstreams.empty())
        return result;
    const double aheadPerUpstream = query.tokensAhead / static_cast<double>(upstreams.size());
    auto leastCertain = std::chrono::milliseconds::max();
    bool isPossible = !query.isModel;
    for (const UpstreamView &view : upstreams) {
        FirstTokenForecast forecast;
        // A full upstream whose wait is unknown counts only if no other has a free slot: then nothing is known.
        if (!hasFreeSlot(view, query.isModel ? 1.0 : query.slotOvercommit)) {
            const auto wait = queueWait(query);
            if (!wait)
                continue;
            forecast = {*wait, toMilliseconds(static_cast<double>(wait->count()) * speedDeviation)};
        } else if (query.waitingAhead == 0 && view.pendingTokens <= 0.0) {
            result.expectedWait = std::chrono::milliseconds(0);
            return result;
        }
        if (query.isModel) {
            const FirstTokenForecast compute = firstToken(view, query.tokens + aheadPerUpstream);
            forecast = {forecast.delay + compute.delay, forecast.deviation + compute.deviation};
            UpstreamView idle = view;
            idle.pendingTokens = 0.0;
            idle.inFlight = 0;
            idle.reportedLoad = 0.0;
            // A prompt that is late even on its own gains nothing from another try.
            isPossible = isPossible || firstToken(idle, query.tokens).delay <= query.timeLeft;
        }
        leastCertain = std::min(leastCertain, forecast.delay - forecast.deviation);
        if (!result.expectedWait || forecast.delay < *result.expectedWait)
            result.expectedWait = forecast.delay;
    }
    result.isTooLate = query.mayBeRefused && result.expectedWait && isPossible && query.timeLeft.count() > 0
        && leastCertain > query.timeLeft;
    return result;
}

} // namespace hemlock
