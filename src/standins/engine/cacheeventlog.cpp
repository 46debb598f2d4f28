#include "cacheeventlog.h"

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

constexpr std::size_t maxEvents = 10000;

} // namespace

CacheEventLog::CacheEventLog(std::chrono::milliseconds delay, std::uint64_t dropEveryNth)
    : delay(delay)
    , dropEveryNth(dropEveryNth)
{
}

void CacheEventLog::setDelay(std::chrono::milliseconds delay)
{
    this->delay = delay;
}

void CacheEventLog::setDropEveryNth(std::uint64_t dropEveryNth)
{
    this->dropEveryNth = dropEveryNth;
}

void CacheEventLog::add(const std::string &block, bool isStored, Time now)
{
    const std::uint64_t seq = ++this->lastSeq;
    if (this->dropEveryNth > 0 && seq % this->dropEveryNth == 0)
        return;
    this->events.push_back({seq, block, isStored, now + this->delay});
    if (this->events.size() > maxEvents)
        this->events.pop_front();
}

nlohmann::json CacheEventLog::eventsAfter(std::uint64_t seq, Time now) const
{
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t last = seq;
    for (const Event &event : this->events) {
        if (event.seq <= seq)
            continue;
        if (event.publishTime > now)
            break;
        list.push_back({{"seq", event.seq}, {"type", event.isStored ? "stored" : "removed"}, {"block", event.block}});
        last = event.seq;
    }
    return {{"events", list}, {"last", last}};
}

} // namespace hemlock
