#pragma once

#include "httpserver.h"
#include "verdict.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hemlock {

/// Writes the answer of a completion to the caller, whole or as server-sent events.
class CompletionWriter
{
public:
    CompletionWriter(HttpResponderPtr responder, std::string requestId, bool isStream, std::size_t maxPendingBytes);

    /// @p number counts the tokens of the answer from 1.
    void writeToken(std::size_t number, const std::string &upstream, const std::string &text);

    /// Ends a complete answer.
    void finish(const nlohmann::json &usage);

    /// Ends the answer with a refusal: as an "error" event once the stream has begun, else with the error's status.
    void fail(const RequestError &error);

    /// Whether the status line has been sent.
    bool hasBegun() const;

    /// Whether the caller leaves more bytes unread than allowed.
    bool isTooSlow() const;

private:
    void begin();

    HttpResponderPtr responder;
    std::string requestId;
    bool isStream;
    std::size_t maxPendingBytes;
    bool begun = false;
    std::string wholeText;
};

} // namespace hemlock
