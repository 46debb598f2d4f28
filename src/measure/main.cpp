#include "intentbenchmark.h"
#include "programoptions.h"
#include "settings.h"
#include "slotrecord.h"

#include <nlohmann/json.hpp>

#include <iostream>

using nlohmann::json;

namespace {

/// Prints the size of one commit for several numbers of open intents, without completions.
void printRecordSizes()
{
    for (const std::size_t count : {0, 10, 100, 1000, 5000}) {
        hemlock::SlotRecord record;
        record.owner = std::string(48, 'x');
        record.ownerAddress = "127.0.0.1:65535";
        record.commitId = std::string(32, 'x');
        for (std::size_t i = 0; i < count; ++i) {
            const std::string key = hemlock::hashKey("account", std::to_string(i));
            record.intents.push_back({key, std::string(32, '0'), hemlock::WallTime(std::chrono::hours(490000))});
        }
        std::cout << json{{"figure", "intents.record-bytes"},
                          {"openIntents", count},
                          {"value", hemlock::encodeSlotRecord(record).size()},
                          {"unit", "bytes"}}
                         .dump()
                  << "\n";
    }
}

void run(const json &settings)
{
    if (settings.at("mode") == "record-size") {
        printRecordSizes();
        return;
    }
    hemlock::IntentBenchmarkSettings benchmarkSettings;
    settings.at("store").get_to(benchmarkSettings.store);
    settings.at("mode").get_to(benchmarkSettings.mode);
    settings.at("rate").get_to(benchmarkSettings.rate);
    benchmarkSettings.segmentBytes = settings.value("segmentBytes", benchmarkSettings.segmentBytes);
    benchmarkSettings.seed = settings.value("seed", benchmarkSettings.seed);
    benchmarkSettings.duration =
        std::chrono::milliseconds(settings.value("durationMs", benchmarkSettings.duration.count()));
    benchmarkSettings.outageStart =
        std::chrono::milliseconds(settings.value("outageStartMs", benchmarkSettings.outageStart.count()));
    benchmarkSettings.outageDuration =
        std::chrono::milliseconds(settings.value("outageMs", benchmarkSettings.outageDuration.count()));
    for (const json &measurement : hemlock::IntentBenchmark(benchmarkSettings).run())
        std::cout << measurement.dump() << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto options = hemlock::parseProgramOptions(
        argc,
        argv,
        "Measures the latency and the store writes that the intent log adds to calls that must not be repeated",
        exitCode);
    if (!options)
        return exitCode;
    try {
        const json settings = hemlock::loadSettings(options->settings, "measure-intents.json");
        if (!options->validateOnly)
            run(settings);
    } catch (const std::exception &error) {
        std::cerr << "measure-intents: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
