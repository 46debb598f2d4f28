#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace hemlock {

/// Datagram counters since the start of the process.
struct PeerTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t unsentDatagrams = 0; ///< Rejected by the operating system.
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::size_t largestDatagram = 0; ///< Largest datagram sent, in bytes.
};

/// UDP socket for datagrams between entry VMs.
class PeerLink
{
public:
    /// Binds to @p address, "IP:PORT", and calls @p datagramReceived for each datagram. Throws std::system_error when
    /// the address cannot be bound, and std::invalid_argument when it has no port.
    PeerLink(asio::io_context &loop,
             const std::string &address,
             std::function<void(std::string_view datagram)> datagramReceived);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Local address of the socket, "IP:PORT".
    std::string address() const;

    /// Sends the datagram to each address, "IP:PORT". Never blocks: a datagram that cannot be sent at once is dropped
    /// and counted. An invalid address is logged.
    void send(const std::string &datagram, const std::set<std::string> &addresses);

    const PeerTraffic &traffic() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
