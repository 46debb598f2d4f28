#include "commands.h"

#include "encoding.h"
#include "session.h"
#include "settings.h"

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

std::string currentTime()
{
    const std::time_t time = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm utc{};
    gmtime_r(&time, &utc);
    std::array<char, sizeof("2000-01-01T00:00:00Z")> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text.data();
}

json documentSchema()
{
    return readJsonFile(dataFile("schemas/document.json"));
}

SectionCommit startCommit(const CommandOptions &options)
{
    SectionCommit commit;
    commit.commitId = makeUniqueId();
    commit.author = options.author;
    commit.time = currentTime();
    return commit;
}

int reportCommit(const CommandOptions &options, const CommitOutcome &outcome)
{
    const bool isCommitted = outcome.result == CommitResult::Committed;
    if (options.printsJson) {
        json line = {{"result", commitResultName(outcome.result)}, {"attempts", outcome.attempts}};
        if (isCommitted)
            line["version"] = outcome.version;
        else
            line["error"] = outcome.error;
        if (!outcome.problems.empty())
            line["problems"] = outcome.problems;
        std::cout << line.dump() << "\n";
    } else if (isCommitted) {
        std::cout << "committed as configuration version " << outcome.version << "\n";
    } else {
        std::cerr << commitResultName(outcome.result) << ": " << outcome.error << "\n";
    }
    return isCommitted ? 0 : 1;
}

ConfigRecords requireConfig(Session &session)
{
    const ConfigRead read = session.readConfig();
    if (read.status != KvStatus::Ok)
        throw std::runtime_error("the key-value store does not answer: " + read.error);
    if (!read.records)
        throw std::runtime_error(read.error.empty() ? "the store holds no configuration; use init first" : read.error);
    return *read.records;
}

} // namespace

int runInit(const CommandOptions &options)
{
    const Document document = Document::fromJson(readJsonFile(options.file));
    SectionCommit commit = startCommit(options);
    commit.createsConfiguration = true;
    for (const auto &[name, section] : document.sections())
        commit.edits.push_back({name, section, 0});
    if (commit.edits.empty())
        throw std::runtime_error(options.file + ": the document has no sections");
    Session session(options.store);
    return reportCommit(options, session.commit(commit, documentSchema()));
}

int runGet(const CommandOptions &options)
{
    Session session(options.store);
    const ConfigRecords records = requireConfig(session);
    const json document = records.document().toJson();
    if (options.section.empty()) {
        json shown = document;
        if (options.printsJson) {
            shown["version"] = records.manifest.version;
            for (const auto &[name, reference] : records.manifest.sections)
                shown["revisions"][name] = reference.revision;
        }
        std::cout << shown.dump(options.printsJson ? -1 : 4) << "\n";
        return 0;
    }
    const auto reference = records.manifest.sections.find(options.section);
    if (reference == records.manifest.sections.end())
        throw std::runtime_error("section " + options.section + ": found none of this name in configuration version "
                                 + std::to_string(records.manifest.version));
    const json &section = document.at("sections").at(options.section);
    if (options.printsJson)
        std::cout << json{{"section", section}, {"revision", reference->second.revision}}.dump() << "\n";
    else
        std::cout << section.dump(4) << "\n";
    return 0;
}

} // namespace hemlock
