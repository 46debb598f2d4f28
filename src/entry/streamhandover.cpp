#include "streamhandover.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds rpcTimeout{1000};

// The first peer may have left since the handover, and the draining process itself may come first in this order.
constexpr std::size_t maxAskedPeers = 3;

// Keeps a message well below one megabyte for answers of typical length.
constexpr std::size_t streamsPerMessage = 100;

std::vector<std::string> peerIds(const std::vector<Peer> &peers)
{
    std::vector<std::string> ids;
    ids.reserve(peers.size());
    for (const Peer &peer : peers)
        ids.push_back(peer.id);
    return ids;
}

} // namespace

StreamHandover::StreamHandover(EntryContext &context, RpcClient &rpc)
    : context(context)
    , rpc(rpc)
{
}

void StreamHandover::send()
{
    const std::vector<Peer> &peers = this->context.configuration.snapshot().peers;
    if (peers.empty())
        return;
    const std::vector<std::string> ids = peerIds(peers);
    std::map<std::string, std::vector<HandoverStream>> byPeer;
    this->context.calls.forEach([&](OpenCall &call) {
        const auto position = call.streamPosition();
        if (!position)
            return;
        const std::size_t sent = this->sentTokens[{position->clientAccount, position->requestId}];
        if (position->tokens->size() <= sent)
            return;
        auto &streams = byPeer[rendezvousOrder(position->requestId, ids).front()];
        if (streams.size() >= streamsPerMessage)
            return;
        streams.push_back({position->clientAccount,
                           position->requestId,
                           position->digest,
                           sent,
                           {position->tokens->begin() + static_cast<std::ptrdiff_t>(sent), position->tokens->end()}});
    });
    for (const Peer &peer : peers) {
        if (const auto streams = byPeer.find(peer.id); streams != byPeer.end() && !this->busyPeers.contains(peer.id))
            this->sendTo(peer, std::move(streams->second));
    }
}

void StreamHandover::sendTo(const Peer &peer, std::vector<HandoverStream> streams)
{
    this->busyPeers.insert(peer.id);
    std::vector<RequestKey> keys;
    for (const HandoverStream &stream : streams)
        keys.emplace_back(stream.clientAccount, stream.requestId);
    this->rpc.call(
        peer.entryControlAddress,
        "holdStreams",
        {{"streams", streams}},
        rpcTimeout,
        [this, id = peer.id, keys = std::move(keys)](const RpcOutcome &outcome) {
            this->busyPeers.erase(id);
            if (!outcome.succeeded) {
                logEvent(LogLevel::Warning, "streams-not-handed-over", {{"peer", id}, {"error", outcome.error}});
                return;
            }
            const auto counts = outcome.result.value("held", std::vector<std::size_t>());
            for (std::size_t i = 0; i < std::min(keys.size(), counts.size()); ++i)
                this->sentTokens[keys[i]] = counts[i];
            logEvent(LogLevel::Info, "streams-handed-over", {{"peer", id}, {"streams", keys.size()}});
        });
}

nlohmann::json StreamHandover::hold(const nlohmann::json &params)
{
    nlohmann::json counts = nlohmann::json::array();
    for (const nlohmann::json &stream : params.at("streams"))
        counts.push_back(this->heldStreams.store(stream.get<HandoverStream>(), std::chrono::steady_clock::now()));
    return {{"held", counts}};
}

nlohmann::json StreamHandover::find(const nlohmann::json &params)
{
    const HandedOverTokens tokens =
        this->findLocal({params.at("clientAccount"), params.at("requestId"), params.at("digest"), nullptr});
    return tokens ? nlohmann::json{{"tokens", *tokens}} : nlohmann::json::object();
}

HandedOverTokens StreamHandover::findLocal(const StreamPosition &stream)
{
    if (const auto call = this->context.calls.find(stream.clientAccount, stream.requestId)) {
        const auto position = call->streamPosition();
        if (position && position->digest == stream.digest)
            return *position->tokens;
    }
    return this->heldStreams.find(
        stream.clientAccount, stream.requestId, stream.digest, std::chrono::steady_clock::now());
}

void StreamHandover::askPeers(const StreamPosition &stream, const std::function<void(const HandedOverTokens &)> &done)
{
    if (const HandedOverTokens tokens = this->findLocal(stream)) {
        done(tokens);
        return;
    }
    const std::vector<Peer> &peers = this->context.configuration.snapshot().peers;
    std::vector<std::string> addresses;
    for (const std::string &id : rendezvousOrder(stream.requestId, peerIds(peers))) {
        if (addresses.size() == maxAskedPeers)
            break;
        const auto peer = std::find_if(peers.begin(), peers.end(), [&id](const Peer &peer) { return peer.id == id; });
        addresses.push_back(peer->entryControlAddress);
    }
    // askNextPeer() takes addresses from the end.
    std::reverse(addresses.begin(), addresses.end());
    this->askNextPeer(stream, std::move(addresses), done);
}

void StreamHandover::askNextPeer(const StreamPosition &stream,
                                 std::vector<std::string> addresses,
                                 const std::function<void(const HandedOverTokens &)> &done)
{
    if (addresses.empty()) {
        done(std::nullopt);
        return;
    }
    const std::string address = std::move(addresses.back());
    addresses.pop_back();
    this->rpc.call(
        address,
        "findStream",
        {{"clientAccount", stream.clientAccount}, {"requestId", stream.requestId}, {"digest", stream.digest}},
        rpcTimeout,
        [this, stream, addresses = std::move(addresses), done](const RpcOutcome &outcome) {
            if (outcome.succeeded && outcome.result.contains("tokens"))
                done(outcome.result["tokens"].get<std::vector<std::string>>());
            else
                this->askNextPeer(stream, addresses, done);
        });
}

} // namespace hemlock
