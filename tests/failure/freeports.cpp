#include "freeports.h"

#include <asio.hpp>

#include <unistd.h>

#include <stdexcept>

namespace hemlock {

namespace {

constexpr int firstPort = 10000;
constexpr int endPort = 32768;

template <class Protocol>
bool isFree(asio::io_context &loop, int port)
{
    const typename Protocol::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
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

std::uint16_t freePort()
{
    static int next = firstPortOfProgram();
    asio::io_context loop;
    for (int i = firstPort; i < endPort; ++i) {
        const int port = next;
        next = port + 1 < endPort ? port + 1 : firstPort;
        if (isFree<asio::ip::tcp>(loop, port) && isFree<asio::ip::udp>(loop, port))
            return static_cast<std::uint16_t>(port);
    }
    throw std::runtime_error("no free port below " + std::to_string(endPort));
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace hemlock
