#pragma once

#include "document.h"
#include "kvaccess.h"
#include "manifest.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A manifest together with the stored records of its sections.
struct ConfigRecords
{
    Manifest manifest;
    std::map<std::string, std::string> sections; ///< Stored records by section name; see decodeSectionRecord().

    /// Merges the sections into one document. Throws std::invalid_argument when a record is missing or does not match
    /// the checksum in the manifest.
    Document document() const;
};

/// Result of a read of the configuration.
struct ConfigRead
{
    KvStatus status = KvStatus::Unknown;
    std::optional<ConfigRecords> records; ///< Empty with Ok when the store holds no manifest or an invalid one.
    std::int64_t modRevision = 0; ///< Store revision of the manifest's last change; 0 when there is no manifest.
    std::string error;
};

/// New content of one section.
struct SectionEdit
{
    std::string name;
    nlohmann::json section;
    std::int64_t expectedRevision = 0; ///< Section revision that the edit is based on; 0 for a new section.
};

/// Edits of one or several sections that are committed together.
struct SectionCommit
{
    std::vector<SectionEdit> edits;
    std::string commitId; ///< Unique, so that a commit can be recognised in the store when the response to it was lost.
    std::string author;
    std::string time; ///< ISO 8601.
    bool createsConfiguration = false; ///< Succeeds only when the store holds no configuration yet.
};

enum class CommitResult {
    Committed,
    Conflict, ///< Another commit has changed the section since the revision that the edit is based on.
    Invalid, ///< The merged document or a section would be invalid.
    NotCommitted, ///< Nothing was changed: the store failed, or other commits came first too often.
    Unknown, ///< The response was lost, and the store could not be read afterwards to find out.
};

/// Outcome of ConfigStore::commit().
struct CommitOutcome
{
    CommitResult result = CommitResult::Unknown;
    std::int64_t version = 0; ///< Version of the manifest, with Committed.
    int attempts = 0; ///< Rounds of reading the store and trying to write.
    std::vector<DocumentProblem> problems; ///< Faults of the merged document, with Invalid.
    std::string error;
};

/// One revision of a section in the store.
struct SectionRevision
{
    std::int64_t revision = 0;
    std::string commitId;
    std::string author;
    std::string time; ///< ISO 8601.
    nlohmann::json section;
};

/// Decodes the record of a section. Throws std::invalid_argument when it is truncated or lacks a field.
SectionRevision decodeSectionRecord(std::string_view record);

/// Reads and commits the operators' configuration in the key-value store.
class ConfigStore
{
public:
    /// Needed by commit() only.
    struct Hooks
    {
        /// Calls @p next after @p delay.
        std::function<void(std::chrono::milliseconds delay, std::function<void()> next)> wait;
        std::function<double()> random; ///< Uniform in [0, 1).
    };

    ConfigStore(KvAccess kv, Hooks hooks);

    /// Reads the manifest, and the sections whose revision in the manifest is not the one in @p cached.
    void read(const std::optional<ConfigRecords> &cached, std::function<void(const ConfigRead &)> done);

    /// Reads the stored revisions of a section, the oldest first. The callback's error is that of the store or
    /// names a record that could not be decoded; the other revisions are passed nevertheless.
    void history(const std::string &section,
                 std::function<void(KvStatus, const std::vector<SectionRevision> &, const std::string &error)> done);

    /// Commits sections by compare-and-swap of the manifest, merged with concurrent commits of other sections.
    /// @p schema is the JSON schema of the merged document.
    void
    commit(const SectionCommit &commit, const nlohmann::json &schema, std::function<void(const CommitOutcome &)> done);

private:
    class Reader;
    class Committer;

    KvAccess kv;
    Hooks hooks;
};

/// Name for output, such as "not-committed".
std::string_view commitResultName(CommitResult result);

} // namespace hemlock
