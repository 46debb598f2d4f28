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

    /// Writes or buffers one token. @p number is its position in the answer, from 1; with the upstream's identifier it
    /// forms the event identifier from which a caller resumes.
    void writeToken(std::size_t number, const std::string &upstream, const std::string &text);

    /// Ends a complete answer. @p usage holds the token counts; only an answer that is not streamed includes them.
    void finish(const nlohmann::json &usage);

    /// Reports an error: as an "error" event once the stream has begun, otherwise as an answer with the error's status.
    void fail(const RequestError &error);

    /// Whether the status line has been sent.
    bool hasBegun() const;

    /// Whether more than maxPendingBytes are waiting to be sent to the caller.
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
