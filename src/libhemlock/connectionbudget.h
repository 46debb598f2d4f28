#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hemlock {

/// What is known of one connection of a caller.
struct ConnectionProgress
{
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Stage {
        Reading, ///< Nothing, or an incomplete request, has arrived since the start of the connection.
        Idle, ///< The last response was written.
        Writing, ///< All requests were answered, but a response is not written as a whole.
        Running, ///< A complete request is not answered yet.
    };

    Stage stage = Stage::Reading;
    bool isInHead = false; ///< Part of a head has arrived.
    std::size_t requestBytes = 0; ///< Memory of the incomplete request.
    TimePoint since; ///< Start of the connection, of the incomplete request, of the response, or of the idle time.
    /// When the incomplete request last advanced by as much as one that is sent without a pause does in a moment.
    TimePoint advanced = TimePoint::max();
    TimePoint received = TimePoint::max(); ///< When bytes of the incomplete request last arrived.
    std::size_t responseBytes = 0; ///< Of responses that are not written.
};

/// Chooses the connections that are closed when all of a process exceed their common limits.
class ConnectionBudget
{
public:
    using TimePoint = ConnectionProgress::TimePoint;

    std::size_t maxConnections = SIZE_MAX;
    std::size_t maxBytes = SIZE_MAX; ///< For buffers and connections together.
    std::chrono::milliseconds headTimeout{0}; ///< From the first byte of a head to its end; 0 for no limit.
    std::chrono::milliseconds bodyTimeout{0}; ///< Between two reads of a body; 0 for no limit.

    /// Whether this number of connections, and what their requests and responses take, exceed the limits.
    bool isExceeded(std::size_t connections, std::size_t bufferedBytes) const;

    /// Returns the index of the connection to close; the size of @p connections if none may be closed.
    ///
    /// The order: incomplete requests and connections without any, the least advanced first and of equal ones the
    /// oldest; incomplete requests that began within the last second; connections that were opened within it, whose
    /// ordinary requests are about to arrive whole; the longest idle connection; the response that has been waiting
    /// longest for its caller to read it. A request that is not answered yet is never closed.
    static std::size_t choose(const std::vector<ConnectionProgress> &connections, TimePoint now);

    /// Returns the index of the connection to close so that a request or response that advances finds room in the
    /// buffers; the size of @p connections if all advance.
    ///
    /// Of the incomplete requests that do not advance, the one with the most memory; without any, the same of responses
    /// that their callers do not read.
    static std::size_t chooseStalled(const std::vector<ConnectionProgress> &connections, TimePoint now);

    bool isHeadOverdue(const ConnectionProgress &connection, TimePoint now) const;

    /// Whether an incomplete body or trailer has stopped.
    bool isBodyOverdue(const ConnectionProgress &connection, TimePoint now) const;
};

} // namespace hemlock
