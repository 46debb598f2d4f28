#include "configstore.h"

#include "encoding.h"

#include <algorithm>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

/// In each round, one of the concurrent commits succeeds and the others retry, so this allows for 100 of them.
constexpr int maxAttempts = 100;
/// Attempts that may fail because the store does not respond before the commit is given up.
constexpr int maxStoreFailures = 4;
constexpr std::chrono::milliseconds baseRetryDelay{20};
constexpr std::chrono::milliseconds maxRetryDelay{500};
/// A commit deletes the revision that exceeds this number, since 68,000 changes a day would fill the store.
constexpr std::int64_t maxKeptRevisions = 20;
/// The store accepts values of up to one megabyte, not counting the base64 encoding of its protocol.
constexpr std::size_t maxRecordBytes = 1'000'000;

std::string encodeSectionRecord(const SectionCommit &commit, const SectionEdit &edit, std::int64_t revision)
{
    return json{{"revision", revision},
                {"commitId", commit.commitId},
                {"author", commit.author},
                {"time", commit.time},
                {"section", edit.section}}
        .dump();
}

std::string describeRevision(std::int64_t revision)
{
    return revision == 0 ? "absent" : "at revision " + std::to_string(revision);
}

} // namespace

SectionRevision decodeSectionRecord(std::string_view record)
{
    try {
        const json value = json::parse(record);
        return {value.at("revision"), value.at("commitId"), value.at("author"), value.at("time"), value.at("section")};
    } catch (const json::exception &error) {
        throw std::invalid_argument("the record is truncated or altered: " + std::string(error.what()));
    }
}

Document ConfigRecords::document() const
{
    Document document;
    for (const auto &[name, reference] : this->manifest.sections) {
        const std::string location = "configuration version " + std::to_string(this->manifest.version) + ", section "
            + name + ", revision " + std::to_string(reference.revision) + ": ";
        const auto record = this->sections.find(name);
        if (record == this->sections.end())
            throw std::invalid_argument(location + "found no record at " + sectionKey(name, reference.revision));
        const std::string found = sha256Hex(record->second);
        if (found != reference.sha256)
            throw std::invalid_argument(location + "found a record of " + std::to_string(record->second.size())
                                        + " bytes with SHA-256 " + found + "; the manifest allows " + reference.sha256);
        try {
            document.setSection(name, decodeSectionRecord(record->second).section);
        } catch (const std::invalid_argument &error) {
            throw std::invalid_argument(location + error.what());
        }
    }
    return document;
}

/// Reads the manifest, then all sections that are not in the cached records, in parallel.
class ConfigStore::Reader : public std::enable_shared_from_this<Reader>
{
public:
    Reader(KvAccess kv, std::optional<ConfigRecords> cached, std::function<void(const ConfigRead &)> done)
        : kv(std::move(kv))
        , cached(std::move(cached))
        , done(std::move(done))
    {
    }

    void start()
    {
        this->kv.range(std::string(manifestKey), false, [self = this->shared_from_this()](const KvRangeResult &result) {
            self->readManifest(result);
        });
    }

private:
    void readManifest(const KvRangeResult &result)
    {
        this->configRead.status = result.status;
        this->configRead.error = result.error;
        if (result.status != KvStatus::Ok || result.entries.empty())
            return this->done(this->configRead);
        this->configRead.modRevision = result.entries.front().modRevision;
        try {
            this->configRead.records = ConfigRecords{decodeManifest(result.entries.front().value), {}};
        } catch (const std::invalid_argument &error) {
            this->configRead.error = error.what();
            return this->done(this->configRead);
        }
        this->readSections();
    }

    void readSections()
    {
        std::vector<std::string> missing;
        for (const auto &[name, reference] : this->configRead.records->manifest.sections) {
            if (const std::string *record = this->cachedRecord(name, reference))
                this->configRead.records->sections[name] = *record;
            else
                missing.push_back(name);
        }
        this->pending = missing.size();
        if (missing.empty())
            return this->done(this->configRead);
        for (const std::string &name : missing) {
            const std::int64_t revision = this->configRead.records->manifest.sections.at(name).revision;
            this->kv.range(sectionKey(name, revision),
                           false,
                           [self = this->shared_from_this(), name](const KvRangeResult &result) {
                               self->readSection(name, result);
                           });
        }
    }

    const std::string *cachedRecord(const std::string &name, const SectionReference &reference) const
    {
        if (!this->cached)
            return nullptr;
        const auto match = this->cached->manifest.sections.find(name);
        if (match == this->cached->manifest.sections.end() || match->second != reference)
            return nullptr;
        const auto record = this->cached->sections.find(name);
        return record == this->cached->sections.end() ? nullptr : &record->second;
    }

    void readSection(const std::string &name, const KvRangeResult &result)
    {
        if (result.status != KvStatus::Ok) {
            this->configRead.status = result.status;
            this->configRead.error = result.error;
        } else if (!result.entries.empty()) {
            this->configRead.records->sections[name] = result.entries.front().value;
        }
        if (--this->pending == 0)
            this->done(this->configRead);
    }

    KvAccess kv;
    std::optional<ConfigRecords> cached;
    std::function<void(const ConfigRead &)> done;
    ConfigRead configRead;
    std::size_t pending = 0;
};

/// One commit: reads the configuration, merges and validates the edits and writes them by compare-and-swap of the
/// manifest. Starts over when a commit of another section was written first.
class ConfigStore::Committer : public std::enable_shared_from_this<Committer>
{
public:
    Committer(ConfigStore &store,
              SectionCommit commit,
              const json &schema,
              std::function<void(const CommitOutcome &)> done)
        : kv(store.kv)
        , hooks(store.hooks)
        , commit(std::move(commit))
        , schema(schema)
        , done(std::move(done))
    {
    }

    void start()
    {
        ++this->outcome.attempts;
        const auto reader =
            std::make_shared<Reader>(this->kv, this->cached, [self = this->shared_from_this()](const ConfigRead &read) {
                self->prepareCommit(read);
            });
        reader->start();
    }

private:
    void finish(CommitResult result, const std::string &error)
    {
        this->outcome.result = result;
        this->outcome.error = error;
        this->done(this->outcome);
    }

    void retryLater(const std::string &error, bool storeFailed)
    {
        if (storeFailed && ++this->storeFailures >= maxStoreFailures) {
            const std::string text = "the key-value store does not answer: " + error;
            return this->finish(this->responseLost ? CommitResult::Unknown : CommitResult::NotCommitted, text);
        }
        if (this->outcome.attempts >= maxAttempts)
            return this->finish(this->responseLost ? CommitResult::Unknown : CommitResult::NotCommitted, error);
        // Full jitter: the random delay spreads concurrent commits that would otherwise collide in each round.
        const int doublings = std::min(this->outcome.attempts, 8);
        const auto ceiling = std::min(baseRetryDelay * (1 << doublings), maxRetryDelay);
        const auto delay = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(ceiling.count()) * this->hooks.random()));
        this->hooks.wait(delay, [self = this->shared_from_this()] { self->start(); });
    }

    void prepareCommit(const ConfigRead &read)
    {
        if (read.status != KvStatus::Ok)
            return this->retryLater(read.error, true);
        if (!read.records && read.modRevision != 0)
            return this->finish(CommitResult::NotCommitted, read.error);
        this->cached = read.records;
        const Manifest current = read.records ? read.records->manifest : Manifest();
        if (this->isCommittedIn(current))
            return this->finishCommitted(current.version);
        if (this->commit.createsConfiguration && read.records)
            return this->finish(CommitResult::Conflict,
                                "the store already holds configuration version " + std::to_string(current.version));
        for (const SectionEdit &edit : this->commit.edits) {
            const auto match = current.sections.find(edit.name);
            const std::int64_t revision = match == current.sections.end() ? 0 : match->second.revision;
            if (revision != edit.expectedRevision)
                return this->resolveConflict(edit, revision);
        }
        this->compareAndSwap(read, current);
    }

    bool isCommittedIn(const Manifest &manifest) const
    {
        const auto match = manifest.sections.find(this->commit.edits.front().name);
        return match != manifest.sections.end() && match->second.commitId == this->commit.commitId;
    }

    void finishCommitted(std::int64_t version)
    {
        this->outcome.version = version;
        this->finish(CommitResult::Committed, {});
    }

    /// Reports a conflict, unless an earlier response was lost: then this commit may have succeeded and the section may
    /// have been changed again since, which the record of the revision after the expected one shows.
    void resolveConflict(const SectionEdit &edit, std::int64_t revision)
    {
        const std::string text = "section " + edit.name + " is " + describeRevision(revision)
            + " in the store; this edit started from it being " + describeRevision(edit.expectedRevision);
        if (!this->responseLost || revision <= edit.expectedRevision + 1)
            return this->finish(CommitResult::Conflict, text);
        this->kv.range(sectionKey(edit.name, edit.expectedRevision + 1),
                       false,
                       [self = this->shared_from_this(), text, revision](const KvRangeResult &result) {
                           self->resolveConflictByRecord(result, text, revision);
                       });
    }

    void resolveConflictByRecord(const KvRangeResult &result, const std::string &conflict, std::int64_t)
    {
        if (result.status != KvStatus::Ok)
            return this->retryLater(result.error, true);
        if (result.entries.empty())
            return this->finish(CommitResult::Unknown, "the record of the next revision has been deleted; " + conflict);
        const bool isOwn = decodeSectionRecord(result.entries.front().value).commitId == this->commit.commitId;
        if (!isOwn)
            return this->finish(CommitResult::Conflict, conflict);
        this->finishCommitted(this->cached ? this->cached->manifest.version : 0);
    }

    void compareAndSwap(const ConfigRead &read, const Manifest &current)
    {
        ConfigRecords candidate = read.records.value_or(ConfigRecords());
        candidate.manifest.version = current.version + 1;
        candidate.manifest.commitId = this->commit.commitId;
        KvTxn txn;
        txn.compares.push_back({std::string(manifestKey), read.modRevision});
        for (const SectionEdit &edit : this->commit.edits) {
            if (!isSectionName(edit.name))
                return this->finish(CommitResult::Invalid,
                                    "section " + edit.name
                                        + ": found a name that is not allowed; allowed: lower-case letters, digits "
                                          "and hyphens, 1 to 63 of them");
            const std::int64_t revision = edit.expectedRevision + 1;
            std::string record = encodeSectionRecord(this->commit, edit, revision);
            if (record.size() > maxRecordBytes)
                return this->finish(CommitResult::Invalid,
                                    "section " + edit.name + ": found " + std::to_string(record.size())
                                        + " bytes; allowed: " + std::to_string(maxRecordBytes));
            candidate.manifest.sections[edit.name] = {revision, this->commit.commitId, sha256Hex(record)};
            candidate.sections[edit.name] = record;
            txn.puts.push_back({sectionKey(edit.name, revision), std::move(record)});
            if (revision > maxKeptRevisions)
                txn.deletes.push_back(sectionKey(edit.name, revision - maxKeptRevisions));
        }
        if (!this->validateOrFinish(candidate))
            return;
        txn.puts.push_back({std::string(manifestKey), encodeManifest(candidate.manifest)});
        this->kv.txn(
            txn, [self = this->shared_from_this(), version = candidate.manifest.version](const KvTxnResult &result) {
                self->handleTxnResult(result, version);
            });
    }

    /// Validates the merged document. When it is invalid, finishes or retries the commit and returns false.
    bool validateOrFinish(const ConfigRecords &candidate)
    {
        try {
            this->outcome.problems = candidate.document().check(this->schema);
        } catch (const std::invalid_argument &error) {
            // Later commits may have deleted a revision between the reads of manifest and section. The manifest then
            // names a newer one by now.
            this->retryLater(error.what(), true);
            return false;
        }
        if (this->outcome.problems.empty())
            return true;
        this->finish(CommitResult::Invalid, formatProblems(this->outcome.problems));
        return false;
    }

    void handleTxnResult(const KvTxnResult &result, std::int64_t version)
    {
        switch (result.status) {
        case KvStatus::Ok:
            if (result.succeeded)
                return this->finishCommitted(version);
            return this->retryLater("gave up since other commits were written first", false);
        case KvStatus::NotApplied:
            return this->retryLater(result.error, true);
        case KvStatus::Unknown:
            this->responseLost = true;
            return this->retryLater(result.error, true);
        }
    }

    KvAccess kv;
    Hooks hooks;
    SectionCommit commit;
    json schema;
    std::function<void(const CommitOutcome &)> done;
    std::optional<ConfigRecords> cached;
    CommitOutcome outcome;
    int storeFailures = 0;
    bool responseLost = false;
};

ConfigStore::ConfigStore(KvAccess kv, Hooks hooks)
    : kv(std::move(kv))
    , hooks(std::move(hooks))
{
}

void ConfigStore::read(const std::optional<ConfigRecords> &cached, std::function<void(const ConfigRead &)> done)
{
    std::make_shared<Reader>(this->kv, cached, std::move(done))->start();
}

void ConfigStore::history(
    const std::string &section,
    std::function<void(KvStatus, const std::vector<SectionRevision> &, const std::string &error)> done)
{
    this->kv.range(sectionPrefix(section), true, [done = std::move(done)](const KvRangeResult &result) {
        std::vector<SectionRevision> revisions;
        std::string error = result.error;
        for (const KvEntry &entry : result.entries) {
            try {
                revisions.push_back(decodeSectionRecord(entry.value));
            } catch (const std::invalid_argument &decodeError) {
                error = entry.key + ": " + decodeError.what();
            }
        }
        std::sort(revisions.begin(), revisions.end(), [](const SectionRevision &a, const SectionRevision &b) {
            return a.revision < b.revision;
        });
        done(result.status, revisions, error);
    });
}

void ConfigStore::commit(const SectionCommit &commit,
                         const json &schema,
                         std::function<void(const CommitOutcome &)> done)
{
    std::make_shared<Committer>(*this, commit, schema, std::move(done))->start();
}

std::string_view commitResultName(CommitResult result)
{
    switch (result) {
    case CommitResult::Committed:
        return "committed";
    case CommitResult::Conflict:
        return "conflict";
    case CommitResult::Invalid:
        return "invalid";
    case CommitResult::NotCommitted:
        return "not-committed";
    case CommitResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace hemlock
