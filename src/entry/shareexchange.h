#pragma once

#include "admission.h"
#include "router.h"
#include "rpc.h"
#include "snapshot.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace hemlock {

/// Borrows shares of client accounts' rate limits from other entry processes and lends to them. Unreachable peers lend
/// nothing and their loans expire, so a process that is partitioned uses only its own share of each limit.
class ShareExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ShareExchange(RateLimiter &limiter, RpcClient &peers, RandomEngine &random);

    /// Requests missing shares from a few random peers. Called several times within the lease of a loan.
    void requestShares(const std::vector<Peer> &peers, TimePoint now);

    /// Handles the RPC method "lendShares": {"requests":[...]}; the result is {"grants":[...]}. Throws
    /// nlohmann::json::exception for a malformed message.
    nlohmann::json lend(const nlohmann::json &params, TimePoint now);

private:
    void acceptGrants(const nlohmann::json &result);

    RateLimiter &limiter;
    RpcClient &peers;
    RandomEngine &random;
};

} // namespace hemlock
