#include "estimation/upstreammodels.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

/// A slow-down lasts some 600 ms, so a report of one is in force for 200 ms and then fades until 600 ms.
constexpr std::chrono::duration<double, std::milli> slowdownValidity{200.0};
constexpr std::chrono::duration<double, std::milli> slowdownEnd{600.0};

/// Factors beyond these are taken for errors of the upstream's measurement.
constexpr double minSlowdown = 0.2;
constexpr double maxSlowdown = 10.0;

/// The number of requests changes with each start and end; peers report it every few hundred milliseconds.
constexpr std::chrono::milliseconds loadValidity{300};

/// The median of a service changes slowly and takes time in proportion to the upstreams (up to 12,000).
constexpr std::chrono::seconds priorInterval{1};

/// Longer times are those of broken or suspended processes; no route waits for so long.
constexpr std::chrono::minutes maxDelay{1};

/// A million pairs of a computed token and an earlier one take 0.4 ms where a token takes 1/50 ms.
constexpr double tokensPerMillionPairs = 20.0;

/// Share of the memory that caches parts while requests run. The rest is for the prompts' own parts and the answers.
constexpr double cachedShare = 0.8;
constexpr double defaultCacheTokens = 400000.0; ///< As of an upstream with memory for 500,000 tokens.

double median(std::vector<double> &values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2.0;
}

} // namespace

void UpstreamModels::setUpstreams(const std::vector<Upstream> &listed)
{
    std::unordered_map<std::string, Model> former = std::exchange(this->models, {});
    this->models.reserve(listed.size());
    for (const Upstream &upstream : listed) {
        Model &model = this->models[upstream.id];
        const auto known = former.find(upstream.id);
        if (known != former.end() && known->second.incarnation == upstream.incarnation
            && known->second.service == upstream.service)
            model = std::move(known->second);
        model.service = upstream.service;
        model.incarnation = upstream.incarnation;
    }
}

void UpstreamModels::setMemory(std::map<std::string, double> tokensByService)
{
    this->memory = std::move(tokensByService);
}

double UpstreamModels::cacheTokens(const std::string &upstream) const
{
    const auto found = this->models.find(upstream);
    const auto known = found == this->models.end() ? this->memory.end() : this->memory.find(found->second.service);
    return known == this->memory.end() ? defaultCacheTokens : known->second * cachedShare;
}

void UpstreamModels::firstTokenObserved(const std::string &upstream,
                                        const FirstTokenQuery &atStart,
                                        std::chrono::milliseconds delay,
                                        Time now)
{
    const auto found = this->models.find(upstream);
    const double tokens = atStart.pendingTokens + atStart.tokensToCompute + atStart.requestsInProgress;
    const bool isPlausible = std::isfinite(tokens) && atStart.pendingTokens >= 0.0 && atStart.tokensToCompute >= 0.0
        && atStart.requestsInProgress >= 0.0 && delay >= std::chrono::milliseconds(0) && delay <= maxDelay;
    if (found == this->models.end() || !isPlausible) {
        ++this->totals.ignoredSamples;
        return;
    }
    ++this->totals.samples;
    Model &model = found->second;
    this->updatePrior(model.service, now);
    FirstTokenSample sample;
    sample.pendingTokens = atStart.pendingTokens;
    sample.ownTokens = atStart.tokensToCompute + attentionTokens(atStart.tokensToCompute, atStart.promptTokens);
    sample.requests = atStart.requestsInProgress;
    sample.delayMs = static_cast<double>(delay.count()) / slowdown(model, now);
    model.firstToken.observe(sample, this->priors[model.service].figures, now);
}

void UpstreamModels::updatePrior(const std::string &service, Time now)
{
    Prior &prior = this->priors[service];
    if (prior.updated && now - *prior.updated < priorInterval)
        return;
    prior.updated = now;
    std::vector<double> msPerToken;
    std::vector<double> msPerRequest;
    std::vector<double> fixedMs;
    for (const auto &[id, model] : this->models) {
        if (model.service != service || !model.firstToken.isMeasured())
            continue;
        const FirstTokenFigures figures = model.firstToken.figures(prior.figures, now);
        msPerToken.push_back(figures.msPerToken);
        msPerRequest.push_back(figures.msPerRequest);
        fixedMs.push_back(figures.fixedMs);
    }
    // The only measured upstream would become its own prior.
    if (msPerToken.size() < 2)
        return;
    prior.figures = {median(msPerToken), median(msPerRequest), median(fixedMs)};
}

void UpstreamModels::loadReported(const std::string &upstream, const LoadFigures &figures, Time now)
{
    const auto found = this->models.find(upstream);
    if (found == this->models.end())
        return;
    ++this->totals.loadReports;
    found->second.load = figures;
    found->second.loadTime = now;
}

double UpstreamModels::slowdown(const Model &model, Time now)
{
    if (!model.loadTime || !model.load.slowdown || !std::isfinite(*model.load.slowdown))
        return 1.0;
    const double fresh =
        std::clamp((slowdownEnd - (now - *model.loadTime)) / (slowdownEnd - slowdownValidity), 0.0, 1.0);
    return 1.0 + (std::clamp(*model.load.slowdown, minSlowdown, maxSlowdown) - 1.0) * fresh;
}

FirstTokenFigures UpstreamModels::usualFigures(const Model &model, Time now) const
{
    const auto prior = this->priors.find(model.service);
    return model.firstToken.figures(prior == this->priors.end() ? FirstTokenFigures() : prior->second.figures, now);
}

FirstTokenFigures UpstreamModels::figures(const std::string &upstream, Time now) const
{
    const auto found = this->models.find(upstream);
    if (found == this->models.end())
        return {};
    FirstTokenFigures figures = this->usualFigures(found->second, now);
    const double factor = slowdown(found->second, now);
    figures.msPerToken *= factor;
    figures.msPerRequest *= factor;
    figures.fixedMs *= factor;
    return figures;
}

FirstTokenEstimate UpstreamModels::firstToken(const std::string &upstream, const FirstTokenQuery &query, Time now) const
{
    const FirstTokenFigures figures = this->figures(upstream, now);
    const double tokens =
        query.pendingTokens + query.tokensToCompute + attentionTokens(query.tokensToCompute, query.promptTokens);
    const double delay =
        tokens * figures.msPerToken + query.requestsInProgress * figures.msPerRequest + figures.fixedMs;
    const auto found = this->models.find(upstream);
    const FirstTokenModel unknown;
    const double share = (found == this->models.end() ? unknown : found->second.firstToken).deviationShare();
    return {std::chrono::milliseconds(std::llround(delay)), std::chrono::milliseconds(std::llround(delay * share))};
}

double UpstreamModels::tokensPerMs(const std::string &upstream, Time now) const
{
    return 1.0 / this->figures(upstream, now).msPerToken;
}

std::optional<double> UpstreamModels::freeSlots(const std::string &upstream, Time now) const
{
    const auto found = this->models.find(upstream);
    if (found == this->models.end() || !found->second.loadTime || now - *found->second.loadTime > loadValidity
        || found->second.load.slots <= 0)
        return std::nullopt;
    const LoadFigures &load = found->second.load;
    return std::max(0, load.slots - load.running - load.waiting);
}

const UpstreamModels::Counts &UpstreamModels::counts() const
{
    return this->totals;
}

double UpstreamModels::attentionTokens(double tokensToCompute, double promptTokens)
{
    constexpr double million = 1e6;
    return std::max(0.0, tokensToCompute * (promptTokens - tokensToCompute / 2.0)) / million * tokensPerMillionPairs;
}

} // namespace hemlock
