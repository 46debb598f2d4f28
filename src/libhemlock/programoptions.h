#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace hemlock {

/// Command line of a program that reads its settings from one file.
struct ProgramOptions
{
    std::filesystem::path settings; ///< Path of the settings file.
    bool validateOnly = false; ///< Validate the settings and exit.
};

/// Parses --settings FILE and --check. Returns nothing when the program should exit with @p exitCode, for example after
/// --help or an invalid option.
std::optional<ProgramOptions>
parseProgramOptions(int argc, const char *const *argv, const std::string &description, int &exitCode);

} // namespace hemlock
