#include "commands.h"

#include "encoding.h"
#include "requesttimeline.h"
#include "session.h"
#include "settings.h"

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
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
    return readJsonFile(dataFilePath("schemas/document.json"));
}

SectionCommit makeCommit(const CommandOptions &options)
{
    SectionCommit commit;
    commit.commitId = makeUniqueId();
    commit.author = options.author;
    commit.time = currentTime();
    return commit;
}

int printCommitOutcome(const CommandOptions &options, const CommitOutcome &outcome)
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

std::int64_t revisionOf(const ConfigRecords &records, const std::string &section)
{
    const auto match = records.manifest.sections.find(section);
    return match == records.manifest.sections.end() ? 0 : match->second.revision;
}

std::string controlKey(const CommandOptions &options)
{
    if (options.controlKeyFile.empty())
        return options.controlKey;
    std::ifstream stream(options.controlKeyFile);
    std::string key;
    if (!std::getline(stream, key))
        throw std::runtime_error(options.controlKeyFile + ": the first line with the control key is missing");
    return key;
}

void printTable(const json &rows, const std::vector<std::string> &columns)
{
    const auto text = [](const json &value) { return value.is_string() ? value.get<std::string>() : value.dump(); };
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const json &row : rows)
            width = std::max(width, text(row.at(column)).size());
        widths.push_back(width);
    }
    const auto printRow = [&](const auto &cell) {
        std::string line = " ";
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::string value = cell(columns[i]);
            value.resize(i + 1 < columns.size() ? widths[i] : value.size(), ' ');
            line += " " + value;
        }
        std::cout << line << "\n";
    };
    printRow([](const std::string &column) { return column; });
    for (const json &row : rows)
        printRow([&](const std::string &column) { return text(row.at(column)); });
}

} // namespace

int runValidate(const CommandOptions &options)
{
    Document document;
    if (options.section.empty()) {
        document = Document::fromJson(readJsonFile(options.file));
    } else {
        document = StoreSession(options.storeAddress).readConfig().document();
        document.setSection(options.section, readJsonFile(options.file));
    }
    const auto problems = document.check(documentSchema());
    if (options.printsJson)
        std::cout << json{{"valid", problems.empty()}, {"problems", problems}}.dump() << "\n";
    else if (problems.empty())
        std::cout << "valid\n";
    else
        std::cerr << formatProblems(problems) << "\n";
    return problems.empty() ? 0 : 1;
}

int runInit(const CommandOptions &options)
{
    const Document document = Document::fromJson(readJsonFile(options.file));
    SectionCommit commit = makeCommit(options);
    commit.createsConfiguration = true;
    for (const auto &[name, section] : document.sections())
        commit.edits.push_back({name, section, 0});
    if (commit.edits.empty())
        throw std::runtime_error(options.file + ": \"sections\" must contain at least one section");
    return printCommitOutcome(options, StoreSession(options.storeAddress).commit(commit, documentSchema()));
}

int runGet(const CommandOptions &options)
{
    const ConfigRecords records = StoreSession(options.storeAddress).readConfig();
    const json document = records.document().toJson();
    if (options.section.empty()) {
        json output = document;
        if (options.printsJson) {
            output["version"] = records.manifest.version;
            for (const auto &[name, reference] : records.manifest.sections)
                output["revisions"][name] = reference.revision;
        }
        std::cout << output.dump(options.printsJson ? -1 : 4) << "\n";
        return 0;
    }
    const std::int64_t revision = revisionOf(records, options.section);
    if (revision == 0)
        throw std::runtime_error("section " + options.section + " does not exist in configuration version "
                                 + std::to_string(records.manifest.version));
    const json &section = document.at("sections").at(options.section);
    if (options.printsJson)
        std::cout << json{{"section", section}, {"revision", revision}}.dump() << "\n";
    else
        std::cout << section.dump(4) << "\n";
    return 0;
}

int runDiff(const CommandOptions &options)
{
    const ConfigRecords records = StoreSession(options.storeAddress).readConfig();
    const Document document = records.document();
    const auto match = document.sections().find(options.section);
    const json before = match == document.sections().end() ? json::object() : match->second;
    const json changes = json::diff(before, readJsonFile(options.file));
    const std::int64_t revision = revisionOf(records, options.section);
    if (options.printsJson) {
        std::cout << json{{"section", options.section}, {"revision", revision}, {"changes", changes}}.dump() << "\n";
        return 0;
    }
    std::cout << "section " << options.section << ", revision " << revision << ": " << changes.size() << " changes\n";
    for (const json &change : changes) {
        const std::string pointer = change.at("path");
        const json::json_pointer path(pointer);
        if (before.contains(path))
            std::cout << "- " << pointer << ": " << before.at(path).dump() << "\n";
        if (change.contains("value"))
            std::cout << "+ " << pointer << ": " << change.at("value").dump() << "\n";
    }
    return 0;
}

int runSet(const CommandOptions &options)
{
    const json section = readJsonFile(options.file);
    StoreSession session(options.storeAddress);
    SectionCommit commit = makeCommit(options);
    commit.edits.push_back({options.section, section, options.expectedRevision.value()});
    return printCommitOutcome(options, session.commit(commit, documentSchema()));
}

int runHistory(const CommandOptions &options)
{
    json rows = json::array();
    for (const SectionRevision &revision : StoreSession(options.storeAddress).history(options.section))
        rows.push_back({{"revision", revision.revision},
                        {"time", revision.time},
                        {"author", revision.author},
                        {"commit", revision.commitId}});
    if (options.printsJson)
        std::cout << json{{"section", options.section}, {"revisions", rows}}.dump() << "\n";
    else
        printTable(rows, {"revision", "time", "author", "commit"});
    return rows.empty() ? 1 : 0;
}

int runStatus(const CommandOptions &options)
{
    const json status = callProcess(options.controlAddress, controlKey(options), "status", json::object());
    if (options.printsJson) {
        std::cout << status.dump() << "\n";
        return 0;
    }
    std::cout << "control process " << status.at("id").get<std::string>() << " in zone "
              << status.at("zone").get<std::string>() << ", configuration version " << status.at("configVersion")
              << ", store " << (status.at("storeReachable").get<bool>() ? "reachable" : "not reachable") << "\n";
    if (const std::string error = status.at("configError"); !error.empty())
        std::cout << "latest configuration rejected: " << error << "\n";
    std::cout << "\nservices\n";
    printTable(status.at("services"), {"id", "kind", "fencing"});
    std::cout << "\nupstreams\n";
    printTable(status.at("upstreams"), {"id", "service", "zone", "address", "state"});
    std::cout << "\nentry VMs\n";
    printTable(status.at("entryVms"), {"id", "zone", "controlAddress", "live"});
    return 0;
}

int runDrain(const CommandOptions &options)
{
    const json result =
        callProcess(options.controlAddress, controlKey(options), "drainUpstream", {{"upstream", options.upstream}});
    if (options.printsJson)
        std::cout << result.dump() << "\n";
    else
        std::cout << "upstream " << options.upstream << " is " << result.at("state").get<std::string>() << "; notified "
                  << result.at("peersTold") << " other entry VMs\n";
    return 0;
}

int runExplain(const CommandOptions &options)
{
    const json result =
        callProcess(options.entryAddress, controlKey(options), "explain", {{"request", options.requestId}});
    const json &decisions = result.at("decisions");
    if (options.printsJson) {
        std::cout << result.dump() << "\n";
        return 0;
    }
    if (decisions.empty()) {
        std::cerr << "request " << options.requestId << ": no decision found; the entry process at "
                  << options.entryAddress << " did not handle it or no longer keeps its decisions\n";
        return 1;
    }
    for (const json &decision : decisions)
        std::cout << decision.dump(4) << "\n";
    return 0;
}

int runTimeline(const CommandOptions &options)
{
    RequestTimeline timeline(options.requestId);
    for (const std::string &file : options.files) {
        std::ifstream stream(file);
        if (!stream)
            throw std::runtime_error(file + ": cannot open the file");
        std::size_t skipped = 0;
        for (std::string line; std::getline(stream, line);)
            skipped += line.empty() || timeline.addLine(line) ? 0 : 1;
        if (skipped > 0)
            std::cerr << file << ": skipped " << skipped << " lines that are not log records\n";
    }
    const std::vector<json> records = timeline.records();
    if (records.empty()) {
        std::cerr << "no log record found for request " << options.requestId << "\n";
        return 1;
    }
    if (options.printsJson)
        std::cout << json(records).dump() << "\n";
    for (const json &record : options.printsJson ? std::vector<json>() : records)
        std::cout << formatTimelineRecord(record) << "\n";
    return 0;
}

} // namespace hemlock
