#include "quarantine.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

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

void Quarantine::setSuspicionHook(SuspicionHook hook)
{
    this->suspicionChanged = std::move(hook);
}

Quarantine::Permission Quarantine::permissionFor(const std::string &subject, Time now)
{
    this->expireEntries(now);
    const auto entry = this->entries.find(subject);
    if (entry == this->entries.end())
        return Permission::Allowed;
    // To have been present at a crash or two says nothing.
    if (this->crashCount(entry->second, Evidence::Crashes) == 0 && !this->isStrongSuspect(entry->second))
        return Permission::Allowed;
    if (this->isRefused(subject, entry->second)) {
        const bool isTrialDue = this->settings.trialDelay.count() > 0 && now >= this->nextTrial(subject, entry->second);
        return isTrialDue ? Permission::Trial : Permission::Refused;
    }
    return this->runningAttempts.contains(subject) ? Permission::Wait : Permission::Isolated;
}

bool Quarantine::isRefused(const std::string &subject) const
{
    const auto entry = this->entries.find(subject);
    return entry != this->entries.end() && this->isRefused(subject, entry->second);
}

std::chrono::milliseconds Quarantine::trialOverdue(const std::string &subject, Time now) const
{
    const auto entry = this->entries.find(subject);
    if (this->settings.trialDelay.count() == 0 || entry == this->entries.end())
        return std::chrono::milliseconds(0);
    const auto overdue = now - this->nextTrial(subject, entry->second);
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(overdue));
}

bool Quarantine::hasOwnEvidence(const std::string &subject) const
{
    const auto entry = this->entries.find(subject);
    if (entry == this->entries.end())
        return false;
    const auto &crashes = entry->second.crashes;
    return entry->second.isClearedByOwn
        || std::any_of(crashes.begin(), crashes.end(), [](const Crash &crash) { return crash.isOwn; });
}

void Quarantine::startTrial(const std::string &subject, Time now)
{
    const auto entry = this->entries.find(subject);
    if (entry == this->entries.end())
        return;
    ++entry->second.trials;
    entry->second.lastTrial = now;
    this->recordChange(subject, entry->second, now);
}

std::chrono::milliseconds Quarantine::trialWait(const std::string &subject, Time now) const
{
    const auto entry = this->entries.find(subject);
    if (this->settings.trialDelay.count() == 0 || entry == this->entries.end())
        return this->settings.refusalDuration;
    const Time next = this->nextTrial(subject, entry->second);
    return std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(next - now));
}

bool Quarantine::isRefused(const std::string &subject, const Entry &entry) const
{
    const std::size_t crashLimit = entry.provenAt ? this->settings.provenCrashLimit : this->settings.crashLimit;
    if (this->crashCount(entry, Evidence::Crashes) < crashLimit && !this->reachesLimit(entry, Evidence::Presence))
        return false;
    const Entry unexplained = this->withoutExplainedCrashes(subject, entry);
    if (this->crashCount(unexplained, Evidence::Crashes) >= crashLimit
        && !this->isExplained(subject, entry, Evidence::Crashes))
        return true;
    return this->reachesLimit(unexplained, Evidence::Presence)
        && !this->isExplained(subject, entry, Evidence::Presence);
}

Quarantine::Entry Quarantine::withoutExplainedCrashes(const std::string &subject, const Entry &entry) const
{
    Entry unexplained = entry;
    if (entry.provenAt) {
        std::erase_if(unexplained.crashes, [&](const Crash &crash) {
            return this->hasOtherSuspect(subject, [&](const Entry &other) {
                return !other.provenAt && this->includesCrash(other, crash, Evidence::Presence);
            });
        });
    }
    return unexplained;
}

bool Quarantine::isExplained(const std::string &subject, const Entry &entry, Evidence evidence) const
{
    const std::size_t count = this->crashCount(entry, evidence);
    return this->hasOtherSuspect(subject, [&](const Entry &other) {
        return this->reachesLimit(other, evidence) && this->includesCrashes(other, entry, evidence)
            && (this->crashCount(other, evidence) > count || (entry.provenAt && !other.provenAt));
    });
}

std::size_t Quarantine::crashCount(const Entry &entry, Evidence evidence) const
{
    return static_cast<std::size_t>(std::count_if(entry.crashes.begin(),
                                                  entry.crashes.end(),
                                                  [evidence](const Crash &crash) { return counts(crash, evidence); }));
}

std::size_t Quarantine::incidentCount(const Entry &entry) const
{
    std::size_t incidents = 0;
    Time start = Time::min();
    for (const Crash &crash : entry.crashes) {
        if (crash.isExcused || (start != Time::min() && crash.time - start < this->settings.incidentWindow))
            continue;
        start = crash.time;
        ++incidents;
    }
    return incidents;
}

bool Quarantine::reachesLimit(const Entry &entry, Evidence evidence) const
{
    if (evidence == Evidence::Crashes)
        return this->crashCount(entry, evidence) >= this->settings.crashLimit;
    if (this->settings.presenceLimit == 0 || entry.crashes.size() < this->settings.presenceLimit)
        return false;
    const std::size_t incidents = this->incidentCount(entry);
    // In one incident after another, or in so many crashes that they are no single incident.
    return incidents >= this->settings.presenceLimit
        || (incidents > 1 && this->crashCount(entry, evidence) > this->settings.presenceLimit);
}

bool Quarantine::isStrongSuspect(const Entry &entry) const
{
    return this->reachesLimit(entry, Evidence::Crashes) || this->reachesLimit(entry, Evidence::Presence);
}

bool Quarantine::counts(const Crash &crash, Evidence evidence)
{
    return !crash.isExcused && (evidence == Evidence::Presence || !crash.isPresence);
}

bool Quarantine::isAmbiguous(const std::string &subject, const Entry &entry) const
{
    return std::all_of(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &crash) {
        return crash.isExcused || std::any_of(this->entries.begin(), this->entries.end(), [&](const auto &other) {
                   return other.first != subject && other.second.provenAt.has_value() == entry.provenAt.has_value()
                       && this->hasCrash(other.second, crash);
               });
    });
}

bool Quarantine::hasOtherSuspect(const std::string &subject,
                                 const std::function<bool(const Entry &other)> &condition) const
{
    return std::any_of(this->strongSuspects.begin(), this->strongSuspects.end(), [&](const std::string &other) {
        return other != subject && condition(this->entries.at(other));
    });
}

bool Quarantine::includesCrashes(const Entry &entry, const Entry &included, Evidence evidence) const
{
    return std::all_of(included.crashes.begin(), included.crashes.end(), [&](const Crash &crash) {
        return !counts(crash, evidence) || this->includesCrash(entry, crash, evidence);
    });
}

bool Quarantine::includesCrash(const Entry &entry, const Crash &crash, Evidence evidence) const
{
    return std::any_of(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &other) {
        if (evidence == Evidence::Presence && std::chrono::abs(crash.time - other.time) < this->settings.incidentWindow)
            return true;
        return (evidence == Evidence::Presence || !other.isPresence) && this->isSameCrash(crash, other);
    });
}

bool Quarantine::hasCrash(const Entry &entry, const Crash &crash) const
{
    return std::any_of(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &known) {
        return this->isSameCrash(crash, known);
    });
}

bool Quarantine::isSameCrash(const Crash &a, const Crash &b) const
{
    return a.upstream == b.upstream && std::chrono::abs(a.time - b.time) < this->settings.minRestartTime;
}

bool Quarantine::applyProof(Entry &entry, Time at) const
{
    const bool isProof = std::all_of(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &crash) {
        return at < crash.time && crash.time - at <= this->settings.provenDuration;
    });
    if (entry.provenAt || entry.crashes.empty() || !isProof)
        return false;
    entry.provenAt = at;
    return true;
}

Quarantine::Time Quarantine::nextTrial(const std::string &subject, const Entry &entry) const
{
    Time last = entry.lastTrial;
    for (const Crash &crash : entry.crashes) {
        if (!crash.isExcused)
            last = std::max(last, crash.time);
    }
    std::chrono::milliseconds delay =
        this->isAmbiguous(subject, entry) ? this->settings.distinguishingTrialDelay : this->settings.trialDelay;
    const int failedTrials = this->isTrialExplained(subject, entry) ? entry.trials - 1 : entry.trials;
    for (int trial = 0; trial < failedTrials && delay < this->settings.maxTrialDelay; ++trial)
        delay *= this->settings.trialDelayFactor;
    delay = std::min(delay, this->settings.maxTrialDelay);
    // Spread over the entry VMs by a hash, in another order for each subject and trial.
    const std::size_t hash =
        std::hash<std::string>()(subject + this->settings.trialSeed + std::to_string(entry.trials));
    constexpr std::size_t steps = 4096;
    return last + delay + delay * (hash % steps) / steps;
}

bool Quarantine::isTrialExplained(const std::string &subject, const Entry &entry) const
{
    if (entry.trials == 0 || entry.crashes.empty() || entry.crashes.back().time < entry.lastTrial)
        return false;
    const Crash &crash = entry.crashes.back();
    return this->hasOtherSuspect(subject, [&](const Entry &other) { return this->hasCrash(other, crash); });
}

bool Quarantine::applyTrial(Entry &entry, int trials, Time at) const
{
    if (trials <= entry.trials || at <= entry.clearedAt)
        return false;
    entry.trials = trials;
    entry.lastTrial = std::max(entry.lastTrial, at);
    return true;
}

void Quarantine::attemptStarted(const std::string &subject, const std::string &upstream)
{
    this->runningAttempts[subject].insert(upstream);
}

void Quarantine::attemptEnded(const std::string &subject, const std::string &upstream)
{
    const auto found = this->runningAttempts.find(subject);
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
    for (const auto &[subject, entry] : this->entries) {
        const auto attempts = this->runningAttempts.find(subject);
        if (attempts != this->runningAttempts.end() && this->crashCount(entry, Evidence::Presence) > 0)
            upstreams.insert(attempts->second.begin(), attempts->second.end());
    }
    return upstreams;
}

void Quarantine::recordCrash(const std::string &subject, const Upstream &upstream, Time now)
{
    this->addCrash(subject, {upstream.id, upstream.zone.name, now, false, true, false}, now);
}

void Quarantine::recordPresence(const std::string &subject, const Upstream &upstream, Time now)
{
    this->addCrash(subject, {upstream.id, upstream.zone.name, now, false, true, true}, now);
}

void Quarantine::recordProgress(const std::string &subject, Time time, Time now)
{
    const auto entry = this->entries.find(subject);
    if (entry == this->entries.end() || !this->applyProgress(entry->second, time))
        return;
    entry->second.isClearedByOwn = true;
    this->recordChange(subject, entry->second, now);
}

void Quarantine::recordSuccess(const std::string &subject, Time time, Time now)
{
    if (this->settings.provenDuration.count() > 0
        && (this->provenSubjects.size() < this->settings.maxEntries || this->provenSubjects.contains(subject)))
        this->provenSubjects[subject] = time;
    this->clearSuspicion(subject, time, now);
}

void Quarantine::clearSuspicion(const std::string &subject, Time time, Time now)
{
    const auto entry = this->entries.find(subject);
    if (entry == this->entries.end())
        return;
    const bool hadCrashes = !entry->second.crashes.empty();
    if (!this->clearCrashes(entry->second, time) || !hadCrashes)
        return;
    entry->second.isClearedByOwn = true;
    this->recordChange(subject, entry->second, now);
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

void Quarantine::addCrash(const std::string &subject, Crash crash, Time now)
{
    Entry &entry = this->entries[subject];
    if (crash.time <= entry.clearedAt)
        return;
    crash.isPresence = crash.isPresence || crash.time <= entry.progressAt;
    const auto known = std::find_if(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &other) {
        return this->isSameCrash(other, crash);
    });
    if (known != entry.crashes.end()) {
        // Another attempt that the same crash broke off may show more.
        if (!known->isPresence || crash.isPresence)
            return;
        known->isPresence = false;
        known->isOwn = known->isOwn || crash.isOwn;
        return this->recordChange(subject, entry, now);
    }
    const auto later = std::find_if(
        entry.crashes.begin(), entry.crashes.end(), [&crash](const Crash &known) { return known.time > crash.time; });
    if (later == entry.crashes.begin() && entry.crashes.size() >= this->settings.maxCrashesPerEntry)
        return;
    entry.crashes.insert(later, crash);
    if (entry.crashes.size() > this->settings.maxCrashesPerEntry)
        this->dropCrash(entry);
    if (const auto proven = this->provenSubjects.find(subject); proven != this->provenSubjects.end())
        this->applyProof(entry, proven->second);
    this->evaluateCrashes(entry, now);
    this->recordChange(subject, entry, now);
}

void Quarantine::dropCrash(Entry &entry) const
{
    // One presence of an incident tells as much as several.
    const auto repeated =
        std::adjacent_find(entry.crashes.begin(), entry.crashes.end(), [this](const Crash &crash, const Crash &next) {
            return next.isPresence && next.time - crash.time < this->settings.incidentWindow;
        });
    entry.crashes.erase(repeated == entry.crashes.end() ? entry.crashes.begin() : std::next(repeated));
}

bool Quarantine::clearCrashes(Entry &entry, Time at) const
{
    if (at <= entry.clearedAt)
        return false;
    entry.clearedAt = at;
    entry.isClearedByOwn = false;
    entry.trials = 0;
    entry.provenAt.reset();
    std::erase_if(entry.crashes, [at](const Crash &crash) { return crash.time <= at; });
    return true;
}

bool Quarantine::applyProgress(Entry &entry, Time at) const
{
    if (at <= entry.progressAt)
        return false;
    entry.progressAt = at;
    bool hasChanged = false;
    for (Crash &crash : entry.crashes) {
        const bool isReduced = !crash.isPresence && crash.time <= at;
        crash.isPresence = crash.isPresence || isReduced;
        hasChanged = hasChanged || isReduced;
    }
    return hasChanged;
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
    for (auto &[subject, entry] : this->entries) {
        if (this->evaluateCrashes(entry, now))
            this->recordChange(subject, entry, now);
    }
}

void Quarantine::recordChange(const std::string &subject, Entry &entry, Time now)
{
    this->subjectsByVersion.erase(entry.version);
    entry.updated = now;
    entry.version = ++this->version;
    this->subjectsByVersion[entry.version] = subject;
    this->updateSuspicion(subject, entry);
}

void Quarantine::updateSuspicion(const std::string &subject, const Entry &entry)
{
    const std::size_t crashes = this->crashCount(entry, Evidence::Presence);
    const bool isStrong = this->isStrongSuspect(entry);
    const bool hasChanged =
        isStrong ? this->strongSuspects.insert(subject).second : this->strongSuspects.erase(subject) > 0;
    if (hasChanged && this->suspicionChanged)
        this->suspicionChanged(subject, isStrong, crashes);
}

void Quarantine::forget(const std::string &subject, const Entry &entry)
{
    this->subjectsByVersion.erase(entry.version);
    if (this->strongSuspects.erase(subject) > 0 && this->suspicionChanged)
        this->suspicionChanged(subject, false, 0);
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
        const bool isExpired = now - item.second.updated
            > (this->isStrongSuspect(item.second) ? this->settings.refusalDuration : this->settings.suspectDuration);
        if (isExpired)
            this->forget(item.first, item.second);
        return isExpired;
    });
    std::erase_if(this->provenSubjects,
                  [this, now](const auto &item) { return now - item.second > this->settings.provenDuration; });
    // Subjects with few crashes go first, so that many new suspects do not displace a refused one.
    while (this->entries.size() > this->settings.maxEntries) {
        const auto oldest =
            std::min_element(this->entries.begin(), this->entries.end(), [this](const auto &a, const auto &b) {
                return std::tuple(this->isStrongSuspect(a.second),
                                  this->crashCount(a.second, Evidence::Presence),
                                  a.second.updated)
                    < std::tuple(this->isStrongSuspect(b.second),
                                 this->crashCount(b.second, Evidence::Presence),
                                 b.second.updated);
            });
        this->forget(oldest->first, oldest->second);
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
    std::vector<std::string> subjects;
    for (auto change = this->subjectsByVersion.upper_bound(after); change != this->subjectsByVersion.end(); ++change)
        subjects.push_back(change->second);
    return subjects;
}

std::string Quarantine::nextStrongSuspect(const std::string &previous) const
{
    if (this->strongSuspects.empty())
        return {};
    const auto next = this->strongSuspects.upper_bound(previous);
    return next == this->strongSuspects.end() ? *this->strongSuspects.begin() : *next;
}

nlohmann::json Quarantine::encodeEntries(const std::vector<std::string> &subjects, Time now) const
{
    // Steady clocks differ between processes, so times are sent as ages.
    const auto age = [now](Time time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    nlohmann::json message = {{"version", this->version}, {"entries", nlohmann::json::array()}};
    for (const std::string &subject : subjects) {
        const auto found = this->entries.find(subject);
        if (found == this->entries.end())
            continue;
        const Entry &entry = found->second;
        nlohmann::json item = {{"fingerprint", subject}, {"crashes", nlohmann::json::array()}};
        if (entry.clearedAt != Time::min())
            item["clearedAgeMs"] = age(entry.clearedAt);
        if (entry.provenAt)
            item["provenAgeMs"] = age(*entry.provenAt);
        if (entry.trials > 0) {
            item["trials"] = entry.trials;
            item["trialAgeMs"] = age(entry.lastTrial);
        }
        if (entry.progressAt != Time::min())
            item["progressAgeMs"] = age(entry.progressAt);
        for (const Crash &crash : entry.crashes) {
            // Earlier versions ignore the presences; as crashes they would refuse subjects that were only present.
            item[crash.isPresence ? "presences" : "crashes"].push_back({{"upstream", crash.upstream},
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
        const auto subject = item.at("fingerprint").get<std::string>();
        if (const auto cleared = item.find("clearedAgeMs"); cleared != item.end()) {
            Entry &entry = this->entries[subject];
            // Ages are truncated to milliseconds; the rounding must not make a known clearing look newer.
            const Time at = now - std::chrono::milliseconds(cleared->get<std::int64_t>() + 1);
            if (at > entry.clearedAt + std::chrono::seconds(1) && this->clearCrashes(entry, at))
                this->recordChange(subject, entry, now);
        }
        if (const auto trials = item.find("trials"); trials != item.end()) {
            Entry &entry = this->entries[subject];
            const Time at = now - std::chrono::milliseconds(item.at("trialAgeMs").get<std::int64_t>());
            if (this->applyTrial(entry, trials->get<int>(), at))
                this->recordChange(subject, entry, now);
        }
        if (const auto progress = item.find("progressAgeMs"); progress != item.end()) {
            Entry &entry = this->entries[subject];
            // As above, the truncated age must not make known progress look newer.
            const Time at = now - std::chrono::milliseconds(progress->get<std::int64_t>() + 1);
            if (this->applyProgress(entry, at))
                this->recordChange(subject, entry, now);
        }
        this->addCrashes(subject, item.at("crashes"), false, now);
        this->addCrashes(subject, item.value("presences", nlohmann::json::array()), true, now);
        if (const auto proven = item.find("provenAgeMs"); proven != item.end()) {
            Entry &entry = this->entries[subject];
            if (this->applyProof(entry, now - std::chrono::milliseconds(proven->get<std::int64_t>())))
                this->recordChange(subject, entry, now);
        }
    }
}

void Quarantine::addCrashes(const std::string &subject, const nlohmann::json &crashes, bool arePresences, Time now)
{
    for (const nlohmann::json &crash : crashes) {
        // Crashes that the sender excused are skipped: it may know of deaths that this process does not.
        if (crash.value("excused", false))
            continue;
        const Time time = now - std::chrono::milliseconds(crash.at("ageMs").get<std::int64_t>());
        this->addCrash(subject, {crash.at("upstream"), crash.at("zone"), time, false, false, arePresences}, now);
    }
}

std::size_t Quarantine::size() const
{
    return this->entries.size();
}

} // namespace hemlock
