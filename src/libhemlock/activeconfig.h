#pragma once

#include "configstore.h"

#include <optional>
#include <string>

namespace hemlock {

/// Holds the active configuration of one node. A version is only ever replaced by a newer one.
class ActiveConfig
{
public:
    enum class ApplyResult {
        Applied,
        NotNewer,
        Rejected, ///< Invalid; the active configuration stays. error() has the reason.
    };

    /// @p schema is the JSON schema of the merged document, schemas/document.json.
    explicit ActiveConfig(nlohmann::json schema);

    /// Validates a configuration from the store or a peer and makes it the active one if it is newer.
    ApplyResult applyIfNewer(const ConfigRecords &records);

    /// Sections that changed after @p version, for a peer that has this version: {"version", "commitId", "sections"},
    /// where "sections" maps names to {"revision", "commitId", "sha256", "record"}. Only {"version"} when there is
    /// nothing newer.
    nlohmann::json deltaSince(std::int64_t version) const;

    /// Applies the result of a peer's deltaSince() if it is newer. Throws nlohmann::json::exception when it is
    /// malformed.
    ApplyResult applyDeltaIfNewer(const nlohmann::json &delta);

    /// Active version; 0 before the first configuration.
    std::int64_t version() const;

    /// Manifest and records of the active configuration; nothing before the first one.
    const std::optional<ConfigRecords> &records() const;

    /// The merged document of the active configuration; empty before the first one.
    const Document &document() const;

    /// Why the last newer version was rejected; empty when it was applied.
    const std::string &error() const;

private:
    nlohmann::json schema;
    std::optional<ConfigRecords> current;
    Document mergedDocument;
    /// By section name, the version in which this node first saw the section's current revision.
    std::map<std::string, std::int64_t> changedAtVersion;
    std::string lastError;
};

} // namespace hemlock
