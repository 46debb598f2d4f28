#pragma once

#include <nlohmann/json.hpp>

#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

namespace hemlock {

/// One fault of a settings file or configuration document.
struct SettingsProblem
{
    std::string pointer; ///< JSON pointer to the faulty value, such as "/listen/port".
    std::string found; ///< The faulty value, shortened.
    std::string allowed; ///< What the schema allows there.
};

/// Thrown when a settings file cannot be used; the message lists all problems, one per line.
class SettingsError : public std::runtime_error
{
public:
    explicit SettingsError(const std::string &message)
        : std::runtime_error(message)
    {
    }
};

/// Path of a data file that is installed with the programs, such as "schemas/entry.json" or "charts/upstream.json". The
/// environment variable HEMLOCK_DATA_DIR overrides the directory.
std::filesystem::path dataFilePath(const std::string &name);

/// Reads a JSON file. Throws SettingsError when it cannot be read, or with the position of a syntax error.
nlohmann::json readJsonFile(const std::filesystem::path &file);

/// Checks a value against a JSON schema (draft 7); unknown fields count as problems where the schema forbids them.
std::vector<SettingsProblem> checkSchema(const nlohmann::json &value, const nlohmann::json &schema);

/// Lists problems, one per line: pointer, what was found, what is allowed.
std::string formatProblems(const std::vector<SettingsProblem> &problems);

/// Reads a settings file and checks it against the file @p schema in the directory schemas. Throws SettingsError.
nlohmann::json loadSettings(const std::filesystem::path &file, const std::string &schema);

} // namespace hemlock
