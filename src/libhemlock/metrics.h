#pragma once

#include "verdict.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace hemlock {

/// Labels of a metric: service and client account.
struct MetricLabels
{
    std::string service;
    std::string clientAccount;

    bool operator<(const MetricLabels &other) const
    {
        return std::tie(this->service, this->clientAccount) < std::tie(other.service, other.clientAccount);
    }
};

/// Result of one request, as counted by Metrics.
struct RequestSample
{
    Verdict verdict = Verdict::NotRun;
    int status = 0;
    std::uint64_t tokens = 0; ///< Generated tokens sent to the caller.
    std::uint64_t recomputedTokens = 0; ///< Prompt tokens that engines computed again.
};

/// Counters, gauges and latency quantiles of one process, by service and client account.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void addRequest(const MetricLabels &labels, const RequestSample &sample);

    /// Counts a retry that was allowed.
    void addRetry(const MetricLabels &labels);

    /// Counts a failed attempt that was not retried. @p limit names what stood against the retry.
    void addRefusedRetry(const MetricLabels &labels, const std::string &limit);

    /// Time from the arrival of a request to its first token.
    void addFirstTokenLatency(const MetricLabels &labels, std::chrono::nanoseconds latency);

    /// Time between two consecutive tokens of a stream.
    void addTokenGap(const MetricLabels &labels, std::chrono::nanoseconds gap);

    /// Delay between the expiry of a timer and its handler's run on the process's event loop.
    void addEventLoopLag(std::chrono::nanoseconds lag);

    /// Sets a counter that has no labels to its total since process start. @p name is a Prometheus metric name and @p
    /// help a one-sentence description.
    void setTotal(const std::string &name, const std::string &help, std::uint64_t total);

    void setQueueLength(const MetricLabels &labels, std::size_t requests);

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    class Series;
    class ProcessSeries;

    Series &series(const MetricLabels &labels);

    std::map<MetricLabels, std::unique_ptr<Series>> seriesByLabels;
    std::unique_ptr<ProcessSeries> processSeries;
};

} // namespace hemlock
