#include "settings.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <cstdlib>
#include <fstream>

namespace hemlock {

namespace {

constexpr std::size_t maxShownValueBytes = 80;

/// Converts valijson's error context, such as <root>["a"][0], to a JSON pointer, such as /a/0.
std::string toPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &token : context) {
        if (token.size() < 2 || token.front() != '[')
            continue;
        std::string name = token.substr(1, token.size() - 2);
        if (name.size() >= 2 && name.front() == '"')
            name = name.substr(1, name.size() - 2);
        pointer += "/" + name;
    }
    return pointer;
}

std::string describeValue(const nlohmann::json &document, const std::string &pointer)
{
    const nlohmann::json::json_pointer path(pointer);
    if (!document.contains(path))
        return "nothing";
    std::string text = document.at(path).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxShownValueBytes)
        text = text.substr(0, maxShownValueBytes) + "...";
    return text;
}

} // namespace

std::filesystem::path dataFilePath(const std::string &name)
{
    if (const char *directory = std::getenv("HEMLOCK_DATA_DIR"))
        return std::filesystem::path(directory) / name;
    const auto program = std::filesystem::read_symlink("/proc/self/exe");
    return program.parent_path().parent_path() / "share" / "hemlockflow" / name;
}

nlohmann::json readJsonFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    if (!stream)
        throw SettingsError(file.string() + ": the file cannot be read");
    try {
        return nlohmann::json::parse(stream);
    } catch (const nlohmann::json::parse_error &error) {
        throw SettingsError(file.string() + ": " + error.what());
    }
}

std::vector<SettingsProblem> checkSchema(const nlohmann::json &value, const nlohmann::json &schema)
{
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), parsed);
    valijson::Validator validator;
    valijson::ValidationResults results;
    std::vector<SettingsProblem> problems;
    if (validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(value), &results))
        return problems;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        const std::string pointer = toPointer(error.context);
        problems.push_back({pointer, describeValue(value, pointer), error.description});
    }
    return problems;
}

std::string formatProblems(const std::vector<SettingsProblem> &problems)
{
    std::string text;
    for (const SettingsProblem &problem : problems) {
        if (!text.empty())
            text += "\n";
        text += (problem.pointer.empty() ? "/" : problem.pointer) + ": found " + problem.found + ": " + problem.allowed;
    }
    return text;
}

nlohmann::json loadSettings(const std::filesystem::path &file, const std::string &schema)
{
    nlohmann::json settings = readJsonFile(file);
    const auto problems = checkSchema(settings, readJsonFile(dataFilePath("schemas/" + schema)));
    if (!problems.empty())
        throw SettingsError(file.string() + ":\n" + formatProblems(problems));
    return settings;
}

} // namespace hemlock
