#include "shareexchange.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

/// Enough to find a lender among six peers; later rounds reach other peers.
constexpr std::size_t peersPerRound = 3;
/// A late grant is useless, since the loan's lease starts with the request.
constexpr std::chrono::milliseconds grantTimeout{500};

json encodeRequest(const ShareRequest &request)
{
    return {{"clientAccount", request.clientAccount},
            {"from", request.from},
            {"sequence", request.sequence},
            {"shortage", request.shortage}};
}

ShareRequest decodeRequest(const json &object)
{
    return {object.at("clientAccount"), object.at("from"), object.at("sequence"), object.at("shortage")};
}

json encodeGrant(const ShareGrant &grant)
{
    return {{"clientAccount", grant.clientAccount},
            {"from", grant.from},
            {"requestSequence", grant.requestSequence},
            {"tokensPerSecond", grant.tokensPerSecond}};
}

ShareGrant decodeGrant(const json &object)
{
    return {object.at("clientAccount"), object.at("from"), object.at("requestSequence"), object.at("tokensPerSecond")};
}

} // namespace

ShareExchange::ShareExchange(RateLimiter &limiter, RpcClient &peers, RandomEngine &random)
    : limiter(limiter)
    , peers(peers)
    , random(random)
{
}

void ShareExchange::requestShares(const std::vector<Peer> &peers, TimePoint now)
{
    if (peers.empty())
        return;
    json requests = json::array();
    for (const ShareRequest &request : this->limiter.createRequests(now))
        requests.push_back(encodeRequest(request));
    if (requests.empty())
        return;
    std::vector<Peer> selectedPeers;
    std::sample(peers.begin(), peers.end(), std::back_inserter(selectedPeers), peersPerRound, this->random);
    for (const Peer &peer : selectedPeers) {
        this->peers.call(peer.entryControlAddress,
                         "lendShares",
                         {{"requests", requests}},
                         grantTimeout,
                         [this](const RpcOutcome &outcome) {
                             if (outcome.succeeded)
                                 this->acceptGrants(outcome.result);
                         });
    }
}

json ShareExchange::lend(const json &params, TimePoint now)
{
    json grants = json::array();
    for (const json &request : params.at("requests")) {
        const auto grant = this->limiter.grantLoan(decodeRequest(request), now);
        if (grant)
            grants.push_back(encodeGrant(*grant));
    }
    return {{"grants", grants}};
}

void ShareExchange::acceptGrants(const json &result)
{
    try {
        for (const json &grant : result.at("grants"))
            this->limiter.acceptLoan(decodeGrant(grant), std::chrono::steady_clock::now());
    } catch (const json::exception &) {
        // A malformed result, for example from a peer of another version, counts as no grant.
        return;
    }
}

} // namespace hemlock
