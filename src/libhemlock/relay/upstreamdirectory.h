#pragma once

#include "upstream.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

struct UpstreamDirectorySettings
{
    /// Upstreams write entries that expired during an outage of the store again within two seconds of its recovery.
    std::chrono::milliseconds outageGracePeriod{2200};
    /// A restored store drops the entries of upstreams that are gone, and has those that changed written again, within
    /// this time.
    std::chrono::milliseconds restoreGracePeriod{4500};
    /// How long an upstream that has left is remembered; copies of the store are younger.
    std::chrono::seconds departureMemory{60};
};

/// Upstreams that are registered in the store.
///
/// An upstream is removed as soon as its entry disappears. Entries that expired during an outage of the store are the
/// exception: their upstreams stay in use until a grace period after the store's recovery has passed. A store that was
/// restored from an older copy lists upstreams that have left since: they stay gone, and one that leaves goes on
/// leaving.
class UpstreamDirectory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit UpstreamDirectory(UpstreamDirectorySettings settings = {});

    /// Adds or updates an upstream.
    void set(const Upstream &upstream);
    void remove(const std::string &id, TimePoint now);

    /// Replaces all entries after a full read of the store; treats upstreams that are not listed as removed.
    void replaceAll(const std::vector<Upstream> &upstreams, TimePoint now);

    /// Starts the grace period.
    void storeRecovered(TimePoint now);

    /// The store was restored from an older copy; the next full read returns the copy. Starts the grace period as well.
    void storeRestored(TimePoint now);

    /// Whether the entries of a restored store have to be read once more, as its copy's grace period has ended.
    bool takeReloadDue(TimePoint now);

    /// Removes upstreams that are still missing after the grace period; returns whether there were any.
    bool expire(TimePoint now);

    std::vector<Upstream> upstreams() const;

private:
    struct Entry
    {
        Upstream upstream;
        bool isMissing = false;
    };

    /// Upstream that is no longer listed.
    struct Departure
    {
        std::string incarnation;
        bool isFinal = false; ///< It had announced its shutdown.
        TimePoint time;
    };

    /// Whether an entry may stem from the time before its upstream left.
    bool isOutdated(const Upstream &upstream, TimePoint now) const;
    void depart(std::map<std::string, Entry>::iterator entry, TimePoint now);

    UpstreamDirectorySettings settings;
    std::map<std::string, Entry> entries;
    std::map<std::string, Departure> departures; ///< By upstream id.
    TimePoint graceEnd = TimePoint::min();
    TimePoint copyEnd = TimePoint::min(); ///< Until then full reads return an older copy.
    bool isReloadPending = false;
};

} // namespace hemlock
