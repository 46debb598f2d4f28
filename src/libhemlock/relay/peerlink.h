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

/// Datagrams since the start of the process.
struct PeerTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t unsentDatagrams = 0; ///< Those that the system did not take.
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::size_t largestDatagram = 0; ///< Sent, in bytes.
};

/// Sends datagrams to the other entry VMs and receives theirs.
class PeerLink
{
public:
    /// Listens at "IP:PORT". Throws std::system_error when the address cannot be bound.
    PeerLink(asio::io_context &loop,
             const std::string &address,
             std::function<void(std::string_view datagram)> datagramReceived);
    ~PeerLink();

    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// "IP:PORT" that the link is bound to.
    std::string address() const;

    /// Sends to each address; what cannot be sent at once is lost.
    void send(const std::string &datagram, const std::set<std::string> &addresses);

    const PeerTraffic &traffic() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
