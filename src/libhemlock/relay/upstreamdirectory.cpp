#include "relay/upstreamdirectory.h"

#include <set>
#include <utility>

namespace hemlock {

UpstreamDirectory::UpstreamDirectory(UpstreamDirectorySettings settings)
    : settings(settings)
{
}

void UpstreamDirectory::set(const Upstream &upstream)
{
    this->entries[upstream.id] = {upstream, false};
}

void UpstreamDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    // An upstream that announced its shutdown does not register again.
    if (now < this->graceEnd && found->second.upstream.state == UpstreamState::Serving)
        found->second.isMissing = true;
    else
        this->depart(found, now);
}

void UpstreamDirectory::depart(std::map<std::string, Entry>::iterator entry, TimePoint now)
{
    const Upstream &upstream = entry->second.upstream;
    std::erase_if(this->departures,
                  [this, now](const auto &item) { return now - item.second.time > this->settings.departureMemory; });
    this->departures[upstream.id] = {upstream.incarnation, upstream.state == UpstreamState::Leaving, now};
    this->entries.erase(entry);
}

bool UpstreamDirectory::isOutdated(const Upstream &upstream, TimePoint now) const
{
    // Without an incarnation, an upstream that has restarted cannot be told from the one that left.
    if (upstream.incarnation.empty() || upstream.state != UpstreamState::Serving)
        return false;
    if (const auto known = this->entries.find(upstream.id); known != this->entries.end())
        return known->second.upstream.state == UpstreamState::Leaving
            && known->second.upstream.incarnation == upstream.incarnation;
    const auto departure = this->departures.find(upstream.id);
    return departure != this->departures.end() && departure->second.incarnation == upstream.incarnation
        && now - departure->second.time <= this->settings.departureMemory
        && (departure->second.isFinal || now < this->copyEnd);
}

void UpstreamDirectory::replaceAll(const std::vector<Upstream> &upstreams, TimePoint now)
{
    std::set<std::string> listed;
    for (const Upstream &upstream : upstreams) {
        listed.insert(upstream.id);
        if (!this->isOutdated(upstream, now))
            this->set(upstream);
    }
    std::vector<std::string> missing;
    for (const auto &[id, entry] : this->entries) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        this->remove(id, now);
}

void UpstreamDirectory::storeRecovered(TimePoint now)
{
    this->graceEnd = now + this->settings.outageGracePeriod;
}

void UpstreamDirectory::storeRestored(TimePoint now)
{
    this->storeRecovered(now);
    this->copyEnd = now + this->settings.restoreGracePeriod;
    this->isReloadPending = true;
}

bool UpstreamDirectory::takeReloadDue(TimePoint now)
{
    return now >= this->copyEnd && std::exchange(this->isReloadPending, false);
}

bool UpstreamDirectory::expire(TimePoint now)
{
    if (now < this->graceEnd)
        return false;
    std::vector<std::string> missing;
    for (const auto &[id, entry] : this->entries) {
        if (entry.isMissing)
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        this->depart(this->entries.find(id), now);
    return !missing.empty();
}

std::vector<Upstream> UpstreamDirectory::upstreams() const
{
    std::vector<Upstream> list;
    list.reserve(this->entries.size());
    for (const auto &[id, entry] : this->entries)
        list.push_back(entry.upstream);
    return list;
}

} // namespace hemlock
