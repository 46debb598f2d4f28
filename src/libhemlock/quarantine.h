#pragma once

#include "upstream.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// SHA-256 in hex that identifies a request; equal for requests of one client account with the same service and body.
std::string requestFingerprint(const std::string &clientAccount, const std::string &service, const std::string &body);

struct QuarantineSettings
{
    std::size_t crashLimit = 2; ///< Number of crashed upstreams after which a subject is refused.
    /// The same for a proven subject: one that succeeded in the provenDuration before its first crash.
    std::size_t provenCrashLimit = 2;
    std::chrono::seconds provenDuration{0}; ///< 0 if no subject is proven.
    /// Number of incidents at which a subject was present, without a success since, after which it is refused, or of
    /// crashes in two incidents or more that exceed it; 0 if presence does not count.
    std::size_t presenceLimit = 0;
    /// Crashes within this time are one incident: a reset of many connections says nothing about what they carried.
    std::chrono::milliseconds incidentWindow{0};
    std::chrono::milliseconds zoneLossWindow{2000}; ///< Deaths in one zone within this time count as a zone loss.
    /// Later crashes of an upstream whose crash is known count as well, as it has restarted since.
    std::chrono::milliseconds minRestartTime = std::chrono::hours(24);
    std::chrono::minutes suspectDuration{10}; ///< How long a subject stays suspect after its last change.
    std::chrono::minutes refusalDuration{60}; ///< How long a subject stays refused after its last change.
    /// Time from the last crash of a refused subject to its first trial, up to twice as long at some entry VMs; 0 for
    /// no trials.
    std::chrono::milliseconds trialDelay{0};
    /// The same if all its crashes may as well be due to other subjects, so that only a trial tells.
    std::chrono::milliseconds distinguishingTrialDelay{0};
    int trialDelayFactor = 6; ///< Growth of the delay with each trial.
    std::chrono::milliseconds maxTrialDelay = std::chrono::minutes(30);
    std::string trialSeed; ///< Differs between entry VMs, so that their trials are not due at the same time.
    std::size_t maxEntries = 10000;
    std::size_t maxCrashesPerEntry = 4; ///< The oldest are dropped; bounds the size of messages.
};

/// Detects subjects that crash upstreams: whole requests, or parts that requests have in common.
///
/// A subject is suspect once an upstream crashed during an attempt with it. A suspect request runs one attempt at a
/// time, on an upstream without another suspect, so that the next crash has only one possible cause; after the second
/// crash it is refused. Crashes do not count when the upstream's reclaim was announced, or when another upstream of the
/// zone that did not run the subject died at the same time. A success clears the crashes before it.
///
/// Attempts with several subjects blame all of them for a crash. A subject is not refused for crashes that another one
/// explains: one that had the same crashes and more, or that is not proven while this one is.
///
/// Evidence has two strengths. A crash counts fully if the attempt shows that the subject is a likely cause; otherwise
/// the subject was only present. Presence alone says little, but a subject that was present at incident after incident
/// and in no complete answer since is refused as well, whatever the stage at which its attempts break.
///
/// A refused subject may get trials, as it is harmless again once the upstreams are repaired. The entry VM whose trial
/// is due first tells the others, which then wait for the next one.
class Quarantine
{
public:
    using Time = std::chrono::steady_clock::time_point;

    enum class Permission {
        Allowed,
        Isolated, ///< Allowed on an upstream that runs no other suspect.
        Wait, ///< Another attempt of this suspect request is running.
        Refused,
        Trial, ///< Refused, but a single attempt may start now; see startTrial().
    };

    /// Called when a subject becomes a strong suspect or ceases to be one, with its number of crashes. A strong suspect
    /// had crashLimit crashes or presenceLimit incidents; it is refused unless it is proven or another one explains
    /// them.
    using SuspicionHook = std::function<void(const std::string &subject, bool isStrong, std::size_t crashes)>;

    explicit Quarantine(QuarantineSettings settings = {});

    void setSuspicionHook(SuspicionHook hook);

    /// Whether an attempt with the subject may start now.
    Permission permissionFor(const std::string &subject, Time now);

    /// Whether attempts with the subject are refused, except for trials.
    bool isRefused(const std::string &subject) const;

    /// Whether this process itself recorded a crash of the subject, or the success that cleared its crashes.
    bool hasOwnEvidence(const std::string &subject) const;

    /// Records the start of a trial; the subject is refused until the next one is due.
    void startTrial(const std::string &subject, Time now);

    /// Time for which the next trial of a refused subject has been due.
    std::chrono::milliseconds trialOverdue(const std::string &subject, Time now) const;

    /// Time until the next trial of a refused subject; without trials, how long a refusal lasts.
    std::chrono::milliseconds trialWait(const std::string &subject, Time now) const;

    /// Attempts are counted by upstream; each start needs a matching end.
    void attemptStarted(const std::string &subject, const std::string &upstream);
    void attemptEnded(const std::string &subject, const std::string &upstream);

    /// Upstreams that run an attempt with a suspect or refused subject.
    std::set<std::string> isolatedUpstreams() const;

    /// Records that an upstream crashed during an attempt with the subject.
    void recordCrash(const std::string &subject, const Upstream &upstream, Time now);

    /// Records that an upstream crashed during an attempt with the subject which does not show who caused it.
    void recordPresence(const std::string &subject, const Upstream &upstream, Time now);

    /// Records that an upstream went on to answer an attempt with the subject from @p time on: in the crashes before,
    /// the subject was present at most.
    void recordProgress(const std::string &subject, Time time, Time now);

    /// Records that an attempt with the subject succeeded, which clears the crashes before @p time: the moment at which
    /// its upstream had done what crashes others.
    void recordSuccess(const std::string &subject, Time time, Time now);

    /// The same, but the success does not count as a proof; for subjects that are hardly ever seen again.
    void clearSuspicion(const std::string &subject, Time time, Time now);

    /// Records the death of an upstream, whether or not this process had attempts there.
    void upstreamDied(const Upstream &upstream, Time now);

    /// Records that the reclaim of an upstream was announced.
    void reclaimAnnounced(const std::string &upstream, Time now);

    /// Entries that changed after a version, as a message for other entry processes: {"version","entries":[...]}.
    nlohmann::json delta(std::uint64_t after, Time now) const;

    /// The same message for given subjects; unknown ones are left out.
    nlohmann::json encodeEntries(const std::vector<std::string> &subjects, Time now) const;

    /// Version of the last change; grows with each change.
    std::uint64_t currentVersion() const;

    /// Fingerprints of entries that changed after a version, the oldest change first.
    std::vector<std::string> changedAfter(std::uint64_t after) const;

    /// The strong suspect that follows @p previous in a fixed order that starts again at its end; empty if none is.
    std::string nextStrongSuspect(const std::string &previous) const;

    /// Applies a message of another entry process. Throws nlohmann::json::exception for a malformed message.
    void applyDelta(const nlohmann::json &message, Time now);

    std::size_t size() const;

private:
    struct Crash
    {
        std::string upstream;
        std::string zone;
        Time time;
        bool isExcused = false; ///< Has another cause, so it does not count.
        bool isOwn = false; ///< Recorded by this process.
        bool isPresence = false; ///< The subject was present; nothing shows that it is the cause.
    };

    /// Which crashes of an entry a decision is based on.
    enum class Evidence {
        Crashes, ///< Those of which the subject is a likely cause.
        Presence, ///< All of them.
    };

    struct Entry
    {
        std::vector<Crash> crashes; ///< The oldest first.
        Time clearedAt = Time::min();
        Time progressAt = Time::min(); ///< In crashes until then, the subject was present at most.
        bool isClearedByOwn = false; ///< A success that this process recorded cleared the crashes.
        std::optional<Time> provenAt; ///< Last known success before the crashes.
        int trials = 0; ///< Since the last success.
        Time lastTrial{};
        Time updated;
        std::uint64_t version = 0;
    };

    bool isRefused(const std::string &subject, const Entry &entry) const;
    bool isExplained(const std::string &subject, const Entry &entry, Evidence evidence) const;
    bool isAmbiguous(const std::string &subject, const Entry &entry) const;
    static bool counts(const Crash &crash, Evidence evidence);
    bool includesCrash(const Entry &entry, const Crash &crash, Evidence evidence) const;
    bool includesCrashes(const Entry &entry, const Entry &included, Evidence evidence) const;
    bool isSameCrash(const Crash &a, const Crash &b) const;
    /// Whether an entry has a crash, in whatever strength.
    bool hasCrash(const Entry &entry, const Crash &crash) const;
    /// Whether an entry reaches the limits of a subject that is not proven.
    bool isStrongSuspect(const Entry &entry) const;
    std::size_t crashCount(const Entry &entry, Evidence evidence) const;
    std::size_t incidentCount(const Entry &entry) const;
    bool reachesLimit(const Entry &entry, Evidence evidence) const;
    /// The entry; that of a proven subject without the crashes at which a suspect was present that is not proven.
    Entry withoutExplainedCrashes(const std::string &subject, const Entry &entry) const;
    /// Whether another strong suspect fulfils a condition.
    bool hasOtherSuspect(const std::string &subject, const std::function<bool(const Entry &other)> &condition) const;
    Time nextTrial(const std::string &subject, const Entry &entry) const;
    /// Whether the crash that ended the latest trial may have been caused by another strong suspect.
    bool isTrialExplained(const std::string &subject, const Entry &entry) const;
    /// Adds what is known of earlier successes to an entry; returns whether that is news.
    bool applyProof(Entry &entry, Time at) const;
    bool applyTrial(Entry &entry, int trials, Time at) const;
    void updateSuspicion(const std::string &subject, const Entry &entry);
    void addCrash(const std::string &subject, Crash crash, Time now);
    /// Drops the crash that tells least.
    void dropCrash(Entry &entry) const;
    /// Adds the crashes of a message, in its format.
    void addCrashes(const std::string &subject, const nlohmann::json &crashes, bool arePresences, Time now);
    bool clearCrashes(Entry &entry, Time at) const;
    /// Returns whether a crash counts less than before.
    bool applyProgress(Entry &entry, Time at) const;
    bool evaluateCrashes(Entry &entry, Time now) const;
    void evaluateAllCrashes(Time now);
    void recordChange(const std::string &subject, Entry &entry, Time now);
    void forget(const std::string &subject, const Entry &entry);
    void expireEntries(Time now);

    QuarantineSettings settings;
    std::map<std::string, Entry> entries;
    std::map<std::uint64_t, std::string> subjectsByVersion; ///< By version of the last change.
    std::set<std::string> strongSuspects;
    std::unordered_map<std::string, Time> provenSubjects; ///< Time of the last success.
    SuspicionHook suspicionChanged;
    std::map<std::string, std::multiset<std::string>> runningAttempts; ///< Upstreams by subject.
    std::deque<Crash> deaths; ///< Of all upstreams, the latest last.
    std::map<std::string, Time> announcedReclaims; ///< Time of the announcement by upstream.
    std::uint64_t version = 0;
    Time lastExpiry;
};

} // namespace hemlock
