#include "configstore.h"
#include "activeconfig.h"
#include "memorystore.h"
#include "settings.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

class ConfigStoreFixture
{
protected:
    ConfigStoreFixture()
    {
        this->createConfiguration(
            {{"access", this->section("access", "desk")}, {"models", this->section("models", "chat")}});
    }

    static json section(const std::string &team, const std::string &service)
    {
        return {{"team", team}, {"services", {{{"id", service}, {"kind", "model"}}}}};
    }

    ConfigStore makeClient()
    {
        ConfigStore::Hooks hooks;
        hooks.wait = [this](std::chrono::milliseconds, std::function<void()> next) {
            this->store.queue.push_back(std::move(next));
        };
        hooks.random = [] { return 0.5; };
        return ConfigStore(this->store.access(), hooks);
    }

    void createConfiguration(const Document::Sections &sections)
    {
        SectionCommit commit{{}, "init", "test", "", true};
        for (const auto &[name, section] : sections)
            commit.edits.push_back({name, section, 0});
        this->startCommit(commit);
        this->store.runAll();
    }

    void startCommit(const SectionCommit &commit)
    {
        this->makeClient().commit(commit, this->schema, [this, id = commit.commitId](const CommitOutcome &outcome) {
            this->outcomes[id] = outcome;
        });
    }

    void
    startEdit(const std::string &commitId, const std::string &name, const json &section, std::int64_t expectedRevision)
    {
        this->startCommit({{{name, section, expectedRevision}}, commitId, "test", "", false});
    }

    ConfigRead read()
    {
        ConfigRead configRead;
        this->makeClient().read({}, [&configRead](const ConfigRead &read) { configRead = read; });
        this->store.runAll();
        return configRead;
    }

    std::string firstServiceId(const std::string &name)
    {
        return this->read().records->document().sections().at(name).at("services").at(0).at("id");
    }

    MemoryStore store;
    std::deque<std::function<void()>> heldCalls;
    json schema = readJsonFile(HEMLOCK_SOURCE_DIR "/schemas/document.json");
    std::map<std::string, CommitOutcome> outcomes;
};

} // namespace

// Guards against a commit that overwrites another team's commit which was written between its read and its write.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: concurrent commits of different sections: both changes are kept")
{
    this->startEdit("first", "access", section("access", "front"), 1);
    this->startEdit("second", "models", section("models", "draft"), 1);
    this->store.runAll();
    CHECK(this->outcomes.at("first").result == CommitResult::Committed);
    CHECK(this->outcomes.at("second").result == CommitResult::Committed);
    CHECK(this->read().records->manifest.version == 3);
    CHECK(this->firstServiceId("access") == "front");
    CHECK(this->firstServiceId("models") == "draft");
}

// Guards against the second of two edits of one section silently overwriting the first.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: concurrent edits of one section: the second gets a conflict")
{
    this->startEdit("first", "access", section("access", "front"), 1);
    this->startEdit("second", "access", section("access", "back"), 1);
    this->store.runAll();
    CHECK(this->outcomes.at("first").result == CommitResult::Committed);
    CHECK(this->outcomes.at("second").result == CommitResult::Conflict);
    CHECK(this->outcomes.at("second").error
          == "section access is at revision 2 in the store; this edit started from it being at revision 1");
    CHECK(this->firstServiceId("access") == "front");
}

// Guards against a commit that reports a conflict with itself or is written twice when the response is lost.
TEST_CASE_METHOD(ConfigStoreFixture,
                 "ConfigStore: response to the commit is lost: the commit identifier shows the success")
{
    this->store.lostResponses = 1;
    this->startEdit("lost", "access", section("access", "front"), 1);
    this->store.runAll();
    CHECK(this->outcomes.at("lost").result == CommitResult::Committed);
    CHECK(this->read().records->manifest.version == 2);
    CHECK(this->read().records->manifest.sections.at("access").revision == 2);
}

// Guards against a false conflict when the response is lost and the section is changed again before the next read.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: response lost and section changed again: is reported as committed")
{
    this->store.lostResponses = 1;
    this->startEdit("lost", "access", section("access", "front"), 1);
    while (this->store.lostResponses > 0)
        this->store.runNext();
    std::swap(this->store.queue, this->heldCalls);
    this->startEdit("next", "access", section("access", "back"), 2);
    this->store.runAll();
    std::swap(this->store.queue, this->heldCalls);
    this->store.runAll();
    CHECK(this->outcomes.at("next").result == CommitResult::Committed);
    CHECK(this->outcomes.at("lost").result == CommitResult::Committed);
    CHECK(this->firstServiceId("access") == "back");
}

// Guards against sections that are valid by themselves but make the merged document invalid.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: section defines another section's service: is rejected")
{
    this->startEdit("twice", "access", section("access", "chat"), 1);
    this->store.runAll();
    const CommitOutcome &outcome = this->outcomes.at("twice");
    CHECK(outcome.result == CommitResult::Invalid);
    REQUIRE(outcome.problems.size() == 1);
    CHECK(outcome.problems[0].section == "models");
    CHECK(outcome.problems[0].pointer == "/services/0/id");
    CHECK(outcome.problems[0].allowed
          == "an identifier that no other entry has; section access defines it at /services/0/id");
    CHECK(this->read().records->manifest.version == 1);
}

// Guards against a commit that is reported as committed or unknown although the store could never be reached.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: store is unavailable: reports that nothing was committed")
{
    this->store.isUnavailable = true;
    this->startEdit("out", "access", section("access", "front"), 1);
    this->store.runAll();
    CHECK(this->outcomes.at("out").result == CommitResult::NotCommitted);
}

// Guards against old revisions that accumulate until the store is full.
TEST_CASE_METHOD(ConfigStoreFixture, "ConfigStore: many commits of a section: the latest 20 revisions are kept")
{
    for (int revision = 1; revision <= 30; ++revision) {
        this->startEdit("edit" + std::to_string(revision),
                        "access",
                        section("access", "desk" + std::to_string(revision)),
                        revision);
        this->store.runAll();
    }
    std::vector<SectionRevision> kept;
    this->makeClient().history(
        "access", [&kept](KvStatus, const std::vector<SectionRevision> &revisions, const auto &) { kept = revisions; });
    this->store.runAll();
    REQUIRE(kept.size() == 20);
    CHECK(kept.front().revision == 12);
    CHECK(kept.back().revision == 31);
}

// Guards against serving a configuration whose record in the store is truncated.
TEST_CASE_METHOD(ConfigStoreFixture,
                 "ActiveConfig: truncated record: is rejected and the last valid version stays active")
{
    ActiveConfig config(this->schema);
    REQUIRE(config.applyIfNewer(*this->read().records) == ActiveConfig::ApplyResult::Applied);
    this->startEdit("cut", "access", section("access", "front"), 1);
    this->store.runAll();
    this->store.entries.at("config/sections/access/2").value.pop_back();
    CHECK(config.applyIfNewer(*this->read().records) == ActiveConfig::ApplyResult::Rejected);
    CHECK_THAT(config.error(), Catch::Contains("configuration version 2, section access, revision 2: found a record"));
    CHECK(config.version() == 1);
    CHECK(config.document().sections().at("access").at("services").at(0).at("id") == "desk");
}

// Guards against serving an incomplete document when the record of a section is missing from the store.
TEST_CASE_METHOD(ConfigStoreFixture,
                 "ActiveConfig: record of a section is missing: is rejected and the error names its key")
{
    ActiveConfig config(this->schema);
    this->store.entries.erase("config/sections/models/1");
    CHECK(config.applyIfNewer(*this->read().records) == ActiveConfig::ApplyResult::Rejected);
    CHECK(config.error()
          == "configuration version 1, section models, revision 1: found no record at config/sections/models/1");
    CHECK(config.version() == 0);
}

// Guards against returning to an older version when a delayed response arrives after a newer one.
TEST_CASE_METHOD(ConfigStoreFixture, "ActiveConfig: older manifest arrives late: is not applied")
{
    ActiveConfig config(this->schema);
    const ConfigRecords older = *this->read().records;
    this->startEdit("newer", "access", section("access", "front"), 1);
    this->store.runAll();
    REQUIRE(config.applyIfNewer(*this->read().records) == ActiveConfig::ApplyResult::Applied);
    CHECK(config.applyIfNewer(older) == ActiveConfig::ApplyResult::NotNewer);
    CHECK(config.version() == 2);
}
