#pragma once

#include "entrycontext.h"
#include "handoverstreamstore.h"
#include "rpc.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hemlock {

/// Copies the open streams of a draining entry process to its peers, and finds the streams that peers handed over.
///
/// A stream goes to the first peer in the rendezvous order of its request identifier, so that any other entry process
/// can determine which peers to query.
class StreamHandover
{
public:
    StreamHandover(EntryContext &context, RpcClient &rpc);

    /// Sends each open stream's new tokens to its peer; called repeatedly while draining.
    void send();

    /// RPC method "holdStreams": {"streams":[...]}; the result is {"held":[number of tokens held, by stream]}.
    nlohmann::json hold(const nlohmann::json &params);

    /// RPC method "findStream": {"clientAccount","requestId","digest"}; the result is {"tokens":[...]} or {}.
    nlohmann::json find(const nlohmann::json &params);

    /// Implements FindHandedOverStream of entrycontext.h.
    void askPeers(const StreamPosition &stream, const std::function<void(const HandedOverTokens &)> &done);

private:
    using RequestKey = std::pair<std::string, std::string>;

    void sendTo(const Peer &peer, std::vector<HandoverStream> streams);
    HandedOverTokens findLocal(const StreamPosition &stream);
    void askNextPeer(const StreamPosition &stream,
                     std::vector<std::string> addresses,
                     const std::function<void(const HandedOverTokens &)> &done);

    EntryContext &context;
    RpcClient &rpc;
    HandoverStreamStore heldStreams;
    std::map<RequestKey, std::size_t>
        sentTokens; ///< Number of tokens that the peer holds of each stream of this process.
    std::set<std::string> busyPeers; ///< Identifiers of peers that have not answered the last message yet.
};

} // namespace hemlock
