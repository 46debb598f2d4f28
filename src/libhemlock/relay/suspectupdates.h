#pragma once

#include "quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

struct SuspectUpdatesSettings
{
    /// An entry takes some 130 bytes. Six entries in five messages a second to thirty neighbours use a tenth of a
    /// 10 Mbit/s link.
    std::size_t entriesPerMessage = 6;
    int sendsPerChange = 30; ///< Each change is repeated, as datagrams get lost and links fail for seconds.
    std::chrono::seconds changeLifetime{15}; ///< Older changes are no longer sent.
    /// Every so many messages also hold one strong suspect that has not changed, so that VMs which start later or were
    /// unreachable learn of it.
    int messagesPerRefresh = 5;
};

/// Quarantine changes that are still to be sent to other entry VMs.
///
/// Neighbours are sent only the changes that originate in this process; other availability zones are also sent those
/// that were received from neighbours. If receivers forwarded everything, each change would cross each link as many
/// times as there are VMs. A message holds a limited number of changes, the least sent first, so that its size does not
/// grow with the number of attempts that broke off.
class SuspectUpdates
{
public:
    using Time = Quarantine::Time;

    enum class Audience {
        Neighbours, ///< Peers that exchange updates with this VM directly.
        OtherZones, ///< Other availability zones, through zone updates.
    };

    explicit SuspectUpdates(Quarantine &quarantine, SuspectUpdatesSettings settings = {});

    /// Returns the next message for an audience, in the format of Quarantine::applyDelta(), and counts its changes as
    /// sent.
    nlohmann::json nextMessage(Audience audience, Time now);

    /// Applies a message of a neighbour, or of another availability zone. Throws nlohmann::json::exception for a
    /// malformed message.
    void applyMessage(const nlohmann::json &message, Audience sender, Time now);

private:
    struct Change
    {
        int sendCount = 0;
        Time queuedAt; ///< When this process saw or received the change.
    };

    using Changes = std::map<std::string, Change>; ///< By subject.

    void collectLocalChanges(Time now);
    void addRefresh(std::vector<std::string> &subjects);
    Changes &pendingChanges(Audience audience);

    Quarantine &quarantine;
    SuspectUpdatesSettings settings;
    std::string lastRefreshed; ///< Subject of the last refresh.
    int messagesSinceRefresh = 0;
    std::uint64_t processedVersion = 0; ///< Quarantine version up to which changes are queued.
    std::array<Changes, 2> changesByAudience; ///< Index as in Audience.
};

} // namespace hemlock
