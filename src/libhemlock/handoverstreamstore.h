#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Position of a streamed answer, as a draining entry process hands it to a peer.
struct HandoverStream
{
    std::string clientAccount;
    std::string requestId;
    std::string digest; ///< Of the request's body, so that another body cannot continue the answer.
    std::size_t from = 0; ///< Number of tokens that the peer was given before.
    std::vector<std::string> tokens; ///< Texts of the tokens after these.
};

void to_json(nlohmann::json &json, const HandoverStream &stream);
void from_json(const nlohmann::json &json, HandoverStream &stream);

/// Streams that peers have handed over, until their callers come for the rest.
class HandoverStreamStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Adds or continues a stream. Returns how many of its tokens are held: less than expected when earlier tokens are
    /// missing, and the sender then starts again from that number.
    std::size_t store(const HandoverStream &stream, Time now);

    /// All tokens of a stream that has this digest.
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

    std::map<std::pair<std::string, std::string>, StoredStream> streams;
    std::size_t bytes = 0;
    Time lastExpiry;
};

/// Identifiers in the order in which rendezvous hashing prefers them for a key: all processes with the same members
/// agree on it, and a member that leaves moves only its own keys.
std::vector<std::string> rendezvousOrder(const std::string &key, std::vector<std::string> members);

} // namespace hemlock
