#include "httpload.h"

#include "eventloop.h"
#include "httpclient.h"
#include "settings.h"
#include "traffic.h"

#include <asio.hpp>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

namespace {

namespace acc = boost::accumulators;
using Json = nlohmann::json;
using Quantiles = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile>>;
using Clock = std::chrono::steady_clock;

const std::vector<double> &probabilities()
{
    static const std::vector<double> values{0.5, 0.95, 0.99};
    return values;
}

Quantiles makeQuantiles()
{
    return Quantiles(acc::extended_p_square_probabilities = probabilities());
}

struct Target
{
    Json json;
    Quantiles firstByte = makeQuantiles();
    Quantiles total = makeQuantiles();
    int sent = 0;
    int failed = 0;

    double quantileMs(const Quantiles &quantiles, double probability) const
    {
        return acc::quantile(quantiles, acc::quantile_probability = probability);
    }
};

/// Sends requests with exponentially distributed intervals and collects the latencies of each target.
class HttpLoad
{
public:
    explicit HttpLoad(const Json &json)
        : json(json)
        , random(json.value("seed", std::uint64_t{1}))
        , client(this->loop)
        , timer(this->loop)
    {
        for (const Json &target : json.at("targets"))
            this->targets.push_back({target});
    }

    bool run(std::ostream &output)
    {
        this->end =
            Clock::now() + std::chrono::milliseconds(static_cast<int>(json.at("durationS").get<double>() * 1e3));
        this->nextArrival = Clock::now();
        this->scheduleArrival();
        this->loop.run();
        int failures = 0;
        for (const Target &target : this->targets) {
            output << this->targetJson(target).dump() << '\n';
            failures += target.failed;
        }
        output << this->addedLatencyJson().dump() << '\n';
        return failures == 0;
    }

private:
    void scheduleArrival()
    {
        std::exponential_distribution<double> gap(this->json.at("ratePerS").get<double>());
        this->nextArrival += fromSeconds(gap(this->random));
        if (this->nextArrival > this->end)
            return;
        this->timer.expires_at(this->nextArrival);
        this->timer.async_wait([this](const asio::error_code &error) {
            if (error)
                return;
            const std::uint64_t arrival = this->random();
            for (std::size_t i = 0; i < this->targets.size(); ++i)
                this->send(this->targets[(arrival + i) % this->targets.size()], arrival);
            this->scheduleArrival();
        });
    }

    void send(Target &target, std::uint64_t arrival)
    {
        const Json &requests = target.json.at("requests");
        const Json &request = requests[(arrival >> 8U) % requests.size()];
        HttpCall call;
        call.method = request.value("method", "POST");
        const Json &addresses = target.json.at("addresses");
        call.url = "http://" + addresses[(arrival >> 16U) % addresses.size()].get<std::string>()
            + request.at("path").get<std::string>();
        const Json headers = target.json.value("headers", Json::object());
        for (const auto &[name, value] : headers.items())
            call.headers.add(name, value.get<std::string>());
        const std::string id = "load-" + std::to_string(arrival) + "-" + std::to_string(++target.sent);
        if (request.contains("idHeader"))
            call.headers.add(request["idHeader"].get<std::string>(), id);
        Json body = request.value("body", Json());
        if (request.contains("promptTokens")) {
            TrafficRequest promptSource;
            promptSource.seed = arrival;
            promptSource.questionTokens = request["promptTokens"];
            body["prompt"] = promptText(promptSource);
        }
        if (request.contains("idField"))
            body[request["idField"].get<std::string>()] = id;
        if (!body.is_null()) {
            call.body = body.dump();
            call.headers.add("Content-Type", "application/json");
        }
        const auto start = Clock::now();
        auto firstByte = std::make_shared<double>(-1.0);
        const auto elapsedMs = [start] { return toSeconds(Clock::now() - start) * 1e3; };
        HttpCallHooks hooks;
        hooks.data = [firstByte, elapsedMs](std::string_view) {
            if (*firstByte < 0.0)
                *firstByte = elapsedMs();
        };
        hooks.done = [&target, firstByte, elapsedMs](const HttpOutcome &outcome) {
            constexpr int firstErrorStatus = 400;
            if (!outcome.isComplete() || outcome.status >= firstErrorStatus) {
                ++target.failed;
                return;
            }
            const double totalMs = elapsedMs();
            target.firstByte(*firstByte < 0.0 ? totalMs : *firstByte);
            target.total(totalMs);
        };
        this->client.start(std::move(call), std::move(hooks));
    }

    Json targetJson(const Target &target) const
    {
        Json line = {{"target", target.json.value("name", "")}, {"sent", target.sent}, {"failed", target.failed}};
        for (const double probability : probabilities()) {
            const std::string suffix = "P" + std::to_string(std::lround(probability * 100.0)) + "Ms";
            line["firstByte" + suffix] = target.quantileMs(target.firstByte, probability);
            line["whole" + suffix] = target.quantileMs(target.total, probability);
        }
        return line;
    }

    Json addedLatencyJson() const
    {
        Json line = {{"figure", "addedLatency"}, {"seed", this->json.value("seed", 1)}};
        const Json measured = this->targetJson(this->targets.front());
        const Json direct = this->targetJson(this->targets.back());
        for (const char *name : {"firstByteP50Ms", "firstByteP99Ms", "wholeP50Ms", "wholeP99Ms"})
            line[name] = measured[name].get<double>() - direct[name].get<double>();
        return line;
    }

    const Json &json;
    std::mt19937_64 random;
    asio::io_context loop;
    HttpClient client;
    asio::steady_timer timer;
    std::vector<Target> targets;
    Clock::time_point end;
    Clock::time_point nextArrival;
};

} // namespace

bool runHttpLoad(const std::filesystem::path &file, std::ostream &output)
{
    const Json json = readJsonFile(file);
    try {
        if (json.at("targets").empty())
            throw SettingsError("\"targets\" must not be empty");
        return HttpLoad(json).run(output);
    } catch (const Json::exception &error) {
        throw SettingsError(file.string() + ": " + error.what());
    }
}

} // namespace hemlock
