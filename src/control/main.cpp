#include "controlprocess.h"
#include "logger.h"
#include "programoptions.h"
#include "settings.h"

#include <iostream>

namespace {

void run(const nlohmann::json &settings)
{
    hemlock::ControlProcess process(settings,
                                    hemlock::readJsonFile(hemlock::dataFilePath("schemas/document.json")),
                                    hemlock::readJsonFile(hemlock::dataFilePath("charts/upstream.json")));
    process.run();
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto options = hemlock::parseProgramOptions(
        argc, argv, "Membership, configuration, placement and reclaims for one entry VM", exitCode);
    if (!options)
        return exitCode;
    try {
        const nlohmann::json settings = hemlock::loadSettings(options->settings, "control.json");
        hemlock::setupLogger("hemlock-control", settings.at("id"));
        if (!options->validateOnly)
            run(settings);
    } catch (const std::exception &error) {
        std::cerr << "hemlock-control: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
