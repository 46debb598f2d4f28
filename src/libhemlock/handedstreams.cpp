#include "handedstreams.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

// Long enough for a caller that reconnects with backoff after its entry VM is gone.
constexpr std::chrono::seconds heldTime{60};

// Streams arrive in batches, and a pass over all of them for each would grow with their square.
constexpr std::chrono::seconds expiryInterval{1};

// About 5,000 streams of 800 tokens; a VM that takes over from several draining peers stays within its memory.
constexpr std::size_t maxHeldBytes = std::size_t{32} * 1024 * 1024;

} // namespace

void to_json(nlohmann::json &json, const HandedStream &stream)
{
    json = {{"clientAccount", stream.clientAccount},
            {"requestId", stream.requestId},
            {"digest", stream.digest},
            {"from", stream.from},
            {"tokens", stream.tokens}};
}

void from_json(const nlohmann::json &json, HandedStream &stream)
{
    json.at("clientAccount").get_to(stream.clientAccount);
    json.at("requestId").get_to(stream.requestId);
    json.at("digest").get_to(stream.digest);
    json.at("from").get_to(stream.from);
    json.at("tokens").get_to(stream.tokens);
}

std::size_t HandedStreams::hold(const HandedStream &stream, Time now)
{
    this->expire(now);
    Held &held = this->streams[{stream.clientAccount, stream.requestId}];
    if (held.digest != stream.digest) {
        this->bytes -= held.bytes;
        held = {stream.digest, {}, 0, now};
    }
    held.updated = now;
    if (stream.from > held.tokens.size())
        return held.tokens.size();
    for (std::size_t i = held.tokens.size() - stream.from; i < stream.tokens.size(); ++i) {
        const std::size_t size = stream.tokens[i].size() + sizeof(std::string);
        if (this->bytes + size > maxHeldBytes)
            break;
        held.tokens.push_back(stream.tokens[i]);
        held.bytes += size;
        this->bytes += size;
    }
    return held.tokens.size();
}

std::optional<std::vector<std::string>>
HandedStreams::find(const std::string &clientAccount, const std::string &requestId, const std::string &digest, Time now)
{
    this->expire(now);
    const auto found = this->streams.find({clientAccount, requestId});
    if (found == this->streams.end() || found->second.digest != digest)
        return std::nullopt;
    return found->second.tokens;
}

std::size_t HandedStreams::size() const
{
    return this->streams.size();
}

void HandedStreams::expire(Time now)
{
    if (now - this->lastExpiry < expiryInterval)
        return;
    this->lastExpiry = now;
    for (auto stream = this->streams.begin(); stream != this->streams.end();) {
        if (now - stream->second.updated <= heldTime) {
            ++stream;
            continue;
        }
        this->bytes -= stream->second.bytes;
        stream = this->streams.erase(stream);
    }
}

std::vector<std::string> rendezvousOrder(const std::string &key, std::vector<std::string> members)
{
    std::vector<std::pair<std::string, std::string>> ranked;
    ranked.reserve(members.size());
    for (std::string &member : members) {
        std::string rank = sha256Hex(key + "\n" + member);
        ranked.emplace_back(std::move(rank), std::move(member));
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto &[rank, member] : ranked)
        order.push_back(std::move(member));
    return order;
}

} // namespace hemlock
