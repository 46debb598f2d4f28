#include "activeconfig.h"

#include <stdexcept>

namespace hemlock {

ActiveConfig::ActiveConfig(nlohmann::json schema)
    : schema(std::move(schema))
{
}

ActiveConfig::ApplyResult ActiveConfig::applyIfNewer(const ConfigRecords &records)
{
    if (records.manifest.version <= this->version())
        return ApplyResult::NotNewer;
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
                this->changedAtVersion[name] = records.manifest.version;
        }
        this->current = records;
        this->mergedDocument = std::move(document);
        this->lastError.clear();
        return ApplyResult::Applied;
    } catch (const std::invalid_argument &error) {
        this->lastError = error.what();
        return ApplyResult::Rejected;
    }
}

nlohmann::json ActiveConfig::deltaSince(std::int64_t version) const
{
    if (!this->current || this->current->manifest.version <= version)
        return {{"version", this->version()}};
    const Manifest &manifest = this->current->manifest;
    nlohmann::json sections = nlohmann::json::object();
    for (const auto &[name, reference] : manifest.sections) {
        if (this->changedAtVersion.at(name) <= version)
            continue;
        sections[name] = {{"revision", reference.revision},
                          {"commitId", reference.commitId},
                          {"sha256", reference.sha256},
                          {"record", this->current->sections.at(name)}};
    }
    return {{"version", manifest.version}, {"commitId", manifest.commitId}, {"sections", sections}};
}

ActiveConfig::ApplyResult ActiveConfig::applyDeltaIfNewer(const nlohmann::json &delta)
{
    if (delta.at("version").get<std::int64_t>() <= this->version())
        return ApplyResult::NotNewer;
    ConfigRecords records = this->current.value_or(ConfigRecords());
    delta.at("version").get_to(records.manifest.version);
    delta.at("commitId").get_to(records.manifest.commitId);
    for (const auto &[name, section] : delta.at("sections").items()) {
        const SectionReference reference{section.at("revision"), section.at("commitId"), section.at("sha256")};
        const auto known = records.manifest.sections.find(name);
        // This node may have applied a newer version since its request; a section must not return to an older revision.
        if (known != records.manifest.sections.end() && known->second.revision >= reference.revision)
            continue;
        records.manifest.sections[name] = reference;
        records.sections[name] = section.at("record");
    }
    return this->applyIfNewer(records);
}

std::int64_t ActiveConfig::version() const
{
    return this->current ? this->current->manifest.version : 0;
}

const std::optional<ConfigRecords> &ActiveConfig::records() const
{
    return this->current;
}

const Document &ActiveConfig::document() const
{
    return this->mergedDocument;
}

const std::string &ActiveConfig::error() const
{
    return this->lastError;
}

} // namespace hemlock
