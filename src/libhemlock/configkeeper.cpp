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
        this->current = records;
        this->joined = std::move(document);
        this->lastError.clear();
        return Offer::Applied;
    } catch (const std::invalid_argument &error) {
        this->lastError = error.what();
        return Offer::Refused;
    }
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
