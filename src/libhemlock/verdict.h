#pragma once

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlock {

/// Whether an upstream may have executed a request. Later values are less safe to retry: the verdict of several
/// attempts is the greatest of theirs.
enum class Verdict {
    NotRun, ///< Certainly not executed by an upstream; the only verdict after which a call is retried.
    Ran, ///< An upstream has answered it.
    MayHaveRun, ///< The request was sent and its outcome is unknown.
};

/// Name used in answers and log lines: "not-run", "ran" or "may-have-run".
std::string_view verdictName(Verdict verdict);

/// Value of a Retry-After field: seconds, with up to three decimals where the time is not whole.
std::string retryAfterText(std::chrono::milliseconds time);

/// Error that is reported to the caller of a request that got no regular answer.
struct RequestError
{
    Verdict verdict = Verdict::NotRun;
    int status = 500; ///< HTTP status of the error response.
    std::string code; ///< Machine-readable and stable, such as "unknown-service".
    std::string message; ///< Explanation for a person.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Sent as Retry-After.
};

template <class T>
using Result = boost::leaf::result<T>;

} // namespace hemlock
