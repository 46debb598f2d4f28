#pragma once

#include "answergenerator.h"
#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Parameters of one completion, from the body of POST /v1/completions.
struct CompletionRequest
{
    std::string attempt;
    std::string prompt;
    std::vector<std::string> resumeTokens; ///< Texts of tokens that the caller has already.
    std::size_t maxTokens = 64; ///< Of the whole answer, with the resumed ones.
    std::size_t resumeFrom = 0; ///< Last token that the reader of a kept stream has.
    bool resumesStream = false; ///< Whether the body has "resume_from".
    bool stream = true;
    int priority = 5;
};

/// Throws std::invalid_argument or a JSON type error for a malformed body.
CompletionRequest parseCompletion(const nlohmann::json &body, const std::string &attemptHeader);

/// Tokens that an attempt has generated, and its reader. It outlives its reader, who may come back.
class EngineStream
{
public:
    EngineStream(asio::io_context &loop, const CompletionRequest &request, const std::vector<std::string> &vocabulary);

    /// Sends all tokens after @p from to a new reader; the previous one's answer ends.
    void attach(const HttpResponderPtr &responder, std::size_t afterIndex, bool asEventStream);
    /// Forgets a reader that left; false when another one has taken over.
    bool detach(const HttpResponderPtr &responder);
    bool hasReader() const;

    void emitToken();
    void finish(const nlohmann::json &usage);
    bool isFinished() const;

    /// Prompt with the tokens so far.
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
