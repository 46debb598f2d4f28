#include "relay/suspectrecords.h"

#include "encoding.h"
#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlock {

namespace {

std::int64_t unixMilliseconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

SuspectRecords::SuspectRecords(
    KvAccess kv, std::string prefix, Quarantine &quarantine, Hooks hooks, SuspectRecordsSettings settings)
    : kv(std::move(kv))
    , keyPrefix(std::move(prefix))
    , quarantine(quarantine)
    , hooks(std::move(hooks))
    , settings(settings)
{
}

const std::string &SuspectRecords::prefix() const
{
    return this->keyPrefix;
}

std::string SuspectRecords::keyOf(const std::string &subject) const
{
    // A subject may be longer than the store allows for a key.
    return this->keyPrefix + sha256Hex(subject);
}

nlohmann::json SuspectRecords::encode(const std::string &subject) const
{
    nlohmann::json content = this->quarantine.encodeEntries({subject}, this->hooks.now());
    content["refused"] = this->quarantine.isRefused(subject);
    content["writtenMs"] = unixMilliseconds(this->hooks.wallTime());
    return content;
}

bool SuspectRecords::needsWrite(const std::string &subject) const
{
    if (!this->quarantine.hasOwnEvidence(subject))
        return false;
    const auto record = this->records.find(this->keyOf(subject));
    const bool isRefused = this->quarantine.isRefused(subject);
    if (record == this->records.end())
        return isRefused && this->records.size() + this->pendingWrites.size() < this->settings.maxRecords;
    return record->second.isRefused != isRefused;
}

void SuspectRecords::tick()
{
    const Time now = this->hooks.now();
    const auto changed = this->quarantine.changedAfter(this->processedVersion);
    this->changedSubjects.insert(changed.begin(), changed.end());
    this->processedVersion = this->quarantine.currentVersion();
    std::erase_if(this->retryAt, [now](const auto &item) { return now >= item.second; });
    std::erase_if(this->changedSubjects, [this](const std::string &subject) { return !this->needsWrite(subject); });
    const auto due = this->changedSubjects;
    for (const std::string &subject : due) {
        if (!this->pendingWrites.contains(subject) && !this->retryAt.contains(subject) && this->needsWrite(subject))
            this->write(subject, this->encode(subject), [](bool) {});
    }
}

void SuspectRecords::storeRestored()
{
    this->records.clear();
    this->processedVersion = 0;
}

void SuspectRecords::write(const std::string &subject, const nlohmann::json &content, const WriteDone &done)
{
    this->pendingWrites.insert(subject);
    this->kv.grantLease(
        this->settings.recordTtl,
        [this, alive = std::weak_ptr<bool>(this->alive), subject, content, done](const KvLeaseResult &grant) {
            if (alive.expired())
                return;
            if (grant.status == KvStatus::Ok && grant.lease != 0)
                return this->putRecord(subject, content, grant.lease, done);
            KvTxnResult failed;
            failed.status = KvStatus::NotApplied;
            failed.error = "no lease";
            this->putEnded(subject, {}, failed, done);
        });
}

void SuspectRecords::putRecord(const std::string &subject,
                               const nlohmann::json &content,
                               std::int64_t lease,
                               const WriteDone &done)
{
    const std::string key = this->keyOf(subject);
    const auto known = this->records.find(key);
    const Record written{0, content.at("refused").get<bool>(), content.dump()};
    KvTxn txn;
    txn.compares.push_back({key, known == this->records.end() ? 0 : known->second.revision});
    txn.puts.push_back({key, written.value, lease});
    txn.readsOnFailure.push_back(key);
    this->kv.txn(txn,
                 [this, alive = std::weak_ptr<bool>(this->alive), subject, written, done](const KvTxnResult &result) {
                     if (!alive.expired())
                         this->putEnded(subject, written, result, done);
                 });
}

void SuspectRecords::putEnded(const std::string &subject,
                              const Record &written,
                              const KvTxnResult &result,
                              const WriteDone &done)
{
    this->pendingWrites.erase(subject);
    const bool isApplied = result.status == KvStatus::Ok && result.succeeded;
    logEvent(isApplied ? LogLevel::Info : LogLevel::Warning,
             "suspect-record",
             {{"subject", subject}, {"written", isApplied}, {"refused", written.isRefused}, {"error", result.error}});
    if (isApplied) {
        this->records[this->keyOf(subject)] = {result.revision, written.isRefused, written.value};
    } else if (result.status == KvStatus::Ok) {
        // Another VM wrote the record, or it expired.
        this->records.erase(this->keyOf(subject));
        for (const KvEntry &entry : result.entries) {
            this->recordChanged(entry.key, entry.value);
            if (const auto record = this->records.find(entry.key); record != this->records.end())
                record->second.revision = entry.modRevision;
        }
    } else {
        this->retryAt[subject] = this->hooks.now() + this->settings.retryInterval;
    }
    done(isApplied);
}

void SuspectRecords::recordChanged(const std::string &key, const std::string &value)
{
    if (value.empty()) {
        this->records.erase(key);
        return;
    }
    if (const auto known = this->records.find(key); known != this->records.end() && known->second.value == value)
        return;
    try {
        const auto content = nlohmann::json::parse(value);
        this->apply(content);
        // The watch does not tell the revision; the next write learns it when its comparison fails.
        this->records[key] = {0, content.at("refused").get<bool>(), value};
        // The subject may have been cleared here before its record was known.
        for (const nlohmann::json &entry : content.at("entries"))
            this->changedSubjects.insert(entry.at("fingerprint").get<std::string>());
    } catch (const nlohmann::json::exception &error) {
        logEvent(LogLevel::Warning, "suspect-record", {{"key", key}, {"error", error.what()}});
    }
}

void SuspectRecords::apply(const nlohmann::json &content)
{
    nlohmann::json message = content;
    for (nlohmann::json &entry : message.at("entries")) {
        // Clocks of VMs differ, so that a known crash could count as another one.
        if (!this->quarantine.isRefused(entry.at("fingerprint").get<std::string>()))
            continue;
        for (const char *kind : {"crashes", "presences"})
            entry[kind] = nlohmann::json::array();
    }
    const auto age = std::chrono::milliseconds(unixMilliseconds(this->hooks.wallTime())
                                               - content.at("writtenMs").get<std::int64_t>());
    const auto limitedAge =
        std::clamp<std::chrono::milliseconds>(age, std::chrono::milliseconds(0), this->settings.recordTtl);
    this->quarantine.applyDelta(message, this->hooks.now() - limitedAge);
}

void SuspectRecords::requestTrial(const std::string &subject, const TrialDone &done)
{
    if (this->pendingWrites.contains(subject) || this->retryAt.contains(subject))
        return done(std::nullopt);
    this->writeTrial(subject, this->hooks.now(), false, done);
}

void SuspectRecords::writeTrial(const std::string &subject, Time requested, bool isRepeated, const TrialDone &done)
{
    nlohmann::json content = this->encode(subject);
    for (nlohmann::json &entry : content.at("entries")) {
        entry["trials"] = entry.value("trials", 0) + 1;
        entry["trialAgeMs"] = 0;
    }
    this->write(subject, content, [this, subject, requested, isRepeated, done](bool isApplied) {
        const Time now = this->hooks.now();
        const Time validUntil = requested + this->settings.trialLifetime;
        const bool isDue = this->quarantine.permissionFor(subject, now) == Quarantine::Permission::Trial;
        if (isApplied) {
            this->quarantine.startTrial(subject, now);
            return done(now < validUntil ? std::optional(validUntil) : std::nullopt);
        }
        // The record was not known, and it holds no trial of another VM.
        if (!isRepeated && isDue && now < validUntil && !this->retryAt.contains(subject))
            return this->writeTrial(subject, requested, true, done);
        done(std::nullopt);
    });
}

} // namespace hemlock
