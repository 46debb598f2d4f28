#include "relay/suspectnews.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace hemlock {

SuspectNews::SuspectNews(Quarantine &quarantine, SuspectNewsSettings settings)
    : quarantine(quarantine)
    , settings(settings)
{
}

nlohmann::json SuspectNews::next(Audience audience, Time now)
{
    this->noteOwn(now);
    Changes &pending = this->changesFor(audience);
    std::erase_if(pending, [this, now](const auto &item) {
        return item.second.told >= this->settings.repeats || now - item.second.since > this->settings.lifetime;
    });
    std::vector<Changes::iterator> order;
    for (auto change = pending.begin(); change != pending.end(); ++change)
        order.push_back(change);
    const std::size_t count = std::min(order.size(), this->settings.entriesPerMessage);
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(),
                      [](const auto &a, const auto &b) { return a->second.told < b->second.told; });
    std::vector<std::string> fingerprints;
    for (std::size_t i = 0; i < count; ++i) {
        ++order[i]->second.told;
        fingerprints.push_back(order[i]->first);
    }
    return this->quarantine.describe(fingerprints, now);
}

void SuspectNews::received(const nlohmann::json &message, Audience sender, Time now)
{
    this->noteOwn(now);
    this->quarantine.applyDelta(message, now);
    if (sender == Audience::Neighbours) {
        for (const std::string &fingerprint : this->quarantine.changedAfter(this->seen))
            this->changesFor(Audience::OtherZones)[fingerprint] = {0, now};
    }
    this->seen = this->quarantine.currentVersion();
}

void SuspectNews::noteOwn(Time now)
{
    for (const std::string &fingerprint : this->quarantine.changedAfter(this->seen)) {
        for (Changes &pending : this->changes)
            pending[fingerprint] = {0, now};
    }
    this->seen = this->quarantine.currentVersion();
}

SuspectNews::Changes &SuspectNews::changesFor(Audience audience)
{
    return this->changes[audience == Audience::Neighbours ? 0 : 1];
}

} // namespace hemlock
