#pragma once

#include "upstream.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// SHA-256 in hex that identifies a request; equal for requests of one client account with the same service and body.
std::string requestFingerprint(const std::string &clientAccount, const std::string &service, const std::string &body);

struct QuarantineSettings
{
    std::size_t crashLimit = 2; ///< Number of crashed upstreams after which a request is refused.
    std::chrono::milliseconds zoneLossWindow{2000}; ///< Deaths in one zone within this time count as a zone loss.
    std::chrono::minutes suspectDuration{10}; ///< How long a request stays suspect after its last change.
    std::chrono::minutes refusalDuration{60}; ///< How long a request stays refused after its last change.
    std::size_t maxEntries = 10000;
};

/// Detects requests that crash the upstreams that run them.
///
/// A request is suspect once an upstream crashed during one of its attempts. A suspect request runs one attempt at a
/// time, on an upstream without another suspect, so that the next crash has only one possible cause; after the second
/// crash it is refused. Crashes do not count when the upstream's reclaim was announced, or when another upstream of the
/// zone that did not run the request died at the same time.
class Quarantine
{
public:
    using Time = std::chrono::steady_clock::time_point;

    enum class Permission {
        Allowed,
        Isolated, ///< Allowed on an upstream that runs no other suspect.
        Wait, ///< Another attempt of this suspect request is running.
        Refused,
    };

    explicit Quarantine(QuarantineSettings settings = {});

    /// Whether an attempt of the request may start now.
    Permission permissionFor(const std::string &fingerprint, Time now);

    /// Attempts are counted by upstream; each start needs a matching end.
    void attemptStarted(const std::string &fingerprint, const std::string &upstream);
    void attemptEnded(const std::string &fingerprint, const std::string &upstream);

    /// Upstreams that run an attempt of a suspect or refused request.
    std::set<std::string> isolatedUpstreams() const;

    /// Records that an upstream crashed during an attempt of the request.
    void requestCrashed(const std::string &fingerprint, const Upstream &upstream, Time now);

    /// Records a complete answer to the request, which clears its earlier crashes.
    void requestSucceeded(const std::string &fingerprint, Time now);

    /// Records the death of an upstream, whether or not this process had attempts there.
    void upstreamDied(const Upstream &upstream, Time now);

    /// Records that the reclaim of an upstream was announced.
    void reclaimAnnounced(const std::string &upstream, Time now);

    /// Entries that changed after a version, as a message for other entry processes: {"version","entries":[...]}.
    nlohmann::json delta(std::uint64_t after, Time now) const;

    /// The same message for given fingerprints; unknown ones are left out.
    nlohmann::json encodeEntries(const std::vector<std::string> &fingerprints, Time now) const;

    /// Version of the last change; grows with each change.
    std::uint64_t currentVersion() const;

    /// Fingerprints of entries that changed after a version, the oldest change first.
    std::vector<std::string> changedAfter(std::uint64_t after) const;

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
    };

    struct Entry
    {
        std::vector<Crash> crashes; ///< At most one per upstream.
        Time clearedAt = Time::min();
        Time updated;
        std::uint64_t version = 0;
    };

    std::size_t countedCrashes(const Entry &entry) const;
    void addCrash(const std::string &fingerprint, const Crash &crash, Time now);
    bool clearCrashes(Entry &entry, Time at) const;
    bool evaluateCrashes(Entry &entry, Time now) const;
    void evaluateAllCrashes(Time now);
    void recordChange(const std::string &fingerprint, Entry &entry, Time now);
    void removeChange(const Entry &entry);
    void expireEntries(Time now);

    QuarantineSettings settings;
    std::map<std::string, Entry> entries;
    std::map<std::uint64_t, std::string> fingerprintsByVersion; ///< By version of the last change.
    std::map<std::string, std::multiset<std::string>> runningAttempts; ///< Upstreams by fingerprint.
    std::deque<Crash> deaths; ///< Of all upstreams, the latest last.
    std::map<std::string, Time> announcedReclaims; ///< Time of the announcement by upstream.
    std::uint64_t version = 0;
    Time lastExpiry;
};

} // namespace hemlock
