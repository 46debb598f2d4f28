#pragma once

#include "httpmessage.h"
#include "router.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// A caller's request, decoded from its transport. The body is forwarded unchanged.
struct RelayRequest
{
    std::string attemptId; ///< Chosen by the caller; identifies this attempt.
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string path;
    std::string host;
    std::string apiKey;
    HttpHeaders headers; ///< Header fields that are forwarded unchanged.
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>(); ///< Shared by all attempts.
    std::optional<std::chrono::milliseconds> deadline; ///< Time that the caller waits for the answer, from its arrival.
    std::optional<std::string> lastEventId; ///< Set when the caller resumes a stream after this event.
    std::optional<double> promptTokens;
    double answerTokens = 0.0; ///< Maximum number of generated tokens.
    std::vector<PromptPart> parts;

    /// Tokens of the prompt plus the longest possible answer; none if the request does not state its prompt tokens.
    std::optional<double> totalTokens() const
    {
        return this->promptTokens ? std::optional(*this->promptTokens + this->answerTokens) : std::nullopt;
    }
};

/// Values that the entry VM adds to a request to an upstream.
struct RelayAttempt
{
    std::string upstreamId; ///< Intended recipient; no other upstream may run the request.
    std::string address; ///< "IP:PORT".
    std::string clientAccount; ///< Empty for a public route.
    std::chrono::milliseconds timeLeft{0};
    std::optional<std::string> lastEventId;
    std::optional<int> priority; ///< 0 is the most urgent, 9 the least.
};

/// Whether a header field is hop-by-hop and therefore not forwarded.
bool isConnectionField(std::string_view name);

/// The head of an upstream's answer, decoded from its transport.
struct RelayAnswer
{
    std::string attemptId;
    bool isSigned = false; ///< The answer has a response signature; the relay does not verify it.
    bool isNotExecuted = false; ///< The upstream reports that it did not run the request.
    bool namesRateLimit = false; ///< The answer has a rate limit, valid or not.
    /// Requests per second that the upstream takes from all entry VMs together; unset if it names none or no valid one.
    std::optional<double> rateLimit;
    /// Time for which the upstream wants no request of this VM; meant only if it turned the request away.
    std::optional<std::chrono::milliseconds> pause;
    bool isPauseInvalid = false; ///< The answer has a value for the pause that is not used as it stands.
    bool isUpstreamLeaving = false; ///< The upstream says that it is about to leave.
    /// Names of what the upstream says of itself with a value that is not used as it stands.
    std::vector<std::string> invalidNotices;
    std::optional<std::chrono::seconds> keepAlive; ///< Idle time after which the upstream closes the connection.
};

} // namespace hemlock
