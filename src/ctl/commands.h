#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Options and arguments of hemlockctl.
struct CommandOptions
{
    std::string storeAddress; ///< Key-value store, "ADDRESS:PORT".
    std::string controlAddress; ///< A control process, "ADDRESS:PORT".
    std::string entryAddress; ///< Control address of an entry process, "ADDRESS:PORT".
    std::string controlKey;
    std::string controlKeyFile;
    std::string author;
    std::string file;
    std::string section;
    std::string upstream;
    std::string requestId;
    std::vector<std::string> files;
    std::optional<std::int64_t> expectedRevision;
    bool printsJson = false;
};

// Each command returns the exit status: 0 when done, 1 when refused. What cannot be done at all throws std::exception.

/// Checks a document, or with a section's name one section's file within the document in the store.
int runValidate(const CommandOptions &options);
int runInit(const CommandOptions &options);
int runGet(const CommandOptions &options);

/// Shows what a section's file would change, as a JSON patch with the values in force.
int runDiff(const CommandOptions &options);
int runSet(const CommandOptions &options);
int runHistory(const CommandOptions &options);
int runStatus(const CommandOptions &options);
int runDrain(const CommandOptions &options);

/// Shows the decisions that an entry process took for a request.
int runExplain(const CommandOptions &options);

/// Tells a relayed request's story from log files.
int runTimeline(const CommandOptions &options);

} // namespace hemlock
