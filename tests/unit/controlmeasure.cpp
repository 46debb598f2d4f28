#include "controlfleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace hemlock;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A simulated fleet and the number of seeds to run it with.
struct FleetSize
{
    int nodes;
    int zones;
    int vmsPerZone;
    unsigned seeds;
    std::chrono::milliseconds tick;
};

/// Traffic per second since the last reset: bytes of a VM (mean and maximum) and calls of all VMs together.
struct Traffic
{
    double meanBytes = 0;
    double maxBytes = 0;
    double storeCalls = 0;
    double cloudCalls = 0;
};

class ControlMeasurement
{
protected:
    void write(const std::string &metric, const FleetSize &size, unsigned seed, const json &values)
    {
        const char *folder = std::getenv("HEMLOCK_MEASURE_DIR");
        const std::filesystem::path target = folder == nullptr ? "build/measure" : folder;
        std::filesystem::create_directories(target);
        json line = {{"figure", metric},
                     {"kind", "simulated"},
                     {"nodes", size.nodes},
                     {"zones", size.zones},
                     {"upstreams", size.zones * size.vmsPerZone},
                     {"seed", seed}};
        line.update(values);
        std::ofstream(target / "control-simulated.jsonl", std::ios::app) << line.dump() << "\n";
    }

    static void resetTraffic(ControlFleet &fleet)
    {
        for (auto &[id, vm] : fleet.vms)
            vm.bytesSent = vm.bytesReceived = vm.storeCalls = vm.cloudCalls = 0;
    }

    static Traffic traffic(const ControlFleet &fleet, std::chrono::seconds duration)
    {
        Traffic sum;
        const auto seconds = static_cast<double>(duration.count());
        for (const auto &[id, vm] : fleet.vms) {
            const double bytes = static_cast<double>(vm.bytesSent + vm.bytesReceived) / seconds;
            sum.meanBytes += bytes / static_cast<double>(fleet.vms.size());
            sum.maxBytes = std::max(sum.maxBytes, bytes);
            sum.storeCalls += vm.storeCalls / seconds;
            sum.cloudCalls += vm.cloudCalls / seconds;
        }
        return sum;
    }

    static double millisecondsOf(ControlFleet::TimePoint start, ControlFleet::TimePoint end)
    {
        return std::chrono::duration<double, std::milli>(end - start).count();
    }

    void measure(const FleetSize &size, unsigned seed)
    {
        ControlFleet fleet({size.nodes, size.zones, size.vmsPerZone, seed, 3ms, size.tick});
        REQUIRE(fleet.runUntil(
            [&] {
                return std::all_of(fleet.vms.begin(), fleet.vms.end(), [&](const auto &item) {
                    return item.second.applied.peers.size() + 1 == fleet.vms.size();
                });
            },
            300s));
        fleet.run(30s);
        this->measureIdleTraffic(fleet, size, seed);
        this->measureChanges(fleet, size, seed);
        this->measureLeaving(fleet, size, seed);
    }

    void measureIdleTraffic(ControlFleet &fleet, const FleetSize &size, unsigned seed)
    {
        constexpr std::chrono::seconds duration{30};
        resetTraffic(fleet);
        fleet.run(duration);
        const Traffic sum = traffic(fleet, duration);
        this->write("control-traffic-quiet",
                    size,
                    seed,
                    {{"bytesPerSecondPerNodeMean", sum.meanBytes},
                     {"bytesPerSecondPerNodeMax", sum.maxBytes},
                     {"storeCallsPerSecondPerNode", sum.storeCalls / size.nodes},
                     {"storeCallsPerSecondFleet", sum.storeCalls},
                     {"cloudCallsPerSecondFleet", sum.cloudCalls}});
    }

    /// Commits a change every 1.27 s, which corresponds to 68,000 changes a day.
    void measureChanges(ControlFleet &fleet, const FleetSize &size, unsigned seed)
    {
        constexpr int changes = 10;
        constexpr std::chrono::milliseconds interval{1270};
        resetTraffic(fleet);
        const auto begin = fleet.now;
        json times = json::array();
        for (int i = 0; i < changes; ++i) {
            const json section = {{"team", "models"}, {"services", {{{"id", "chat"}, {"kind", "model"}}}}};
            const auto start = fleet.now;
            const CommitOutcome outcome = fleet.commit("models", section);
            REQUIRE(outcome.result == CommitResult::Committed);
            REQUIRE(fleet.runUntil([&] { return fleet.isConfigActive(outcome.version); }, 60s));
            times.push_back(millisecondsOf(start, fleet.now));
            fleet.run(
                std::max(0ms, interval - std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now - start)));
        }
        const Traffic sum = traffic(fleet, std::chrono::duration_cast<std::chrono::seconds>(fleet.now - begin));
        this->write("control-configuration-in-force",
                    size,
                    seed,
                    {{"milliseconds", times},
                     {"bytesPerSecondPerNodeMean", sum.meanBytes},
                     {"bytesPerSecondPerNodeMax", sum.maxBytes},
                     {"storeCallsPerSecondFleet", sum.storeCalls}});
    }

    void measureLeaving(ControlFleet &fleet, const FleetSize &size, unsigned seed)
    {
        json times = json::array();
        for (int i = 0; i < 3; ++i) {
            const std::string upstream = "worker-" + std::to_string(i) + "-0";
            REQUIRE(fleet.runUntil([&] { return fleet.isServing(upstream); }, 60s));
            fleet.addNotice(upstream, 60s);
            const auto start = fleet.now;
            REQUIRE(fleet.runUntil([&] { return fleet.isUnused(upstream); }, 60s));
            times.push_back(millisecondsOf(start, fleet.now));
        }
        this->write("control-leaving-out-of-use", size, seed, {{"milliseconds", times}});
    }
};

} // namespace

// Run by scripts/measure-control. Hidden from the normal test run, since tests do not assert durations.
TEST_CASE_METHOD(ControlMeasurement,
                 "Measurement: fleets of control nodes in simulated time: figures are written",
                 "[.measure-control]")
{
    for (const FleetSize &size : {FleetSize{6, 4, 3, 5, 20ms},
                                  FleetSize{48, 11, 4, 3, 20ms},
                                  FleetSize{150, 11, 8, 1, 50ms},
                                  FleetSize{350, 11, 12, 1, 100ms}}) {
        for (unsigned seed = 1; seed <= size.seeds; ++seed)
            this->measure(size, seed);
    }
}
