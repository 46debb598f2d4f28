#include "manifest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;

std::string sectionPrefix(const std::string &name)
{
    return "config/sections/" + name + "/";
}

std::string sectionKey(const std::string &name, std::int64_t revision)
{
    return sectionPrefix(name) + std::to_string(revision);
}

std::string encodeManifest(const Manifest &manifest)
{
    json sections = json::object();
    for (const auto &[name, reference] : manifest.sections)
        sections[name] = {
            {"revision", reference.revision}, {"commitId", reference.commitId}, {"sha256", reference.sha256}};
    return json{{"version", manifest.version}, {"commitId", manifest.commitId}, {"sections", sections}}.dump();
}

Manifest decodeManifest(std::string_view text)
{
    try {
        const json value = json::parse(text);
        Manifest manifest;
        value.at("version").get_to(manifest.version);
        value.at("commitId").get_to(manifest.commitId);
        for (const auto &[name, reference] : value.at("sections").items()) {
            if (!isSectionName(name))
                throw std::invalid_argument("section name \"" + name + "\" is not valid");
            manifest.sections[name] = {reference.at("revision"), reference.at("commitId"), reference.at("sha256")};
        }
        if (manifest.version < 1)
            throw std::invalid_argument("version " + std::to_string(manifest.version) + " is below 1");
        return manifest;
    } catch (const std::exception &error) {
        throw std::invalid_argument("the configuration manifest cannot be used: " + std::string(error.what()));
    }
}

bool isSectionName(std::string_view name)
{
    constexpr std::size_t maxLength = 63;
    const auto isNameCharacter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= maxLength && name.front() != '-'
        && std::all_of(name.begin(), name.end(), isNameCharacter);
}

} // namespace hemlock
