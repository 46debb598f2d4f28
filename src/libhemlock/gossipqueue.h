#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Keys of changed records that are still to be gossiped. Each is sent a limited number of times; those with the most
/// remaining sends go first.
class GossipQueue
{
public:
    /// Queues @p key for @p sends messages. Replaces the remaining count of a key that is already queued.
    void add(const std::string &key, int sends);

    /// Takes up to @p limit keys for one message; each counts as sent once.
    std::vector<std::string> take(std::size_t limit);

private:
    std::map<std::string, int> remainingSends;
};

/// Number of times each node has to send a change so that it reaches practically all of @p nodes nodes.
int gossipSendCount(std::size_t nodes);

} // namespace hemlock
