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
};

/// Upstreams that are registered in the store.
///
/// An upstream is removed as soon as its entry disappears. Entries that expired during an outage of the store are the
/// exception: their upstreams stay in use until a grace period after the store's recovery has passed.
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

    /// Removes upstreams that are still missing after the grace period; returns whether there were any.
    bool expire(TimePoint now);

    std::vector<Upstream> upstreams() const;

private:
    struct Entry
    {
        Upstream upstream;
        bool isMissing = false;
    };

    UpstreamDirectorySettings settings;
    std::map<std::string, Entry> entries;
    TimePoint graceEnd = TimePoint::min();
};

} // namespace hemlock
