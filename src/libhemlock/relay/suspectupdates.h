#pragma once

#include "quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

struct SuspectUpdatesSettings
{
    /// Some 130 bytes each. With five messages a second to thirty neighbours, a tenth of a link of 10 Mbit/s.
    std::size_t entriesPerMessage = 6;
    int sendsPerChange = 30; ///< Messages that name a change, since datagrams are lost and links are cut for seconds.
    std::chrono::seconds changeLifetime{15}; ///< A change that is older is not told any more.
};

/// What a process has yet to tell the other entry VMs of requests that crashed upstreams.
///
/// Only what this process saw itself is told to its neighbours, and what it heard of them to other availability zones:
/// if receivers told everything on, each change would cross each link as many times as there are VMs. A message holds a
/// few changes, those that were told least first, so that its size does not grow with the number of broken attempts.
class SuspectUpdates
{
public:
    using Time = Quarantine::Time;

    enum class Audience {
        Neighbours,
        OtherZones,
    };

    explicit SuspectUpdates(Quarantine &quarantine, SuspectUpdatesSettings settings = {});

    /// The next message for an audience, as for Quarantine::applyDelta().
    nlohmann::json nextMessage(Audience audience, Time now);

    /// Takes over a message of a neighbour, or of another availability zone. Throws nlohmann::json::exception for a
    /// malformed one.
    void applyMessage(const nlohmann::json &message, Audience sender, Time now);

private:
    struct Change
    {
        int sendCount = 0;
        Time queuedAt;
    };

    using Changes = std::map<std::string, Change>; ///< By fingerprint.

    void collectLocalChanges(Time now);
    Changes &pendingChanges(Audience audience);

    Quarantine &quarantine;
    SuspectUpdatesSettings settings;
    std::uint64_t processedVersion = 0; ///< Version of the quarantine.
    std::array<Changes, 2> changesByAudience; ///< By audience.
};

} // namespace hemlock
