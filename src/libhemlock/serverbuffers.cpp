#include "serverbuffers.h"

#include "meteredsocket.h"

#include <algorithm>

namespace hemlock {

namespace {

/// Bytes that the requests and responses of all servers on a loop may take together.
constexpr std::size_t bufferCapacity = std::size_t{32} * 1024 * 1024;

/// Interval of the check for requests that take too long.
constexpr std::chrono::milliseconds overdueCheckInterval{250};

} // namespace

ServerBuffers::ServerBuffers(asio::execution_context &context)
    : asio::execution_context::service(context)
    , pool(std::make_shared<BufferPool>(bufferCapacity))
    , timer(static_cast<asio::io_context &>(context))
{
}

void ServerBuffers::setLimits(const IncomingLimits &changed)
{
    this->limits = changed;
    this->budget.headTimeout = changed.headTimeout;
    this->budget.bodyTimeout = changed.bodyTimeout;
    if (changed.maxConnections > 0)
        this->budget.maxConnections = changed.maxConnections;
    if (changed.memoryBytes > 0) {
        this->budget.maxBytes = changed.memoryBytes;
        this->pool->setCapacity(std::min(bufferCapacity, this->budget.maxBytes));
    }
    this->timer.cancel();
    if (changed.headTimeout.count() > 0 || changed.bodyTimeout.count() > 0)
        this->closeOverdue();
}

std::vector<ConnectionProgress> ServerBuffers::progress() const
{
    std::vector<ConnectionProgress> connections;
    connections.reserve(this->sockets.size());
    for (const MeteredSocket *socket : this->sockets)
        connections.push_back(socket->progress());
    return connections;
}

bool ServerBuffers::enforceLimits(MeteredSocket &current)
{
    while (this->budget.isExceeded(this->sockets.size(), this->pool->usedBytes())) {
        const std::size_t chosen = ConnectionBudget::choose(this->progress(), std::chrono::steady_clock::now());
        MeteredSocket *const closed = chosen < this->sockets.size() ? this->sockets[chosen] : &current;
        ++this->refused.closedConnections;
        closed->refuse(503, "too-many-callers", true);
        if (closed == &current)
            return false;
    }
    return true;
}

bool ServerBuffers::resize(BufferPool::Share &share, std::size_t bytes, const MeteredSocket *current)
{
    // Responses are freed only when the loop goes on.
    std::size_t closedResponseBytes = 0;
    while (!share.resize(bytes)) {
        if (!this->pool->fits(bytes))
            return false;
        if (closedResponseBytes >= bytes - share.size()) {
            share.resizeBeyondLimit(bytes);
            return true;
        }
        std::vector<ConnectionProgress> connections = this->progress();
        for (std::size_t i = 0; i < connections.size(); ++i) {
            if (this->sockets[i] == current)
                connections[i] = {};
        }
        const std::size_t chosen = ConnectionBudget::chooseStalled(connections, std::chrono::steady_clock::now());
        if (chosen == this->sockets.size())
            return false;
        ++this->refused.stalledConnections;
        closedResponseBytes += connections[chosen].responseBytes;
        this->sockets[chosen]->refuse(503, "request-stalled", true);
    }
    return true;
}

void ServerBuffers::closeOverdue()
{
    const auto now = std::chrono::steady_clock::now();
    for (MeteredSocket *socket : std::vector(this->sockets)) {
        const ConnectionProgress progress = socket->progress();
        if (this->budget.isHeadOverdue(progress, now)) {
            ++this->refused.slowHeads;
            socket->refuse(408, "head-too-slow", false);
        } else if (this->budget.isBodyOverdue(progress, now)) {
            ++this->refused.slowBodies;
            socket->refuse(408, "body-too-slow", false);
        }
    }
    this->timer.expires_after(overdueCheckInterval);
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->closeOverdue();
    });
}

void ServerBuffers::shutdown()
{
    this->timer.cancel();
}

} // namespace hemlock
