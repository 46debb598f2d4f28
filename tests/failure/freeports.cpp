#include "freeports.h"

#include <asio.hpp>

#include <unistd.h>

#include <stdexcept>

namespace hemlock {

namespace {

constexpr int firstPort = 10000;
constexpr int endPort = 32768;

template <class Protocol>
bool isFree(asio::io_context &loop, const asio::ip::address &ip, std::uint16_t port)
{
    const typename Protocol::endpoint endpoint(ip, port);
    typename Protocol::socket socket(loop, endpoint.protocol());
    asio::error_code error;
    socket.bind(endpoint, error);
    return !error;
}

/// Test programs that run side by side begin at different ports.
int firstPortOfProgram()
{
    constexpr int portsPerProgram = 200;
    constexpr int ranges = (endPort - firstPort) / portsPerProgram;
    return firstPort + getpid() % ranges * portsPerProgram;
}

} // namespace

std::uint16_t freePort(const std::string &ip)
{
    static int next = firstPortOfProgram();
    const auto address = asio::ip::make_address(ip);
    asio::io_context loop;
    for (int i = firstPort; i < endPort; ++i) {
        const auto port = static_cast<std::uint16_t>(next);
        next = next + 1 < endPort ? next + 1 : firstPort;
        if (isFree<asio::ip::tcp>(loop, address, port) && isFree<asio::ip::udp>(loop, address, port))
            return port;
    }
    throw std::runtime_error("no free port below " + std::to_string(endPort));
}

std::string freeAddress(const std::string &ip)
{
    return ip + ":" + std::to_string(freePort(ip));
}

} // namespace hemlock
