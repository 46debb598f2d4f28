#include "estimation/firsttokenmodel.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

constexpr double tokensPerUnit = 1000.0; ///< Keeps the inputs of the regression within similar orders of magnitude.

/// Half of what was learned is forgotten in this time: long compared to a slow-down of 600 ms, short compared to the
/// life of an upstream.
constexpr std::chrono::duration<double> halfLife = std::chrono::seconds(60);

/// Share of the earlier samples kept at a new one, so that about the last 50 count.
constexpr double keptShare = 0.98;

/// Standard deviation of a sample: jitter of the network and the event loop, deviations in proportion to the delay, and
/// the part of the pending tokens that may have been computed by the time the request arrives.
constexpr double jitterMs = 15.0;
constexpr double delayDeviation = 0.2;
constexpr double pendingDeviation = 0.4;

/// Deviations from which on a sample counts less. Delays are mostly too long, because of unknown earlier requests.
constexpr double lateDeviations = 1.5;
constexpr double earlyDeviations = 3.0;

/// Standard deviation of the speed in the prior, as a share: upstreams of a service differ by 0.55 to 1.2.
constexpr double speedDeviation = 0.4;

/// Standard deviations of the delay per request and the fixed delay around the defaults (fixed delays are 6 to 120 ms),
/// and around the median of a service. Upstreams of a service run the same program, and short prompts alone don't tell
/// a fixed delay from a low speed.
constexpr double defaultRequestDeviation = 1.0;
constexpr double defaultFixedDeviation = 60.0;
constexpr double serviceRequestDeviation = 0.3;
constexpr double serviceFixedDeviation = 15.0;

/// Bounds of the estimates, so that wrong samples can't take an upstream out of use: 0.2 to 5 times the default speed,
/// 5 times the default delay per request, and a fixed delay of eight times the longest one known (120 ms).
constexpr double maxSpeedFactor = 5.0;
constexpr double maxRequestFactor = 5.0;
constexpr double maxFixedMs = 1000.0;

constexpr int minSamples = 3; ///< A single sample may have been delayed by a queue.

constexpr double deviationSmoothing = 0.1; ///< About the last ten samples count.

double decay(FirstTokenModel::Time since, FirstTokenModel::Time now)
{
    return std::exp2(-std::max(std::chrono::duration<double>(0), std::chrono::duration<double>(now - since))
                     / halfLife);
}

} // namespace

FirstTokenModel::Vector FirstTokenModel::toVector(const FirstTokenFigures &figures)
{
    return {figures.msPerToken * tokensPerUnit, figures.msPerRequest, figures.fixedMs};
}

void FirstTokenModel::observe(const FirstTokenSample &sample, const FirstTokenFigures &prior, Time now)
{
    const FirstTokenFigures current = this->figures(prior, now);
    const double pendingMs = sample.pendingTokens * current.msPerToken;
    const double expected =
        pendingMs + sample.ownTokens * current.msPerToken + sample.requests * current.msPerRequest + current.fixedMs;
    const double standardDeviation = jitterMs + delayDeviation * expected + pendingDeviation * pendingMs;
    const double difference = (sample.delayMs - expected) / standardDeviation;
    const double limit = difference > 0.0 ? lateDeviations : earlyDeviations;
    const double weight =
        std::min(1.0, limit / std::max(limit, std::abs(difference))) / (standardDeviation * standardDeviation);
    const double kept = keptShare * decay(this->lastSample, now);
    const Vector input = {(sample.pendingTokens + sample.ownTokens) / tokensPerUnit, sample.requests, 1.0};
    for (std::size_t row = 0; row < dimensions; ++row) {
        for (std::size_t column = 0; column < dimensions; ++column)
            this->products[row][column] = this->products[row][column] * kept + weight * input[row] * input[column];
        this->targets[row] = this->targets[row] * kept + weight * input[row] * sample.delayMs;
    }
    const double share = std::min(1.0, std::abs(sample.delayMs - expected) / (expected + jitterMs));
    this->deviation += (share - this->deviation) * deviationSmoothing;
    this->solution = toVector(current);
    this->samples = std::min(this->samples + 1, minSamples);
    this->lastSample = now;
    this->solve(toVector(prior));
}

void FirstTokenModel::solve(const Vector &prior)
{
    const Vector defaults = toVector({});
    const Vector least = {defaults[0] / maxSpeedFactor, 0.0, 0.0};
    const Vector most = {defaults[0] * maxSpeedFactor, defaults[1] * maxRequestFactor, maxFixedMs};
    const bool isDefault = prior == defaults;
    const Vector deviations = {prior[0] * speedDeviation,
                               isDefault ? defaultRequestDeviation : serviceRequestDeviation,
                               isDefault ? defaultFixedDeviation : serviceFixedDeviation};
    // Coordinate descent, which keeps each figure within its bounds. It begins near the solution, so that a fixed
    // number of rounds is enough.
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < dimensions; ++i) {
            const double priorWeight = 1.0 / (deviations[i] * deviations[i]);
            double target = this->targets[i] + priorWeight * prior[i];
            for (std::size_t j = 0; j < dimensions; ++j)
                target -= j == i ? 0.0 : this->products[i][j] * this->solution[j];
            this->solution[i] = std::clamp(target / (this->products[i][i] + priorWeight), least[i], most[i]);
        }
    }
}

FirstTokenFigures FirstTokenModel::figures(const FirstTokenFigures &prior, Time now) const
{
    if (this->samples == 0)
        return prior;
    const double own = decay(this->lastSample, now);
    const Vector assumed = toVector(prior);
    Vector mixed{};
    for (std::size_t i = 0; i < dimensions; ++i)
        mixed[i] = assumed[i] + (this->solution[i] - assumed[i]) * own;
    return {mixed[0] / tokensPerUnit, mixed[1], mixed[2]};
}

bool FirstTokenModel::isMeasured() const
{
    return this->samples >= minSamples;
}

double FirstTokenModel::deviationShare() const
{
    return this->deviation;
}

} // namespace hemlock
