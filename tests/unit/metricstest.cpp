#include "metrics.h"

#include <catch2/catch.hpp>

#include <regex>
#include <sstream>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class MetricsFixture
{
protected:
    /// Value of the sample whose name and labels are @p start, or an empty string when there is none.
    std::string value(const std::string &start) const
    {
        std::istringstream lines(this->metrics.prometheusText());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(start + " "))
                return line.substr(start.size() + 1);
        }
        return {};
    }

    Metrics metrics;
    const MetricLabels labels{"model", "account"};
};

const std::string labelText = R"({service="model",client_account="account"})";

} // namespace

// Guards against mixing up the counts of different accounts or verdicts.
TEST_CASE_METHOD(MetricsFixture,
                 "Metrics: requests of two accounts: are counted separately by account, verdict and status")
{
    this->metrics.addRequest(this->labels, {Verdict::Ran, 200, 10, 3});
    this->metrics.addRequest(this->labels, {Verdict::Ran, 200, 5, 1});
    this->metrics.addRequest(this->labels, {Verdict::NotRun, 503, 0, 0});
    this->metrics.addRequest({"model", "other"}, {Verdict::MayHaveRun, 502, 0, 0});
    const std::string start = R"(hemlock_requests_total{service="model",client_account=)";
    CHECK(this->value(start + R"("account",verdict="ran",status="200"})") == "2");
    CHECK(this->value(start + R"("account",verdict="not-run",status="503"})") == "1");
    CHECK(this->value(start + R"("other",verdict="may-have-run",status="502"})") == "1");
    CHECK(this->value("hemlock_tokens_total" + labelText) == "15");
    CHECK(this->value("hemlock_recomputed_tokens_total" + labelText) == "4");
}

TEST_CASE_METHOD(MetricsFixture, "Metrics: retries are allowed and refused: are counted by what stands against them")
{
    this->metrics.addRetry(this->labels);
    this->metrics.addRetry(this->labels);
    this->metrics.addRefusedRetry(this->labels, "budget");
    this->metrics.addRefusedRetry(this->labels, "kind");
    this->metrics.addRefusedRetry(this->labels, "budget");
    const std::string start = R"(hemlock_retries_refused_total{service="model",client_account="account",limit=)";
    CHECK(this->value("hemlock_retries_total" + labelText) == "2");
    CHECK(this->value(start + R"("budget"})") == "2");
    CHECK(this->value(start + R"("kind"})") == "1");
}

// Guards against quantiles with a wrong unit or probability.
TEST_CASE_METHOD(MetricsFixture, "Metrics: times from 1 to 1000 ms: quantiles are close to the exact values")
{
    for (int i = 0; i < 1000; ++i)
        this->metrics.addFirstTokenLatency(this->labels, std::chrono::milliseconds(1 + i * 7 % 1000));
    const std::string start = R"(hemlock_first_token_seconds{service="model",client_account="account",quantile=)";
    CHECK(std::stod(this->value(start + R"("0.5"})")) == Approx(0.5).margin(0.02));
    CHECK(std::stod(this->value(start + R"("0.95"})")) == Approx(0.95).margin(0.02));
    CHECK(std::stod(this->value(start + R"("0.99"})")) == Approx(0.99).margin(0.02));
    CHECK(this->value("hemlock_first_token_seconds_count" + labelText) == "1000");
    CHECK(std::stod(this->value("hemlock_first_token_seconds_sum" + labelText)) == Approx(500.5));
    CHECK(this->value("hemlock_token_gap_seconds_count" + labelText).empty());
}

// Guards against quantiles that are NaN when there are few samples.
TEST_CASE_METHOD(MetricsFixture, "Metrics: one sample: quantiles equal the sample")
{
    this->metrics.addTokenGap(this->labels, 40ms);
    for (const char *quantile : {"0.5", "0.95", "0.99"}) {
        const std::string name = R"(hemlock_token_gap_seconds{service="model",client_account="account",quantile=")";
        CHECK(std::stod(this->value(name + quantile + "\"}")) == Approx(0.04));
    }
}

// Guards against metrics text that a Prometheus server rejects as a whole because of special characters in one label.
TEST_CASE_METHOD(MetricsFixture, "Metrics: labels with quotes and line feeds: every line is valid")
{
    this->metrics.addRequest({"a\"b\\c\nd", "account"}, {Verdict::Ran, 200, 1, 0});
    this->metrics.addTokenGap({"a\"b\\c\nd", "account"}, 1ms);
    this->metrics.setQueueLength(this->labels, 3);
    CHECK(this->value("hemlock_queue_length" + labelText) == "3");
    const std::regex sample(R"(^[a-z_]+\{([a-z_]+="([^"\\]|\\["\\n])*",?)+\} [0-9.e+-]+$)");
    std::istringstream lines(this->metrics.prometheusText());
    for (std::string line; std::getline(lines, line);) {
        INFO(line);
        CHECK((line.starts_with("# ") || std::regex_match(line, sample)));
    }
}

TEST_CASE_METHOD(MetricsFixture, "Metrics: metrics of the process: have no service or client account label")
{
    this->metrics.addEventLoopLag(20ms);
    this->metrics.setTotal("hemlock_peer_sent_bytes_total", "Bytes sent to other entry VMs.", 1200);
    CHECK(this->value("hemlock_peer_sent_bytes_total") == "1200");
    CHECK(std::stod(this->value(R"(hemlock_loop_lateness_seconds{quantile="0.99"})")) == Approx(0.02));
    CHECK(this->value("hemlock_loop_lateness_seconds_count") == "1");
}
