#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// State of a streamed answer that a draining entry process hands over to a peer.
struct HandoverStream
{
    std::string clientAccount;
    std::string requestId;
    std::string digest; ///< Digest of the request body, so that a request with another body cannot resume the answer.
    std::size_t from = 0; ///< Index of the first token in tokens: the number of tokens sent to the peer before.
    std::vector<std::string> tokens; ///< Texts of the tokens from this index on.
};

void to_json(nlohmann::json &json, const HandoverStream &stream);
void from_json(const nlohmann::json &json, HandoverStream &stream);

/// Stores the streams handed over by peers until their callers reconnect to read the rest. Limited in time and memory.
class HandoverStreamStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Adds or extends a stream. Returns the number of its tokens now stored, which is less than expected when earlier
    /// tokens are missing; the sender then resumes from that number.
    std::size_t store(const HandoverStream &stream, Time now);

    /// Returns all tokens of a stream, or std::nullopt when no stream with this digest is stored.
    std::optional<std::vector<std::string>>
    find(const std::string &clientAccount, const std::string &requestId, const std::string &digest, Time now);

    std::size_t size() const;

private:
    struct StoredStream
    {
        std::string digest;
        std::vector<std::string> tokens;
        std::size_t bytes = 0;
        Time updated;
    };

    void expire(Time now);

    std::map<std::pair<std::string, std::string>, StoredStream> streams; ///< By client account and request.
    std::size_t bytes = 0;
    Time lastExpiry;
};

/// Returns the members in the order of their rendezvous hashing rank for a key. All processes with the same members get
/// the same order, and the removal of a member moves only its own keys.
std::vector<std::string> rendezvousOrder(const std::string &key, std::vector<std::string> members);

} // namespace hemlock
