#include "gossipqueue.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

void GossipQueue::add(const std::string &key, int sends)
{
    this->remainingSends[key] = sends;
}

std::vector<std::string> GossipQueue::take(std::size_t limit)
{
    std::vector<std::pair<int, std::string>> candidates;
    candidates.reserve(this->remainingSends.size());
    for (const auto &[key, sends] : this->remainingSends)
        candidates.emplace_back(-sends, key);
    const std::size_t count = std::min(limit, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    std::vector<std::string> taken;
    for (std::size_t i = 0; i < count; ++i) {
        taken.push_back(candidates[i].second);
        const auto entry = this->remainingSends.find(candidates[i].second);
        if (--entry->second <= 0)
            this->remainingSends.erase(entry);
    }
    return taken;
}

int gossipSendCount(std::size_t nodes)
{
    // When each node sends a change s times, a share of e^-s of the nodes misses it. The logarithm keeps the expected
    // number of missed nodes below one, and two more sends make up for lost messages.
    constexpr int spareSends = 2;
    return spareSends + static_cast<int>(std::ceil(std::log(static_cast<double>(nodes) + 1.0)));
}

} // namespace hemlock
