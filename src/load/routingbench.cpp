#include "routingbench.h"

#include "router.h"
#include "runresult.h"
#include "traffic.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <ostream>

namespace hemlock {

namespace {

constexpr int zoneCount = 11;
constexpr int decisionCount = 4000;

std::vector<double>
measureDecisionTimes(const std::string &policy, int upstreams, int documentTokens, std::uint64_t seed)
{
    RandomEngine random(seed);
    CandidateSet candidates;
    for (int i = 0; i < upstreams; ++i)
        candidates.set({"vm-" + std::to_string(i), {"zone-" + std::to_string(i % zoneCount)}});
    const Router router(policy);
    std::deque<std::string> inFlight;
    std::vector<double> microseconds;
    for (int i = 0; i < decisionCount; ++i) {
        TrafficRequest request;
        request.document = 1 + random() % 500;
        request.documentTokens = documentTokens;
        request.questionTokens = 30;
        request.seed = random();
        const RouteQuery query{"request", "model", promptText(request), {"zone-0"}, 5};
        const auto start = std::chrono::steady_clock::now();
        const RouteDecision decision = router.choose(query, candidates, random);
        const auto end = std::chrono::steady_clock::now();
        // The first quarter is not measured: it builds the hash ring and warms the CPU caches.
        if (i >= decisionCount / 4)
            microseconds.push_back(std::chrono::duration<double, std::micro>(end - start).count());
        candidates.addInFlight(decision.upstream, 1);
        inFlight.push_back(decision.upstream);
        constexpr std::size_t maxInFlight = 2000;
        if (inFlight.size() > maxInFlight) {
            candidates.addInFlight(inFlight.front(), -1);
            inFlight.pop_front();
        }
    }
    return microseconds;
}

} // namespace

void measureRouting(const std::vector<int> &upstreams, std::uint64_t seed, std::ostream &output)
{
    for (const char *policy : {"prefix-affinity", "least-in-flight"}) {
        for (const int documentTokens : {256, 3000}) {
            for (const int count : upstreams) {
                const auto times = measureDecisionTimes(policy, count, documentTokens, seed);
                nlohmann::json json = {{"figure", "routingDecisionUs"},
                                       {"policy", policy},
                                       {"promptTokens", documentTokens},
                                       {"upstreams", count},
                                       {"seed", seed},
                                       {"median", quantile(times, 0.5)},
                                       {"p99", quantile(times, 0.99)}};
                output << json.dump() << '\n';
            }
        }
    }
}

} // namespace hemlock
