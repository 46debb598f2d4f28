#include "quarantine.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

// Deaths and reclaim announcements are kept this long, since other processes report the related crashes seconds later.
constexpr std::chrono::minutes deathLifetime{2};

// Every request checks its permission, and a pass over all entries costs more than the rest of the check.
constexpr std::chrono::seconds expiryInterval{1};

} // namespace

std::string requestFingerprint(const std::string &clientAccount, const std::string &service, const std::string &body)
{
    // The length prefixes keep different requests from concatenating to the same text.
    return sha256Hex(std::to_string(clientAccount.size()) + ":" + clientAccount + std::to_string(service.size()) + ":"
                     + service + body);
}

Quarantine::Quarantine(QuarantineSettings settings)
    : settings(settings)
{
}

Quarantine::Permission Quarantine::permissionFor(const std::string &fingerprint, Time now)
{
    this->expireEntries(now);
    const auto entry = this->entries.find(fingerprint);
    const std::size_t crashes = entry == this->entries.end() ? 0 : this->countedCrashes(entry->second);
    if (crashes == 0)
        return Permission::Allowed;
    if (crashes >= this->settings.crashLimit)
        return Permission::Refused;
    return this->runningAttempts.contains(fingerprint) ? Permission::Wait : Permission::Isolated;
}

void Quarantine::attemptStarted(const std::string &fingerprint, const std::string &upstream)
{
    this->runningAttempts[fingerprint].insert(upstream);
}

void Quarantine::attemptEnded(const std::string &fingerprint, const std::string &upstream)
{
    const auto found = this->runningAttempts.find(fingerprint);
    if (found == this->runningAttempts.end())
        return;
    if (const auto attempt = found->second.find(upstream); attempt != found->second.end())
        found->second.erase(attempt);
    if (found->second.empty())
        this->runningAttempts.erase(found);
}

std::set<std::string> Quarantine::isolatedUpstreams() const
{
    std::set<std::string> upstreams;
    for (const auto &[fingerprint, entry] : this->entries) {
        const auto attempts = this->runningAttempts.find(fingerprint);
        if (attempts != this->runningAttempts.end() && this->countedCrashes(entry) > 0)
            upstreams.insert(attempts->second.begin(), attempts->second.end());
    }
    return upstreams;
}

void Quarantine::requestCrashed(const std::string &fingerprint, const Upstream &upstream, Time now)
{
    this->addCrash(fingerprint, {upstream.id, upstream.zone.name, now}, now);
}

void Quarantine::requestSucceeded(const std::string &fingerprint, Time now)
{
    const auto entry = this->entries.find(fingerprint);
    if (entry != this->entries.end() && this->clearCrashes(entry->second, now))
        this->recordChange(fingerprint, entry->second, now);
}

void Quarantine::upstreamDied(const Upstream &upstream, Time now)
{
    // The same death is reported by each attempt that it broke off, and again by the list of upstreams.
    const bool isKnown = std::any_of(this->deaths.begin(), this->deaths.end(), [&](const Crash &death) {
        return death.upstream == upstream.id && now - death.time <= deathLifetime;
    });
    if (isKnown)
        return;
    this->deaths.push_back({upstream.id, upstream.zone.name, now});
    this->evaluateAllCrashes(now);
}

void Quarantine::reclaimAnnounced(const std::string &upstream, Time now)
{
    const bool isNew = this->announcedReclaims.insert_or_assign(upstream, now).second;
    if (isNew)
        this->evaluateAllCrashes(now);
}

std::size_t Quarantine::countedCrashes(const Entry &entry) const
{
    return static_cast<std::size_t>(
        std::count_if(entry.crashes.begin(), entry.crashes.end(), [](const Crash &crash) { return !crash.isExcused; }));
}

void Quarantine::addCrash(const std::string &fingerprint, const Crash &crash, Time now)
{
    Entry &entry = this->entries[fingerprint];
    const bool isKnown = std::any_of(entry.crashes.begin(), entry.crashes.end(), [&crash](const Crash &known) {
        return known.upstream == crash.upstream;
    });
    if (isKnown || crash.time <= entry.clearedAt)
        return;
    entry.crashes.push_back(crash);
    this->evaluateCrashes(entry, now);
    this->recordChange(fingerprint, entry, now);
}

bool Quarantine::clearCrashes(Entry &entry, Time at) const
{
    if (at <= entry.clearedAt)
        return false;
    entry.clearedAt = at;
    std::erase_if(entry.crashes, [at](const Crash &crash) { return crash.time <= at; });
    return true;
}

bool Quarantine::evaluateCrashes(Entry &entry, Time now) const
{
    bool hasChanged = false;
    for (Crash &crash : entry.crashes) {
        // The deaths that would excuse an older crash may have expired, so its last evaluation is kept.
        if (now - crash.time > deathLifetime)
            continue;
        const bool isZoneLoss = std::any_of(this->deaths.begin(), this->deaths.end(), [&](const Crash &death) {
            const bool alsoRanRequest =
                std::any_of(entry.crashes.begin(), entry.crashes.end(), [&death](const Crash &own) {
                    return own.upstream == death.upstream;
                });
            return !alsoRanRequest && death.zone == crash.zone
                && std::chrono::abs(death.time - crash.time) <= this->settings.zoneLossWindow;
        });
        const bool isExcused = isZoneLoss || this->announcedReclaims.contains(crash.upstream);
        hasChanged = hasChanged || isExcused != crash.isExcused;
        crash.isExcused = isExcused;
    }
    return hasChanged;
}

void Quarantine::evaluateAllCrashes(Time now)
{
    for (auto &[fingerprint, entry] : this->entries) {
        if (this->evaluateCrashes(entry, now))
            this->recordChange(fingerprint, entry, now);
    }
}

void Quarantine::recordChange(const std::string &fingerprint, Entry &entry, Time now)
{
    this->removeChange(entry);
    entry.updated = now;
    entry.version = ++this->version;
    this->fingerprintsByVersion[entry.version] = fingerprint;
}

void Quarantine::removeChange(const Entry &entry)
{
    this->fingerprintsByVersion.erase(entry.version);
}

void Quarantine::expireEntries(Time now)
{
    if (now - this->lastExpiry < expiryInterval)
        return;
    this->lastExpiry = now;
    while (!this->deaths.empty() && now - this->deaths.front().time > deathLifetime)
        this->deaths.pop_front();
    std::erase_if(this->announcedReclaims, [now](const auto &notice) { return now - notice.second > deathLifetime; });
    std::erase_if(this->entries, [this, now](const auto &item) {
        const bool isRefused = this->countedCrashes(item.second) >= this->settings.crashLimit;
        const bool isExpired =
            now - item.second.updated > (isRefused ? this->settings.refusalDuration : this->settings.suspectDuration);
        if (isExpired)
            this->removeChange(item.second);
        return isExpired;
    });
    while (this->entries.size() > this->settings.maxEntries) {
        const auto oldest =
            std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) {
                return a.second.updated < b.second.updated;
            });
        this->removeChange(oldest->second);
        this->entries.erase(oldest);
    }
}

nlohmann::json Quarantine::delta(std::uint64_t after, Time now) const
{
    return this->encodeEntries(this->changedAfter(after), now);
}

std::uint64_t Quarantine::currentVersion() const
{
    return this->version;
}

std::vector<std::string> Quarantine::changedAfter(std::uint64_t after) const
{
    std::vector<std::string> fingerprints;
    for (auto change = this->fingerprintsByVersion.upper_bound(after); change != this->fingerprintsByVersion.end();
         ++change)
        fingerprints.push_back(change->second);
    return fingerprints;
}

nlohmann::json Quarantine::encodeEntries(const std::vector<std::string> &fingerprints, Time now) const
{
    // Steady clocks differ between processes, so times are sent as ages.
    const auto age = [now](Time time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    nlohmann::json message = {{"version", this->version}, {"entries", nlohmann::json::array()}};
    for (const std::string &fingerprint : fingerprints) {
        const auto found = this->entries.find(fingerprint);
        if (found == this->entries.end())
            continue;
        const Entry &entry = found->second;
        nlohmann::json item = {{"fingerprint", fingerprint}, {"crashes", nlohmann::json::array()}};
        if (entry.clearedAt != Time::min())
            item["clearedAgeMs"] = age(entry.clearedAt);
        for (const Crash &crash : entry.crashes) {
            item["crashes"].push_back({{"upstream", crash.upstream},
                                       {"zone", crash.zone},
                                       {"ageMs", age(crash.time)},
                                       {"excused", crash.isExcused}});
        }
        message["entries"].push_back(std::move(item));
    }
    return message;
}

void Quarantine::applyDelta(const nlohmann::json &message, Time now)
{
    for (const nlohmann::json &item : message.at("entries")) {
        const auto fingerprint = item.at("fingerprint").get<std::string>();
        if (const auto cleared = item.find("clearedAgeMs"); cleared != item.end()) {
            Entry &entry = this->entries[fingerprint];
            // Ages are truncated to milliseconds; the rounding must not make a known clearing look newer.
            const Time at = now - std::chrono::milliseconds(cleared->get<std::int64_t>() + 1);
            if (at > entry.clearedAt + std::chrono::seconds(1) && this->clearCrashes(entry, at))
                this->recordChange(fingerprint, entry, now);
        }
        for (const nlohmann::json &crash : item.at("crashes")) {
            // Crashes that the sender excused are skipped: it may know of deaths that this process does not.
            if (!crash.value("excused", false)) {
                this->addCrash(fingerprint,
                               {crash.at("upstream"),
                                crash.at("zone"),
                                now - std::chrono::milliseconds(crash.at("ageMs").get<std::int64_t>())},
                               now);
            }
        }
    }
}

std::size_t Quarantine::size() const
{
    return this->entries.size();
}

} // namespace hemlock
