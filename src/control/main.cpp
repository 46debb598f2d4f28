#include "controlprocess.h"
#include "logger.h"
#include "settings.h"

#include <exception>
#include <iostream>
#include <string>

namespace {

constexpr int usageError = 2;

struct Options
{
    std::string settings;
    bool checksOnly = false;
    bool showsHelp = false;
    std::string error;
};

Options parseOptions(int argc, char **argv)
{
    Options options;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--check")
            options.checksOnly = true;
        else if (argument == "--help")
            options.showsHelp = true;
        else if (argument == "--settings" && i + 1 < argc)
            options.settings = argv[++i];
        else
            options.error = "unknown or incomplete option " + argument;
    }
    if (options.error.empty() && options.settings.empty() && !options.showsHelp)
        options.error = "--settings FILE is missing";
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string usage = "usage: hemlock-control --settings FILE [--check]\n";
    const Options options = parseOptions(argc, argv);
    if (options.showsHelp) {
        std::cout << usage;
        return 0;
    }
    if (!options.error.empty()) {
        std::cerr << options.error << "\n" << usage;
        return usageError;
    }
    try {
        const nlohmann::json settings = hemlock::loadSettings(options.settings, "control.json");
        if (options.checksOnly)
            return 0;
        hemlock::setupLogger("hemlock-control", settings.at("id"));
        hemlock::ControlProcess process(settings,
                                        hemlock::readJsonFile(hemlock::dataFile("schemas/document.json")),
                                        hemlock::readJsonFile(hemlock::dataFile("charts/upstream.json")));
        process.run();
    } catch (const std::exception &error) {
        std::cerr << "hemlock-control: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
