#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Options and arguments of hemlockctl.
struct CommandOptions
{
    std::string storeAddress; ///< Address of the key-value store, "ADDRESS:PORT".
    std::string controlAddress; ///< Address of a control process, "ADDRESS:PORT".
    std::string entryAddress; ///< Control address of an entry process, "ADDRESS:PORT".
    std::string controlKey;
    std::string controlKeyFile;
    std::string author;
    std::string file;
    std::string section;
    std::string upstream;
    std::string requestId;
    std::vector<std::string> files;
    std::optional<std::int64_t> expectedRevision; ///< Revision that the new section is based on; 0 for a new section.
    bool printsJson = false;
};

// Each command returns the exit status: 0 on success, 1 when the request is refused or finds nothing. Throws
// std::exception when the command cannot be carried out.

/// Validates a document file or, if a section is named, a section file together with the other sections in the store.
int runValidate(const CommandOptions &options);

/// Commits the first document to an empty store.
int runInit(const CommandOptions &options);

/// Prints the document in the store, or one of its sections.
int runGet(const CommandOptions &options);

/// Shows the changes from the stored section to a file, as a JSON patch together with the current values.
int runDiff(const CommandOptions &options);

/// Replaces a section, provided that its revision is the expected one.
int runSet(const CommandOptions &options);

/// Lists the stored revisions of a section.
int runHistory(const CommandOptions &options);

/// Shows services, upstreams and entry VMs.
int runStatus(const CommandOptions &options);

/// Stops sending new requests to an upstream.
int runDrain(const CommandOptions &options);

/// Shows the routing decisions of an entry process for a request.
int runExplain(const CommandOptions &options);

/// Prints the log records of a relayed request from several log files in chronological order.
int runTimeline(const CommandOptions &options);

} // namespace hemlock
