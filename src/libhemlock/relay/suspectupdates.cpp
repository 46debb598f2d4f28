#include "relay/suspectupdates.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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
    std::vector<std::string> subjects;
    for (std::size_t i = 0; i < count; ++i) {
        ++candidates[i]->second.sendCount;
        subjects.push_back(candidates[i]->first);
    }
    this->addRefresh(subjects);
    return this->quarantine.encodeEntries(subjects, now);
}

void SuspectUpdates::applyMessage(const nlohmann::json &message, Audience sender, Time now)
{
    this->collectLocalChanges(now);
    this->quarantine.applyDelta(message, now);
    if (sender == Audience::Neighbours) {
        for (const std::string &subject : this->quarantine.changedAfter(this->processedVersion))
            this->pendingChanges(Audience::OtherZones)[subject] = {0, now};
    }
    this->processedVersion = this->quarantine.currentVersion();
}

void SuspectUpdates::addRefresh(std::vector<std::string> &subjects)
{
    if (++this->messagesSinceRefresh < this->settings.messagesPerRefresh)
        return;
    this->messagesSinceRefresh = 0;
    this->lastRefreshed = this->quarantine.nextStrongSuspect(this->lastRefreshed);
    if (!this->lastRefreshed.empty()
        && std::find(subjects.begin(), subjects.end(), this->lastRefreshed) == subjects.end())
        subjects.push_back(this->lastRefreshed);
}

void SuspectUpdates::collectLocalChanges(Time now)
{
    for (const std::string &subject : this->quarantine.changedAfter(this->processedVersion)) {
        for (Changes &pending : this->changesByAudience)
            pending[subject] = {0, now};
    }
    this->processedVersion = this->quarantine.currentVersion();
}

SuspectUpdates::Changes &SuspectUpdates::pendingChanges(Audience audience)
{
    return this->changesByAudience[audience == Audience::Neighbours ? 0 : 1];
}

} // namespace hemlock
