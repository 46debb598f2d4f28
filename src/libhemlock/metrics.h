#pragma once

#include "verdict.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace hemlock {

/// Service and client account that a figure belongs to.
struct MetricLabels
{
    std::string service;
    std::string clientAccount;

    bool operator<(const MetricLabels &other) const
    {
        return std::tie(this->service, this->clientAccount) < std::tie(other.service, other.clientAccount);
    }
};

/// How a request ended.
struct RequestSample
{
    Verdict verdict = Verdict::NotRun;
    int status = 0;
    std::uint64_t tokens = 0; ///< Generated and sent.
    std::uint64_t recomputedTokens = 0; ///< Of the prompt, computed again by engines.
};

/// Counters and latency quantiles of one process, by service and client account.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void addRequest(const MetricLabels &labels, const RequestSample &sample);

    /// Time from the arrival of a request to its first token.
    void addFirstTokenLatency(const MetricLabels &labels, std::chrono::nanoseconds latency);

    /// Time between two tokens of a stream.
    void addTokenGap(const MetricLabels &labels, std::chrono::nanoseconds gap);

    /// How much later than asked for a timer of the process's loop ran.
    void addEventLoopLag(std::chrono::nanoseconds lag);

    /// A total since the start of the process. Names as in the Prometheus format; @p help is one sentence.
    void setTotal(const std::string &name, const std::string &help, std::uint64_t total);

    void setQueueLength(const MetricLabels &labels, std::size_t requests);

    /// All figures in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    class Series;
    class ProcessSeries;

    Series &series(const MetricLabels &labels);

    std::map<MetricLabels, std::unique_ptr<Series>> seriesByLabels;
    std::unique_ptr<ProcessSeries> processSeries;
};

} // namespace hemlock
