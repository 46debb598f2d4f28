#pragma once

#include "bufferpool.h"
#include "connectionbudget.h"
#include "httpserver.h"

#include <asio.hpp>

#include <memory>
#include <vector>

namespace hemlock {

class MeteredSocket;

/// Buffers and limits of all servers on a loop. A service of the loop, since RESTinio creates sockets from the loop
/// alone.
class ServerBuffers : public asio::execution_context::service
{
public:
    using key_type = ServerBuffers;
    static inline asio::execution_context::id id;

    explicit ServerBuffers(asio::execution_context &context);

    void setLimits(const IncomingLimits &limits);

    /// Closes connections until all are within their limits. Returns false if @p current had to be closed.
    bool enforceLimits(MeteredSocket &current);

    /// Lets @p share have @p bytes, and closes connections that do not advance if there is no room otherwise; never
    /// @p current. Returns false, and leaves the share as it is, if there is no room.
    bool resize(BufferPool::Share &share, std::size_t bytes, const MeteredSocket *current = nullptr);

    IncomingLimits limits;
    RefusedCallers refused;
    ConnectionBudget budget;
    std::vector<MeteredSocket *> sockets; ///< Of open connections.
    std::shared_ptr<BufferPool> pool;
    MeteredSocket *readingSocket = nullptr; ///< Its bytes are being handled.
    std::size_t acceptingMaxBodyBytes = 0; ///< Of the server whose connection is about to be read first.

private:
    std::vector<ConnectionProgress> progress() const;
    void closeOverdue();
    void shutdown() override;

    asio::steady_timer timer;
};

} // namespace hemlock
