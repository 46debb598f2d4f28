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
    std::map<std::string, std::string> sections; ///< Record by section name, as stored.

    /// Throws std::invalid_argument when a record is missing, truncated or altered.
    Document document() const;
};

struct ConfigRead
{
    KvStatus status = KvStatus::Unknown;
    std::optional<ConfigRecords> records; ///< Empty with Ok when the store holds no configuration or a faulty one.
    std::int64_t modRevision = 0; ///< Of the manifest; 0 when there is none.
    std::string error;
};

/// Change of one section.
struct SectionEdit
{
    std::string name;
    nlohmann::json section;
    std::int64_t expectedRevision = 0; ///< Revision that the editor started from; 0 for a new section.
};

struct SectionCommit
{
    std::vector<SectionEdit> edits;
    std::string commitId; ///< Unique, so that a commit whose answer was lost can be recognised.
    std::string author;
    std::string time; ///< ISO 8601.
    bool createsConfiguration = false; ///< Succeeds only when the store holds no configuration yet.
};

enum class CommitResult {
    Committed,
    Conflict, ///< Somebody else has changed the section.
    Invalid, ///< The joined document would be invalid.
    NotCommitted, ///< The store refused or could not be reached; nothing was changed.
    Unknown, ///< The store's answer was lost and it could not be asked since.
};

struct CommitOutcome
{
    CommitResult result = CommitResult::Unknown;
    std::int64_t version = 0; ///< Version of the manifest, with Committed.
    int attempts = 0;
    std::vector<DocumentProblem> problems; ///< With Invalid.
    std::string error;
};

/// One revision of a section in the store.
struct SectionRevision
{
    std::int64_t revision = 0;
    std::string commitId;
    std::string author;
    std::string time;
    nlohmann::json section;
};

/// Decodes the record of a section. Throws std::invalid_argument when it is truncated.
SectionRevision decodeSectionRecord(std::string_view record);

/// Reads and commits the operators' configuration in the key-value store.
class ConfigStore
{
public:
    struct Hooks
    {
        std::function<void(std::chrono::milliseconds delay, std::function<void()> next)> wait;
        std::function<double()> random; ///< Uniform in [0, 1).
    };

    ConfigStore(KvAccess kv, Hooks hooks);

    /// Reads the manifest and those sections whose record in @p known is not the one that the manifest names.
    void read(const std::optional<ConfigRecords> &cached, std::function<void(const ConfigRead &)> done);

    /// Reads the kept revisions of a section, the oldest first.
    void history(const std::string &section,
                 std::function<void(KvStatus, const std::vector<SectionRevision> &, const std::string &error)> done);

    /// Commits sections by compare-and-swap of the manifest, joined with what others commit meanwhile.
    void
    commit(const SectionCommit &commit, const nlohmann::json &schema, std::function<void(const CommitOutcome &)> done);

private:
    class Reader;
    class Committer;

    KvAccess kv;
    Hooks hooks;
};

std::string_view commitResultName(CommitResult result);

} // namespace hemlock
