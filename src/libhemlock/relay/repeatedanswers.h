#pragma once

#include "upstream.h"

#include <chrono>
#include <map>
#include <string>

namespace hemlock {

/// Upstreams that lately sent an answer once more, at the point where the next one was expected.
///
/// The next exchange on such a connection fails, since its first answer belongs to an earlier request. On a new
/// connection no earlier answer can arrive.
class RepeatedAnswers
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records an answer to an earlier request.
    void record(const Upstream &upstream, TimePoint now);

    /// Whether an earlier answer may arrive on a connection that is used again.
    bool isExpected(const Upstream &upstream, TimePoint now) const;

private:
    struct Observation
    {
        std::string incarnation; ///< Of the upstream.
        TimePoint time;
    };

    std::map<std::string, Observation> latest; ///< By upstream.
};

} // namespace hemlock
