#include "handoverstreamstore.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

// Long enough for a caller that reconnects with backoff after its entry VM is gone.
constexpr std::chrono::seconds retention{60};

// Streams arrive in batches; an expiry pass for each stream would make the cost of a batch quadratic.
constexpr std::chrono::seconds expiryInterval{1};

// Holds about 5,000 streams of 800 tokens. Bounds the memory of a VM that takes over from several draining peers.
constexpr std::size_t maxStoredBytes = std::size_t{32} * 1024 * 1024;

} // namespace

void to_json(nlohmann::json &json, const HandoverStream &stream)
{
    json = {{"clientAccount", stream.clientAccount},
            {"requestId", stream.requestId},
            {"digest", stream.digest},
            {"from", stream.from},
            {"tokens", stream.tokens}};
}

void from_json(const nlohmann::json &json, HandoverStream &stream)
{
    json.at("clientAccount").get_to(stream.clientAccount);
    json.at("requestId").get_to(stream.requestId);
    json.at("digest").get_to(stream.digest);
    json.at("from").get_to(stream.from);
    json.at("tokens").get_to(stream.tokens);
}

std::size_t HandoverStreamStore::store(const HandoverStream &stream, Time now)
{
    this->expire(now);
    StoredStream &stored = this->streams[{stream.clientAccount, stream.requestId}];
    if (stored.digest != stream.digest) {
        this->bytes -= stored.bytes;
        stored = {stream.digest, {}, 0, now};
    }
    stored.updated = now;
    if (stream.from > stored.tokens.size())
        return stored.tokens.size();
    for (std::size_t i = stored.tokens.size() - stream.from; i < stream.tokens.size(); ++i) {
        const std::size_t size = stream.tokens[i].size() + sizeof(std::string);
        if (this->bytes + size > maxStoredBytes)
            break;
        stored.tokens.push_back(stream.tokens[i]);
        stored.bytes += size;
        this->bytes += size;
    }
    return stored.tokens.size();
}

std::optional<std::vector<std::string>> HandoverStreamStore::find(const std::string &clientAccount,
                                                                  const std::string &requestId,
                                                                  const std::string &digest,
                                                                  Time now)
{
    this->expire(now);
    const auto found = this->streams.find({clientAccount, requestId});
    if (found == this->streams.end() || found->second.digest != digest)
        return std::nullopt;
    return found->second.tokens;
}

std::size_t HandoverStreamStore::size() const
{
    return this->streams.size();
}

void HandoverStreamStore::expire(Time now)
{
    if (now - this->lastExpiry < expiryInterval)
        return;
    this->lastExpiry = now;
    for (auto stream = this->streams.begin(); stream != this->streams.end();) {
        if (now - stream->second.updated <= retention) {
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
