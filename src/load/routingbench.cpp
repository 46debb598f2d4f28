#include "routingbench.h"

#include "outcome.h"
#include "router.h"
#include "traffic.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <ostream>

namespace hemlock {

namespace {

constexpr int zoneCount = 11;
constexpr int decisions = 4000;

std::vector<double> decisionTimes(const std::string &policy, int upstreams, int documentTokens, std::uint64_t seed)
{
    RandomEngine random(seed);
    CandidateSet candidates;
    for (int i = 0; i < upstreams; ++i)
        candidates.set({"vm-" + std::to_string(i), {"zone-" + std::to_string(i % zoneCount)}});
    const Router router(policy);
    std::deque<std::string> working;
    std::vector<double> microseconds;
    for (int i = 0; i < decisions; ++i) {
        TrafficRequest request;
        request.document = 1 + random() % 500;
        request.documentTokens = documentTokens;
        request.questionTokens = 30;
        request.seed = random();
        const RouteQuery query{"request", "model", promptText(request), {"zone-0"}, 5};
        const auto start = std::chrono::steady_clock::now();
        const RouteDecision decision = router.choose(query, candidates, random);
        const auto end = std::chrono::steady_clock::now();
        // The first decisions build the hash ring and warm the processor's caches.
        if (i >= decisions / 4)
            microseconds.push_back(std::chrono::duration<double, std::micro>(end - start).count());
        candidates.addInFlight(decision.upstream, 1);
        working.push_back(decision.upstream);
        constexpr std::size_t mostWorking = 2000;
        if (working.size() > mostWorking) {
            candidates.addInFlight(working.front(), -1);
            working.pop_front();
        }
    }
    return microseconds;
}

} // namespace

void measureRouting(const std::vector<int> &upstreams, std::uint64_t seed, std::ostream &lines)
{
    for (const char *policy : {"prefix-affinity", "least-in-flight"}) {
        for (const int documentTokens : {256, 3000}) {
            for (const int count : upstreams) {
                const auto times = decisionTimes(policy, count, documentTokens, seed);
                nlohmann::json json = {{"figure", "routingDecisionUs"},
                                       {"policy", policy},
                                       {"promptTokens", documentTokens},
                                       {"upstreams", count},
                                       {"seed", seed},
                                       {"median", quantile(times, 0.5)},
                                       {"p99", quantile(times, 0.99)}};
                lines << json.dump() << '\n';
            }
        }
    }
}

} // namespace hemlock
