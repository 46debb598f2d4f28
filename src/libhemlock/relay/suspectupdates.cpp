#include "relay/suspectupdates.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace hemlock {

SuspectUpdates::SuspectUpdates(Quarantine &quarantine, SuspectUpdatesSettings settings)
    : quarantine(quarantine)
    , settings(settings)
{
}

nlohmann::json SuspectUpdates::nextMessage(Audience audience, Time now)
{
    this->collectLocalChanges(now);
    Changes &pending = this->pendingChanges(audience);
    std::erase_if(pending, [this, now](const auto &item) {
        return item.second.sendCount >= this->settings.sendsPerChange
            || now - item.second.queuedAt > this->settings.changeLifetime;
    });
    std::vector<Changes::iterator> candidates;
    for (auto change = pending.begin(); change != pending.end(); ++change)
        candidates.push_back(change);
    const std::size_t count = std::min(candidates.size(), this->settings.entriesPerMessage);
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(),
                      [](const auto &a, const auto &b) { return a->second.sendCount < b->second.sendCount; });
    std::vector<std::string> fingerprints;
    for (std::size_t i = 0; i < count; ++i) {
        ++candidates[i]->second.sendCount;
        fingerprints.push_back(candidates[i]->first);
    }
    return this->quarantine.encodeEntries(fingerprints, now);
}

void SuspectUpdates::applyMessage(const nlohmann::json &message, Audience sender, Time now)
{
    this->collectLocalChanges(now);
    this->quarantine.applyDelta(message, now);
    if (sender == Audience::Neighbours) {
        for (const std::string &fingerprint : this->quarantine.changedAfter(this->processedVersion))
            this->pendingChanges(Audience::OtherZones)[fingerprint] = {0, now};
    }
    this->processedVersion = this->quarantine.currentVersion();
}

void SuspectUpdates::collectLocalChanges(Time now)
{
    for (const std::string &fingerprint : this->quarantine.changedAfter(this->processedVersion)) {
        for (Changes &pending : this->changesByAudience)
            pending[fingerprint] = {0, now};
    }
    this->processedVersion = this->quarantine.currentVersion();
}

SuspectUpdates::Changes &SuspectUpdates::pendingChanges(Audience audience)
{
    return this->changesByAudience[audience == Audience::Neighbours ? 0 : 1];
}

} // namespace hemlock
