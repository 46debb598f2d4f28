#pragma once

#include "candidateset.h"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace hemlock {

/// Expected time to the first token at one upstream.
struct FirstTokenForecast
{
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds deviation{0};
};

/// Tells when an upstream gives the first token of a prompt of which it must compute @p tokens.
using FirstTokenHook = std::function<FirstTokenForecast(const UpstreamView &upstream, double tokens)>;

/// The pending tokens and those of the request at a constant speed.
FirstTokenForecast constantSpeedForecast(const UpstreamView &upstream, double tokens);

/// A request as far as its chance to start in time depends on it.
struct ArrivalQuery
{
    bool isModel = false; ///< Whether the upstreams compute prompts, so that the first token counts and not the start.
    double tokens = 0.0; ///< Prompt tokens that must be computed.
    std::chrono::milliseconds timeLeft{0}; ///< Until the latency target.
    std::size_t waitingAhead = 0; ///< Requests of this VM that are queued before it.
    double tokensAhead = 0.0; ///< Their prompt tokens.
    std::optional<double> startsPerSecond; ///< Measured while requests wait; unset when unknown.
    bool mayBeRefused = true;
    double slotOvercommit = 1.0; ///< Requests that an upstream without a model takes, as a multiple of its slots.
};

/// Expected wait of a request at the best upstream, and whether that is too long.
struct ArrivalForecast
{
    ArrivalQuery query;
    std::optional<std::chrono::milliseconds> expectedWait; ///< Unset when too little is known.
    bool isTooLate = false; ///< Certainly beyond the target, with a margin, while others can use the room.
};

/// Judges a request by the best of the upstreams that may take it.
ArrivalForecast forecastArrival(const ArrivalQuery &query,
                                const std::vector<UpstreamView> &upstreams,
                                const FirstTokenHook &firstToken);

} // namespace hemlock
