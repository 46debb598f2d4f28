#include "quarantine.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

// Deaths and announcements are compared with crashes that other processes report seconds later.
constexpr std::chrono::minutes rememberedDeaths{2};

// Each request asks, and a pass over all entries costs more than the rest of the question.
constexpr std::chrono::seconds expiryInterval{1};

} // namespace

std::string requestFingerprint(const std::string &clientAccount, const std::string &service, const std::string &body)
{
    // The lengths keep two different requests from joining to the same text.
    return sha256Hex(std::to_string(clientAccount.size()) + ":" + clientAccount + std::to_string(service.size()) + ":"
                     + service + body);
}

Quarantine::Quarantine(QuarantineSettings settings)
    : settings(settings)
{
}

Quarantine::Permission Quarantine::ask(const std::string &fingerprint, Time now)
{
    this->expire(now);
    const auto entry = this->entries.find(fingerprint);
    const std::size_t crashes = entry == this->entries.end() ? 0 : this->countedCrashes(entry->second);
    if (crashes == 0)
        return Permission::Allowed;
    if (crashes >= this->settings.triedUpstreams)
        return Permission::Refused;
    return this->running.contains(fingerprint) ? Permission::Wait : Permission::Isolated;
}

void Quarantine::attemptStarted(const std::string &fingerprint, const std::string &upstream)
{
    this->running[fingerprint].insert(upstream);
}

void Quarantine::attemptEnded(const std::string &fingerprint, const std::string &upstream)
{
    const auto found = this->running.find(fingerprint);
    if (found == this->running.end())
        return;
    if (const auto attempt = found->second.find(upstream); attempt != found->second.end())
        found->second.erase(attempt);
    if (found->second.empty())
        this->running.erase(found);
}

std::set<std::string> Quarantine::isolatedUpstreams() const
{
    std::set<std::string> upstreams;
    for (const auto &[fingerprint, entry] : this->entries) {
        const auto attempts = this->running.find(fingerprint);
        if (attempts != this->running.end() && this->countedCrashes(entry) > 0)
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
    if (entry != this->entries.end() && this->clear(entry->second, now))
        this->touch(fingerprint, entry->second, now);
}

void Quarantine::upstreamDied(const Upstream &upstream, Time now)
{
    // The same death is reported by each attempt that it broke, and once more by the list of upstreams.
    const bool isKnown = std::any_of(this->deaths.begin(), this->deaths.end(), [&](const Crash &death) {
        return death.upstream == upstream.id && now - death.time <= rememberedDeaths;
    });
    if (isKnown)
        return;
    this->deaths.push_back({upstream.id, upstream.zone.name, now});
    this->evaluateAll(now);
}

void Quarantine::reclaimAnnounced(const std::string &upstream, Time now)
{
    const bool isNew = this->announced.insert_or_assign(upstream, now).second;
    if (isNew)
        this->evaluateAll(now);
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
    this->evaluate(entry, now);
    this->touch(fingerprint, entry, now);
}

bool Quarantine::clear(Entry &entry, Time at) const
{
    if (at <= entry.clearedAt)
        return false;
    entry.clearedAt = at;
    std::erase_if(entry.crashes, [at](const Crash &crash) { return crash.time <= at; });
    return true;
}

bool Quarantine::evaluate(Entry &entry, Time now) const
{
    bool hasChanged = false;
    for (Crash &crash : entry.crashes) {
        // Later the deaths that would excuse the crash are forgotten, so its last evaluation stays.
        if (now - crash.time > rememberedDeaths)
            continue;
        const bool isZoneLoss = std::any_of(this->deaths.begin(), this->deaths.end(), [&](const Crash &death) {
            const bool ranHere = std::any_of(entry.crashes.begin(), entry.crashes.end(), [&death](const Crash &own) {
                return own.upstream == death.upstream;
            });
            return !ranHere && death.zone == crash.zone
                && std::chrono::abs(death.time - crash.time) <= this->settings.zoneWindow;
        });
        const bool isExcused = isZoneLoss || this->announced.contains(crash.upstream);
        hasChanged = hasChanged || isExcused != crash.isExcused;
        crash.isExcused = isExcused;
    }
    return hasChanged;
}

void Quarantine::evaluateAll(Time now)
{
    for (auto &[fingerprint, entry] : this->entries) {
        if (this->evaluate(entry, now))
            this->touch(fingerprint, entry, now);
    }
}

void Quarantine::touch(const std::string &fingerprint, Entry &entry, Time now)
{
    this->forget(entry);
    entry.updated = now;
    entry.version = ++this->version;
    this->changes[entry.version] = fingerprint;
}

void Quarantine::forget(const Entry &entry)
{
    this->changes.erase(entry.version);
}

void Quarantine::expire(Time now)
{
    if (now - this->lastExpiry < expiryInterval)
        return;
    this->lastExpiry = now;
    while (!this->deaths.empty() && now - this->deaths.front().time > rememberedDeaths)
        this->deaths.pop_front();
    std::erase_if(this->announced, [now](const auto &notice) { return now - notice.second > rememberedDeaths; });
    std::erase_if(this->entries, [this, now](const auto &item) {
        const bool isRefused = this->countedCrashes(item.second) >= this->settings.triedUpstreams;
        const bool isOver =
            now - item.second.updated > (isRefused ? this->settings.refusedTime : this->settings.suspectTime);
        if (isOver)
            this->forget(item.second);
        return isOver;
    });
    while (this->entries.size() > this->settings.maxEntries) {
        const auto oldest =
            std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) {
                return a.second.updated < b.second.updated;
            });
        this->forget(oldest->second);
        this->entries.erase(oldest);
    }
}

nlohmann::json Quarantine::delta(std::uint64_t after, Time now) const
{
    return this->describe(this->changedAfter(after), now);
}

std::uint64_t Quarantine::currentVersion() const
{
    return this->version;
}

std::vector<std::string> Quarantine::changedAfter(std::uint64_t after) const
{
    std::vector<std::string> fingerprints;
    for (auto change = this->changes.upper_bound(after); change != this->changes.end(); ++change)
        fingerprints.push_back(change->second);
    return fingerprints;
}

nlohmann::json Quarantine::describe(const std::vector<std::string> &fingerprints, Time now) const
{
    // Clocks of processes differ, so times travel as ages.
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
            // Ages lose up to a millisecond on their way, which must not pass for a newer clearing.
            const Time at = now - std::chrono::milliseconds(cleared->get<std::int64_t>() + 1);
            if (at > entry.clearedAt + std::chrono::seconds(1) && this->clear(entry, at))
                this->touch(fingerprint, entry, now);
        }
        for (const nlohmann::json &crash : item.at("crashes")) {
            // What the sender excused is left out: its list of deaths may be longer than ours.
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
