#pragma once

#include "configstore.h"

#include <optional>
#include <string>

namespace hemlock {

/// Holds the configuration that is in force on one node; it never goes back to an older one.
class ActiveConfig
{
public:
    enum class ApplyResult {
        Applied,
        NotNewer,
        Rejected, ///< Faulty; the configuration in force stays.
    };

    explicit ActiveConfig(nlohmann::json schema);

    /// Offers a configuration that the store or a peer holds.
    ApplyResult applyIfNewer(const ConfigRecords &records);

    /// The sections that changed after @p version, as an answer to a peer: {"version","commitId","sections"}.
    nlohmann::json deltaSince(std::int64_t version) const;

    /// Offers what a peer answered with deltaSince().
    ApplyResult applyDeltaIfNewer(const nlohmann::json &delta);

    /// Version in force; 0 before the first configuration.
    std::int64_t version() const;

    /// The configuration in force, or nothing before the first one.
    const std::optional<ConfigRecords> &records() const;
    const Document &document() const;

    /// Why the last offer was refused.
    const std::string &error() const;

private:
    nlohmann::json schema;
    std::optional<ConfigRecords> current;
    Document mergedDocument;
    std::map<std::string, std::int64_t> changedAtVersion; ///< Version at which this node saw the section change.
    std::string lastError;
};

} // namespace hemlock
