#pragma once

#include "estimation/firsttokenmodel.h"
#include "estimation/loadfigures.h"
#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// A request for the expected time to its first token.
struct FirstTokenQuery
{
    double pendingTokens = 0.0; ///< Prompt tokens of earlier requests without a first token.
    double tokensToCompute = 0.0; ///< Tokens of the request that the upstream has not cached.
    double requestsInProgress = 0.0;
    double promptTokens = 0.0; ///< All tokens of the request, which determine its attention; 0 to neglect it.
};

struct FirstTokenEstimate
{
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds deviation{0}; ///< Mean deviation of recent responses.
};

/// Models of all upstreams: time to the first token, momentary slow-down, free slots.
///
/// Without responses of its own, an upstream is assumed to be like the median of its service; without any, like the
/// defaults of FirstTokenFigures.
class UpstreamModels
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Numbers since the start of the process.
    struct Counts
    {
        std::uint64_t samples = 0; ///< Responses that were learned from.
        std::uint64_t ignoredSamples = 0; ///< Responses with an implausible time or for an unknown upstream.
        std::uint64_t loadReports = 0;
    };

    /// Replaces the known upstreams. One with another incarnation starts with a new model.
    void setUpstreams(const std::vector<Upstream> &listed);

    /// Sets the memory of one upstream for running requests and cached parts together, in tokens, by service.
    void setMemory(std::map<std::string, double> tokensByService);

    /// Records the time from the start of a request to its first token.
    void firstTokenObserved(const std::string &upstream,
                            const FirstTokenQuery &atStart,
                            std::chrono::milliseconds delay,
                            Time now);

    void loadReported(const std::string &upstream, const LoadFigures &figures, Time now);

    FirstTokenEstimate firstToken(const std::string &upstream, const FirstTokenQuery &query, Time now) const;

    /// Figures of an upstream with its momentary slow-down; the defaults for an unknown one.
    FirstTokenFigures figures(const std::string &upstream, Time now) const;

    /// Prompt tokens that an upstream computes per millisecond, slow-down included.
    double tokensPerMs(const std::string &upstream, Time now) const;

    /// Slots without a request, if the upstream reported them lately.
    std::optional<double> freeSlots(const std::string &upstream, Time now) const;

    /// Prompt tokens that the cache of an upstream is assumed to hold while requests run.
    double cacheTokens(const std::string &upstream) const;

    const Counts &counts() const;

    /// Number of prompt tokens that cost as much as the attention of a prompt: each computed token is paired with every
    /// earlier one, cached or not.
    static double attentionTokens(double tokensToCompute, double promptTokens);

private:
    struct Model
    {
        std::string service;
        std::string incarnation;
        FirstTokenModel firstToken;
        LoadFigures load;
        std::optional<Time> loadTime;
    };

    struct Prior
    {
        FirstTokenFigures figures;
        std::optional<Time> updated;
    };

    static double slowdown(const Model &model, Time now);
    FirstTokenFigures usualFigures(const Model &model, Time now) const;
    void updatePrior(const std::string &service, Time now);

    std::unordered_map<std::string, Model> models;
    std::map<std::string, Prior> priors; ///< By service.
    std::map<std::string, double> memory; ///< By service.
    Counts totals;
};

} // namespace hemlock
