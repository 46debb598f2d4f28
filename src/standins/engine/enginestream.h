#pragma once

#include "answergenerator.h"
#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Parameters of a completion, parsed from the body of POST /v1/completions.
struct CompletionRequest
{
    std::string attempt;
    std::string prompt;
    std::vector<std::string> resumeTokens; ///< Texts of the tokens that the caller already has.
    std::size_t maxTokens = 64; ///< Limit for the whole answer, including resumeTokens.
    std::size_t resumeFrom = 0; ///< Index of the last token that the reader of a retained stream has received.
    bool resumesStream = false; ///< True if the body has "resume_from".
    bool stream = true;
    int priority = 5;
};

/// @p attemptHeader is used if the body names no attempt; if the attempt is empty, an identifier is generated.
/// Throws std::invalid_argument or a JSON type error for a malformed body.
CompletionRequest parseCompletion(const nlohmann::json &body, const std::string &attemptHeader);

/// Generated tokens of an attempt and its current reader. The stream outlives the reader, which may reconnect.
class EngineStream
{
public:
    EngineStream(asio::io_context &loop, const CompletionRequest &request, const std::vector<std::string> &vocabulary);

    /// Ends the response of the current reader, if any, and sends all tokens after index @p afterIndex to a new one.
    /// Without @p asEventStream the reader gets one JSON response when the answer is complete.
    void attach(const HttpResponderPtr &responder, std::size_t afterIndex, bool asEventStream);
    /// Removes a disconnected reader; returns false if another reader has replaced it.
    bool detach(const HttpResponderPtr &responder);
    bool hasReader() const;

    void emitToken();
    void finish(const nlohmann::json &usage);
    bool isFinished() const;

    /// Returns the prompt followed by the tokens generated so far.
    std::string contextText() const;

    const CompletionRequest request;
    asio::steady_timer retentionTimer; ///< Runs while the stream has no reader.
    std::size_t cachedTokens = 0;
    std::size_t promptTokens = 0;

private:
    void sendToken(std::size_t index);
    void sendEnd();

    AnswerGenerator generator;
    std::vector<std::string> tokens;
    bool finished = false;
    nlohmann::json usage;
    HttpResponderPtr reader;
    bool asEventStream = true;
};

} // namespace hemlock
