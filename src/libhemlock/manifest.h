#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlock {

/// The revision of a section that a manifest names.
struct SectionReference
{
    std::int64_t revision = 0;
    std::string commitId; ///< Commit that wrote this revision.
    std::string sha256; ///< Of the stored record, so that a truncated one is found out.

    bool operator==(const SectionReference &) const = default;
};

/// Names the version of the whole configuration and the revision of each section.
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

std::string encodeManifest(const Manifest &manifest);

/// Throws std::invalid_argument with the reason when the text is no manifest, for example when it is cut short.
Manifest decodeManifest(std::string_view text);

/// Section name, for example in the path of a key: lower-case letters, digits and hyphens, 1 to 63 of them.
bool isSectionName(std::string_view name);

} // namespace hemlock
