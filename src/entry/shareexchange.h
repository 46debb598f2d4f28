#pragma once

#include "admission.h"
#include "router.h"
#include "rpc.h"
#include "snapshot.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace hemlock {

/// Borrows parts of client accounts' limits from other entry processes, and lends to them. Unreachable peers lend
/// nothing, and what they borrowed lapses, so a process that is cut off uses its own part of each limit only.
class ShareExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ShareExchange(RateLimiter &limiter, RpcClient &peers, RandomEngine &random);

    /// Asks a few random peers for what this process lacks. Called several times within a loan's lease.
    void requestShares(const std::vector<Peer> &peers, TimePoint now);

    /// Answers the method "lendShares": {"requests":[...]} to {"grants":[...]}. Throws nlohmann::json::exception for a
    /// malformed message.
    nlohmann::json lend(const nlohmann::json &params, TimePoint now);

private:
    void acceptGrants(const nlohmann::json &result);

    RateLimiter &limiter;
    RpcClient &peers;
    RandomEngine &random;
};

} // namespace hemlock
