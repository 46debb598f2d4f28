#include "relay/upstreamdirectory.h"

#include <set>

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
        this->entries.erase(found);
}

void UpstreamDirectory::replaceAll(const std::vector<Upstream> &upstreams, TimePoint now)
{
    std::set<std::string> listed;
    for (const Upstream &upstream : upstreams) {
        listed.insert(upstream.id);
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

bool UpstreamDirectory::expire(TimePoint now)
{
    if (now < this->graceEnd)
        return false;
    return std::erase_if(this->entries, [](const auto &entry) { return entry.second.isMissing; }) > 0;
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
