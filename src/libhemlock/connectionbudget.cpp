#include "connectionbudget.h"

#include <optional>
#include <tuple>

namespace hemlock {

namespace {

/// Memory of an open connection beside its request: RESTinio's buffer of 4 KiB, its parser, timer and tables, and small
/// buffers of the kernel. 3,000 connections that send nothing took 7.8 KiB each.
constexpr std::size_t connectionBytes = std::size_t{10} * 1024;

/// Ordinary requests are complete within this time.
constexpr std::chrono::seconds arrivalTime{1};

/// A request or response that did not advance for this long is taken to have stopped.
constexpr std::chrono::seconds stallTime{2};

bool isStalled(ConnectionProgress::TimePoint advanced, ConnectionProgress::TimePoint now)
{
    return advanced < now && now - advanced >= stallTime;
}

} // namespace

bool ConnectionBudget::isExceeded(std::size_t connections, std::size_t bufferedBytes) const
{
    return connections > this->maxConnections || bufferedBytes + connections * connectionBytes > this->maxBytes;
}

std::size_t ConnectionBudget::choose(const std::vector<ConnectionProgress> &connections, TimePoint now)
{
    using Stage = ConnectionProgress::Stage;
    using Rank = std::tuple<int, std::size_t, TimePoint>;
    std::size_t chosen = connections.size();
    std::optional<Rank> least;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const ConnectionProgress &connection = connections[i];
        Rank rank;
        if (connection.stage == Stage::Reading) {
            const bool isYoung = now - connection.since < arrivalTime;
            const int youngRank = connection.requestBytes > 0 ? 1 : 2;
            rank = {isYoung ? youngRank : 0, connection.requestBytes, connection.since};
        } else if (connection.stage == Stage::Idle)
            rank = {3, 0, connection.since};
        else if (connection.stage == Stage::Writing)
            rank = {4, 0, connection.since};
        else
            continue;
        if (least && *least <= rank)
            continue;
        least = rank;
        chosen = i;
    }
    return chosen;
}

std::size_t ConnectionBudget::chooseStalled(const std::vector<ConnectionProgress> &connections, TimePoint now)
{
    using Stage = ConnectionProgress::Stage;
    using Rank = std::tuple<int, std::size_t>;
    std::size_t chosen = connections.size();
    Rank greatest{0, 0};
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const ConnectionProgress &connection = connections[i];
        Rank rank{0, 0};
        if (connection.stage == Stage::Reading && isStalled(connection.advanced, now))
            rank = {1, connection.requestBytes};
        else if (connection.stage == Stage::Writing && isStalled(connection.since, now))
            rank = {0, connection.responseBytes};
        if (std::get<std::size_t>(rank) == 0 || rank <= greatest)
            continue;
        greatest = rank;
        chosen = i;
    }
    return chosen;
}

bool ConnectionBudget::isHeadOverdue(const ConnectionProgress &connection, TimePoint now) const
{
    return this->headTimeout.count() > 0 && connection.stage == ConnectionProgress::Stage::Reading
        && connection.isInHead && now - connection.since > this->headTimeout;
}

bool ConnectionBudget::isBodyOverdue(const ConnectionProgress &connection, TimePoint now) const
{
    return this->bodyTimeout.count() > 0 && connection.stage == ConnectionProgress::Stage::Reading
        && !connection.isInHead && connection.requestBytes > 0 && connection.received < now
        && now - connection.received > this->bodyTimeout;
}

} // namespace hemlock
