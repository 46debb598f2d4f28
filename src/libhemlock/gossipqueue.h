#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// News that is still to be passed on: each piece is sent a limited number of times, the least sent first.
class GossipQueue
{
public:
    /// Adds news about @p key, or starts over with newer news about it.
    void add(const std::string &key, int sends);

    /// Takes up to @p limit keys for one message; each counts as sent once.
    std::vector<std::string> take(std::size_t limit);

private:
    std::map<std::string, int> remainingSends;
};

/// How often a node passes a piece of news on so that it reaches practically all of @p nodes nodes.
int gossipSendCount(std::size_t nodes);

} // namespace hemlock
