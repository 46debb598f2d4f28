#pragma once

#include "entrycontext.h"
#include "handoverstreamstore.h"
#include "rpc.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace hemlock {

/// Hands the open streams of a draining entry process to its peers, and finds those that peers handed over.
///
/// The peer of a stream is the first in rendezvous order of the request identifier, so that any other entry process
/// knows whom to ask.
class StreamHandover
{
public:
    StreamHandover(EntryContext &context, RpcClient &rpc);

    /// Sends each open stream's new tokens to its peer; called repeatedly while draining.
    void send();

    /// Method "holdStreams": {"streams":[...]}; the result is {"held":[number of tokens held, by stream]}.
    nlohmann::json hold(const nlohmann::json &params);

    /// Method "findStream": {"clientAccount","requestId","digest"}; the result is {"tokens":[...]} or {}.
    nlohmann::json find(const nlohmann::json &params);

    /// As FindHandedStream of entrycontext.h.
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
    std::map<RequestKey, std::size_t> sentTokens; ///< Tokens that the peer holds of each own stream.
    std::set<std::string> busyPeers; ///< They have not answered the last message yet.
};

} // namespace hemlock
