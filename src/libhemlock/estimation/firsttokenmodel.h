#pragma once

#include <array>
#include <chrono>

namespace hemlock {

/// Figures from which the time to the first token is computed. The defaults are used until something was measured.
struct FirstTokenFigures
{
    double msPerToken = 1.0 / 50.0; ///< For each prompt token to compute, of the request and of those before it.
    double msPerRequest = 2.0; ///< For each request in progress.
    double fixedMs = 0.0; ///< Independent of the load.
};

/// What was known when a request started, and the time to its first token.
struct FirstTokenSample
{
    double pendingTokens = 0.0; ///< To compute for earlier requests, as far as known.
    double ownTokens = 0.0; ///< To compute for the request, attention included.
    double requests = 0.0; ///< In progress at the start.
    double delayMs = 0.0; ///< At the usual speed of the upstream.
};

/// Estimates the figures of one upstream from its responses.
///
/// A regression that starts from a prior and bounds the influence of single samples: most outliers are too long,
/// because requests of other entry VMs that this one does not know of were computed first.
class FirstTokenModel
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Adds a sample. @p prior holds the figures that are assumed without samples.
    void observe(const FirstTokenSample &sample, const FirstTokenFigures &prior, Time now);

    /// The estimated figures; they approach @p prior as the last sample ages.
    FirstTokenFigures figures(const FirstTokenFigures &prior, Time now) const;

    /// Whether there are enough samples to take the figures into the prior of other upstreams.
    bool isMeasured() const;

    /// Mean deviation of samples from the expected delay, as a share of it.
    double deviationShare() const;

private:
    static constexpr std::size_t dimensions = 3;
    using Vector = std::array<double, dimensions>; ///< For 1,000 tokens, a request, and the fixed delay.

    static Vector toVector(const FirstTokenFigures &figures);
    void solve(const Vector &prior);

    std::array<Vector, dimensions> products{}; ///< Weighted sums of the products of two inputs.
    Vector targets{}; ///< Weighted sums of the products of an input and the delay.
    Vector solution{};
    int samples = 0;
    double deviation = 0.3; ///< The default is close to what was measured in the test of a fleet.
    Time lastSample{};
};

} // namespace hemlock
