#include "metrics.h"

// GCC 12 wrongly reports the quantile's argument as uninitialised; it is set in the constructor of the next base class.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>

namespace hemlock {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array quantiles = {0.5, 0.95, 0.99};

/// Distribution of durations in seconds. The P-square method uses constant memory, whatever the number of samples.
class Distribution
{
public:
    void add(std::chrono::nanoseconds time)
    {
        const double seconds = std::chrono::duration<double>(time).count();
        if (this->count() < this->firstSamples.size())
            this->firstSamples[this->count()] = seconds;
        this->samples(seconds);
    }

    std::size_t count() const
    {
        return accumulators::count(this->samples);
    }

    double sum() const
    {
        return accumulators::sum(this->samples);
    }

    double quantile(double probability) const
    {
        if (this->count() <= this->firstSamples.size()) {
            auto sorted = this->firstSamples;
            std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(this->count()));
            return sorted[static_cast<std::size_t>(std::ceil(probability * static_cast<double>(this->count()))) - 1];
        }
        return accumulators::quantile(this->samples, accumulators::quantile_probability = probability);
    }

private:
    using Samples = accumulators::accumulator_set<double,
                                                  accumulators::stats<accumulators::tag::count,
                                                                      accumulators::tag::sum,
                                                                      accumulators::tag::extended_p_square_quantile>>;

    // The P-square method gives no result until each of its markers has a sample: two per quantile and three more.
    // Until then, quantiles are exact ones of these samples.
    std::array<double, 2 * quantiles.size() + 3> firstSamples{};
    Samples samples{accumulators::extended_p_square_probabilities = quantiles};
};

std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

std::string formatLabels(const MetricLabels &labels, const std::string &extraLabels = {})
{
    return "{service=\"" + escapeLabel(labels.service) + "\",client_account=\"" + escapeLabel(labels.clientAccount)
        + "\"" + extraLabels + "}";
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

void appendMetadata(std::string &text, const std::string &name, const std::string &type, const std::string &help)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendSample(std::string &text, const std::string &name, const std::string &labels, const std::string &value)
{
    text.append(name).append(labels).append(" ").append(value).append("\n");
}

} // namespace

class Metrics::Series
{
public:
    std::map<std::pair<Verdict, int>, std::uint64_t> requests;
    std::map<std::string, std::uint64_t> refusedRetries; ///< By what stood against them.
    std::uint64_t retries = 0;
    std::uint64_t tokens = 0;
    std::uint64_t recomputedTokens = 0;
    std::size_t queueLength = 0;
    Distribution firstTokenLatency;
    Distribution tokenGap;
};

class Metrics::ProcessSeries
{
public:
    Distribution eventLoopLag;
    std::map<std::string, std::pair<std::string, std::uint64_t>> totals; ///< Help and value by name.
};

Metrics::Metrics()
    : processSeries(std::make_unique<ProcessSeries>())
{
}

Metrics::~Metrics() = default;

Metrics::Series &Metrics::series(const MetricLabels &labels)
{
    auto &series = this->seriesByLabels[labels];
    if (!series)
        series = std::make_unique<Series>();
    return *series;
}

void Metrics::addRequest(const MetricLabels &labels, const RequestSample &sample)
{
    Series &series = this->series(labels);
    ++series.requests[{sample.verdict, sample.status}];
    series.tokens += sample.tokens;
    series.recomputedTokens += sample.recomputedTokens;
}

void Metrics::addRetry(const MetricLabels &labels)
{
    ++this->series(labels).retries;
}

void Metrics::addRefusedRetry(const MetricLabels &labels, const std::string &limit)
{
    ++this->series(labels).refusedRetries[limit];
}

void Metrics::addFirstTokenLatency(const MetricLabels &labels, std::chrono::nanoseconds latency)
{
    this->series(labels).firstTokenLatency.add(latency);
}

void Metrics::addTokenGap(const MetricLabels &labels, std::chrono::nanoseconds gap)
{
    this->series(labels).tokenGap.add(gap);
}

void Metrics::addEventLoopLag(std::chrono::nanoseconds lag)
{
    this->processSeries->eventLoopLag.add(lag);
}

void Metrics::setTotal(const std::string &name, const std::string &help, std::uint64_t total)
{
    this->processSeries->totals[name] = {help, total};
}

void Metrics::setQueueLength(const MetricLabels &labels, std::size_t requests)
{
    this->series(labels).queueLength = requests;
}

std::string Metrics::prometheusText() const
{
    std::string text;
    appendMetadata(text, "hemlock_requests_total", "counter", "Requests that ended, by verdict and HTTP status.");
    for (const auto &[labels, series] : this->seriesByLabels) {
        for (const auto &[outcome, count] : series->requests) {
            const std::string extraLabels = ",verdict=\"" + std::string(verdictName(outcome.first)) + "\",status=\""
                + std::to_string(outcome.second) + "\"";
            appendSample(text, "hemlock_requests_total", formatLabels(labels, extraLabels), std::to_string(count));
        }
    }
    const auto appendValues = [&](const std::string &name,
                                  const std::string &type,
                                  const std::string &help,
                                  const std::function<std::uint64_t(const Series &)> &value) {
        appendMetadata(text, name, type, help);
        for (const auto &[labels, series] : this->seriesByLabels)
            appendSample(text, name, formatLabels(labels), std::to_string(value(*series)));
    };
    appendValues("hemlock_tokens_total", "counter", "Generated tokens sent to callers.", [](const Series &series) {
        return series.tokens;
    });
    appendValues("hemlock_recomputed_tokens_total",
                 "counter",
                 "Tokens of prompts and replays that engines computed again.",
                 [](const Series &series) { return series.recomputedTokens; });
    appendValues("hemlock_queue_length", "gauge", "Requests that wait for their turn.", [](const Series &series) {
        return std::uint64_t{series.queueLength};
    });
    appendValues("hemlock_retries_total",
                 "counter",
                 "Attempts after the first of a request.",
                 [](const Series &series) { return series.retries; });
    appendMetadata(text, "hemlock_retries_refused_total", "counter", "Failed attempts that were not retried.");
    for (const auto &[labels, series] : this->seriesByLabels) {
        for (const auto &[limit, count] : series->refusedRetries)
            appendSample(text,
                         "hemlock_retries_refused_total",
                         formatLabels(labels, ",limit=\"" + limit + "\""),
                         std::to_string(count));
    }
    const auto appendSummary = [&text](const std::string &name,
                                       const Distribution &times,
                                       const std::function<std::string(const std::string &extraLabels)> &labels) {
        if (times.count() == 0)
            return;
        for (const double probability : quantiles) {
            const std::string extraLabels = "quantile=\"" + formatNumber(probability) + "\"";
            appendSample(text, name, labels(extraLabels), formatNumber(times.quantile(probability)));
        }
        appendSample(text, name + "_sum", labels({}), formatNumber(times.sum()));
        appendSample(text, name + "_count", labels({}), std::to_string(times.count()));
    };
    const auto appendSummaries = [&](const std::string &name,
                                     const std::string &help,
                                     const std::function<const Distribution &(const Series &)> &distribution) {
        appendMetadata(text, name, "summary", help);
        for (const auto &[labels, series] : this->seriesByLabels) {
            appendSummary(name, distribution(*series), [&labels = labels](const std::string &extraLabels) {
                return formatLabels(labels, extraLabels.empty() ? extraLabels : "," + extraLabels);
            });
        }
    };
    appendSummaries("hemlock_first_token_seconds",
                    "Time from a request's arrival to its first token.",
                    [](const Series &series) -> const Distribution & { return series.firstTokenLatency; });
    appendSummaries("hemlock_token_gap_seconds",
                    "Time between two tokens of a stream.",
                    [](const Series &series) -> const Distribution & { return series.tokenGap; });
    const std::string lagMetricName = "hemlock_loop_lateness_seconds";
    appendMetadata(text, lagMetricName, "summary", "How much later than asked for a timer of the process's loop ran.");
    appendSummary(lagMetricName, this->processSeries->eventLoopLag, [](const std::string &extraLabels) {
        return extraLabels.empty() ? extraLabels : "{" + extraLabels + "}";
    });
    for (const auto &[name, total] : this->processSeries->totals) {
        appendMetadata(text, name, "counter", total.first);
        appendSample(text, name, {}, std::to_string(total.second));
    }
    return text;
}

} // namespace hemlock
