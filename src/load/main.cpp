#include "experiment.h"
#include "httpload.h"
#include "routingbench.h"
#include "settings.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

using namespace hemlock;

namespace {

int runExperimentCommand(const std::string &file, const ExperimentOptions &options, bool checkOnly, bool isStrict)
{
    const Scenario scenario = readScenario(file);
    if (checkOnly)
        return 0;
    const bool allTargetsMet = runExperiment(scenario, options, std::cout);
    return allTargetsMet || !isStrict ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Load generator and simulator of hemlockflow"};
    app.require_subcommand(1);

    std::string scenarioFile;
    ExperimentOptions options;
    bool checkOnly = false;
    bool isStrict = false;
    CLI::App *experimentCommand =
        app.add_subcommand("experiment", "Simulates a scenario in virtual time with each of its policies");
    experimentCommand->add_option("scenario", scenarioFile, "JSON file")->required();
    experimentCommand->add_option("--seeds", options.seeds, "Number of seeds")->check(CLI::PositiveNumber);
    experimentCommand->add_option("--first-seed", options.firstSeed, "First seed");
    experimentCommand->add_flag("--check", checkOnly, "Check the scenario file without running it");
    experimentCommand->add_flag("--strict", isStrict, "Exit with status 1 if a target is missed");

    std::vector<int> upstreams{1000, 4000, 12000};
    std::uint64_t seed = 1;
    CLI::App *routingCommand = app.add_subcommand("routing", "Measures the duration of routing decisions");
    routingCommand->add_option("--upstreams", upstreams, "Numbers of known upstreams");
    routingCommand->add_option("--seed", seed, "Seed");

    std::string loadFile;
    CLI::App *runCommand = app.add_subcommand("run", "Sends HTTP requests to each target and compares their latencies");
    runCommand->add_option("scenario", loadFile, "JSON file")->required();

    CLI11_PARSE(app, argc, argv);
    try {
        if (experimentCommand->parsed())
            return runExperimentCommand(scenarioFile, options, checkOnly, isStrict);
        if (runCommand->parsed())
            return runHttpLoad(loadFile, std::cout) ? 0 : 1;
        if (routingCommand->parsed())
            measureRouting(upstreams, seed, std::cout);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
