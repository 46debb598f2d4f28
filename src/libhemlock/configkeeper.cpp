#include "configkeeper.h"

#include <stdexcept>

namespace hemlock {

ConfigKeeper::ConfigKeeper(nlohmann::json schema)
    : schema(std::move(schema))
{
}

ConfigKeeper::Offer ConfigKeeper::offer(const ConfigRecords &records)
{
    if (records.manifest.version <= this->version())
        return Offer::NotNewer;
    try {
        Document document = records.document();
        const auto problems = document.check(this->schema);
        if (!problems.empty())
            throw std::invalid_argument("configuration version " + std::to_string(records.manifest.version)
                                        + " is invalid:\n" + formatProblems(problems));
        for (const auto &[name, reference] : records.manifest.sections) {
            const bool isSame = this->current && this->current->manifest.sections.contains(name)
                && this->current->manifest.sections.at(name) == reference;
            if (!isSame)
                this->changedAt[name] = records.manifest.version;
        }
        this->current = records;
        this->joined = std::move(document);
        this->lastError.clear();
        return Offer::Applied;
    } catch (const std::invalid_argument &error) {
        this->lastError = error.what();
        return Offer::Refused;
    }
}

nlohmann::json ConfigKeeper::deltaSince(std::int64_t version) const
{
    if (!this->current || this->current->manifest.version <= version)
        return {{"version", this->version()}};
    const Manifest &manifest = this->current->manifest;
    nlohmann::json sections = nlohmann::json::object();
    for (const auto &[name, reference] : manifest.sections) {
        if (this->changedAt.at(name) <= version)
            continue;
        sections[name] = {{"revision", reference.revision},
                          {"commitId", reference.commitId},
                          {"sha256", reference.sha256},
                          {"record", this->current->sections.at(name)}};
    }
    return {{"version", manifest.version}, {"commitId", manifest.commitId}, {"sections", sections}};
}

ConfigKeeper::Offer ConfigKeeper::offerDelta(const nlohmann::json &delta)
{
    if (delta.at("version").get<std::int64_t>() <= this->version())
        return Offer::NotNewer;
    ConfigRecords records = this->current.value_or(ConfigRecords());
    delta.at("version").get_to(records.manifest.version);
    delta.at("commitId").get_to(records.manifest.commitId);
    for (const auto &[name, section] : delta.at("sections").items()) {
        const SectionReference reference{section.at("revision"), section.at("commitId"), section.at("sha256")};
        const auto known = records.manifest.sections.find(name);
        // This node may have moved on since it asked; sections never go back.
        if (known != records.manifest.sections.end() && known->second.revision >= reference.revision)
            continue;
        records.manifest.sections[name] = reference;
        records.sections[name] = section.at("record");
    }
    return this->offer(records);
}

std::int64_t ConfigKeeper::version() const
{
    return this->current ? this->current->manifest.version : 0;
}

const std::optional<ConfigRecords> &ConfigKeeper::records() const
{
    return this->current;
}

const Document &ConfigKeeper::document() const
{
    return this->joined;
}

const std::string &ConfigKeeper::error() const
{
    return this->lastError;
}

} // namespace hemlock
