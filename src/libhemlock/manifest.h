#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlock {

/// Reference from a manifest to one revision of a section.
struct SectionReference
{
    std::int64_t revision = 0;
    std::string commitId; ///< Commit that wrote this revision.
    std::string sha256; ///< Of the stored record, in lower-case hexadecimal; detects truncated records.

    bool operator==(const SectionReference &) const = default;
};

/// Version of the whole configuration and the revision of each section in it.
struct Manifest
{
    std::int64_t version = 0; ///< Grows by one with each commit.
    std::string commitId; ///< Unique identifier of the commit that wrote this version.
    std::map<std::string, SectionReference> sections;
};

/// Key of the manifest in the store.
inline constexpr std::string_view manifestKey = "config/manifest";

/// Prefix of the keys of all revisions of a section.
std::string sectionPrefix(const std::string &name);

/// Key of one revision of a section; it holds an immutable record.
std::string sectionKey(const std::string &name, std::int64_t revision);

/// Encodes the manifest as JSON.
std::string encodeManifest(const Manifest &manifest);

/// Throws std::invalid_argument with the reason when the text is not a valid manifest, for example when it is
/// truncated.
Manifest decodeManifest(std::string_view text);

/// Whether a name can be used for a section and in its key: 1 to 63 lower-case letters, digits and hyphens, of which
/// the first is not a hyphen.
bool isSectionName(std::string_view name);

} // namespace hemlock
