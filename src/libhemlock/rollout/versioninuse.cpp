#include "rollout/versioninuse.h"

namespace hemlock {

void VersionInUse::observe(const std::map<std::string, std::size_t> &serving)
{
    if (this->isRecorded || !this->inUse.empty())
        return;
    std::size_t most = 0;
    for (const auto &[version, count] : serving) {
        if (version.empty() || count <= most)
            continue;
        most = count;
        this->inUse = version;
    }
}

void VersionInUse::apply(const RolloutRecord &record)
{
    if (record.versionInUse.empty())
        return;
    this->isRecorded = true;
    this->inUse = record.phase == RolloutPhase::Completed ? record.order.target : record.versionInUse;
}

const std::string &VersionInUse::version() const
{
    return this->inUse;
}

bool VersionInUse::isInUse(const std::string &version) const
{
    return version.empty() || version == this->inUse;
}

} // namespace hemlock
