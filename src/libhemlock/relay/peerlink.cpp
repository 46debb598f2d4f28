#include "relay/peerlink.h"

#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hemlock {

namespace {

asio::ip::udp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("the address " + address + " has no port");
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

class PeerLink::Private : public std::enable_shared_from_this<PeerLink::Private>
{
public:
    Private(asio::io_context &loop, const std::string &address, std::function<void(std::string_view)> datagramReceived)
        : socket(loop, parseEndpoint(address))
        , datagramReceived(std::move(datagramReceived))
    {
        this->socket.non_blocking(true);
    }

    void receive()
    {
        this->socket.async_receive_from(
            asio::buffer(this->buffer),
            this->sender,
            [weak = this->weak_from_this()](const asio::error_code &error, std::size_t size) {
                const auto self = weak.lock();
                if (!self || error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    ++self->traffic.receivedDatagrams;
                    self->traffic.receivedBytes += size;
                    self->datagramReceived(std::string_view(self->buffer.data(), size));
                }
                self->receive();
            });
    }

    asio::ip::udp::socket socket;
    std::function<void(std::string_view)> datagramReceived;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> buffer{};
    PeerTraffic traffic;
};

PeerLink::PeerLink(asio::io_context &loop,
                   const std::string &address,
                   std::function<void(std::string_view datagram)> datagramReceived)
    : d(std::make_shared<Private>(loop, address, std::move(datagramReceived)))
{
    this->d->receive();
}

PeerLink::~PeerLink()
{
    asio::error_code ignored;
    this->d->socket.close(ignored);
}

std::string PeerLink::address() const
{
    const auto endpoint = this->d->socket.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

const PeerTraffic &PeerLink::traffic() const
{
    return this->d->traffic;
}

void PeerLink::send(const std::string &datagram, const std::set<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        asio::error_code error;
        try {
            this->d->socket.send_to(asio::buffer(datagram), parseEndpoint(address), 0, error);
            PeerTraffic &traffic = this->d->traffic;
            if (error) {
                ++traffic.unsentDatagrams;
                continue;
            }
            ++traffic.sentDatagrams;
            traffic.sentBytes += datagram.size();
            traffic.largestDatagram = std::max(traffic.largestDatagram, datagram.size());
        } catch (const std::exception &addressError) {
            logEvent(LogLevel::Warning, "peer-address", {{"address", address}, {"error", addressError.what()}});
        }
    }
}

} // namespace hemlock
