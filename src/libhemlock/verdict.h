#pragma once

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlock {

/// Whether a request has had an effect on an upstream. Later values claim less: the verdict of several attempts is the
/// greatest of theirs.
enum class Verdict {
    NotRun, ///< Proven not to have reached an upstream; the only verdict after which a call is retried.
    Ran, ///< An upstream answered it.
    MayHaveRun, ///< The request left this process and its fate is unknown.
};

/// Name used in answers and log lines: "not-run", "ran" or "may-have-run".
std::string_view verdictName(Verdict verdict);

/// Why a request got no regular answer, as reported to its caller.
struct RequestError
{
    Verdict verdict = Verdict::NotRun;
    int status = 500; ///< HTTP status of the refusal.
    std::string code; ///< Stable identifier, such as "unknown-service".
    std::string message;
    std::optional<std::chrono::seconds> retryAfter;
};

template <class T>
using Result = boost::leaf::result<T>;

} // namespace hemlock
