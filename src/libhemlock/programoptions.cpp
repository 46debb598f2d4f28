#include "programoptions.h"

#include <CLI/CLI.hpp>

namespace hemlock {

std::optional<ProgramOptions>
parseProgramOptions(int argc, const char *const *argv, const std::string &description, int &exitCode)
{
    ProgramOptions options;
    CLI::App app(description);
    app.add_option("--settings", options.settings, "settings file (JSON)")->required();
    app.add_flag("--check", options.validateOnly, "validate the settings file and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        exitCode = app.exit(error);
        return std::nullopt;
    }
    return options;
}

} // namespace hemlock
