#include "gossipqueue.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

void GossipQueue::add(const std::string &key, int sends)
{
    this->remaining[key] = sends;
}

std::vector<std::string> GossipQueue::take(std::size_t limit)
{
    std::vector<std::pair<int, std::string>> order;
    order.reserve(this->remaining.size());
    for (const auto &[key, sends] : this->remaining)
        order.emplace_back(-sends, key);
    const std::size_t count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    std::vector<std::string> taken;
    for (std::size_t i = 0; i < count; ++i) {
        taken.push_back(order[i].second);
        const auto match = this->remaining.find(order[i].second);
        if (--match->second <= 0)
            this->remaining.erase(match);
    }
    return taken;
}

int gossipSends(std::size_t nodes)
{
    // A node that sends news s times reaches all but a share of e^-s of the others; the logarithm keeps the expected
    // number of missed nodes below one, and two more sends make up for lost messages.
    constexpr int spareSends = 2;
    return spareSends + static_cast<int>(std::ceil(std::log(static_cast<double>(nodes) + 1.0)));
}

} // namespace hemlock
