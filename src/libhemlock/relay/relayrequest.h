#pragma once

#include "httpmessage.h"
#include "router.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// A caller's request to relay, decoded from its transport. Its body is passed on as it is.
struct RelayRequest
{
    std::string attemptId; ///< Identifier that the caller gave this attempt.
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;
    std::string host;
    std::string apiKey;
    HttpHeaders headers; ///< Those to pass on unchanged.
    std::string body;
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller waits.
    std::optional<std::string> lastEventId; ///< The caller resumes a stream after this event.
    std::optional<double> promptTokens;
    double answerTokens = 0.0; ///< Largest number of generated tokens.
    std::vector<PromptPart> parts;

    /// Tokens of the prompt and the longest answer; none for a call that names no tokens.
    std::optional<double> totalTokens() const
    {
        return this->promptTokens ? std::optional(*this->promptTokens + this->answerTokens) : std::nullopt;
    }
};

/// What is set by this system on a request to an upstream.
struct RelayAttempt
{
    std::string upstreamId; ///< Only this upstream may run the request.
    std::string address; ///< "IP:PORT".
    std::string clientAccount; ///< Empty for a public route.
    std::chrono::milliseconds timeLeft{0};
    std::optional<std::string> lastEventId;
    std::optional<int> priority; ///< 0 is the most urgent, 9 the least.
};

/// Whether a header field concerns one connection only and is not passed on.
bool isConnectionField(std::string_view name);

/// The head of an upstream's answer, decoded from its transport.
struct RelayAnswer
{
    std::string attemptId;
    bool isSigned = false; ///< The upstream vouches for the answer.
    bool isNotExecuted = false; ///< The upstream says that it did not run the request.
    std::optional<std::chrono::seconds> keepAlive; ///< How long it keeps an idle connection.
};

} // namespace hemlock
