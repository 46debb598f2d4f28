#pragma once

#include "httpmessage.h"
#include "kvaccess.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlock {

/// Long poll that an entry VM sends to a peer instead of the store: asks for changes of the keys that begin with a
/// prefix.
struct StorePoll
{
    std::string prefix;
    std::int64_t revision = 0; ///< Changes after this revision are wanted.
    std::chrono::milliseconds wait{0}; ///< How long the peer may wait for a change.
    std::int64_t era = 0; ///< Era of the store that the revision belongs to; 0 when unknown.
};

/// Answer of a peer to a StorePoll.
struct PeerPollResult
{
    enum class Status {
        Answered, ///< The changes are as current as a poll of the store.
        StoreLost, ///< The peer's own reads of the store fail.
        NoAnswer, ///< No usable answer.
    };

    Status status = Status::NoAnswer;
    KvChanges changes; ///< Set if status is Answered.
    std::string error; ///< Set otherwise.
};

/// Path of polls on the control address of an entry VM.
extern const char *const storePollPath;

std::string encodeStorePoll(const StorePoll &poll);

/// Throws nlohmann::json::exception for a malformed body.
StorePoll decodeStorePoll(const std::string &body);

/// Body of an answer with the changes.
std::string encodeStoreChanges(const KvChanges &changes);

/// Decodes the status and body of an answer; never throws.
PeerPollResult decodePeerPollResult(int status, const std::string &body);

/// Status of an answer that tells that the peer's own reads of the store fail.
constexpr int storeLostStatus = 503;

/// Status of an answer that tells that the peer has not read the store recently.
constexpr int notCurrentStatus = 409;

} // namespace hemlock
