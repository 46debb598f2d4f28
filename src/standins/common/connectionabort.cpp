#include "connectionabort.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <filesystem>

namespace hemlock {

namespace {

/// Returns "IP:PORT" of the peer, or an empty string if the descriptor is not a connected IPv4 socket.
std::string peerAddress(int descriptor)
{
    sockaddr_in peer{};
    socklen_t length = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &length) != 0 || peer.sin_family != AF_INET)
        return {};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(peer.sin_port));
}

} // namespace

void abortConnection(const std::string &remoteAddress)
{
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const std::string name = entry.path().filename();
        int descriptor = -1;
        std::from_chars(name.data(), name.data() + name.size(), descriptor);
        if (descriptor < 0 || peerAddress(descriptor) != remoteAddress)
            continue;
        shutdown(descriptor, SHUT_RDWR);
        return;
    }
}

} // namespace hemlock
