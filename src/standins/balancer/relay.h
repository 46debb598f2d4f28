#pragma once

#include <asio.hpp>

#include <array>
#include <functional>
#include <memory>

namespace hemlock {

/// Copies bytes between a caller's connection and a target in both directions until both have closed.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(asio::ip::tcp::socket caller, asio::io_context &loop);

    /// Connects to the target. @p onConnectFailed is called if that fails; no byte has been read from the caller by
    /// then, so another target can be tried.
    void start(const asio::ip::tcp::endpoint &target, std::function<void(std::shared_ptr<Relay>)> onConnectFailed);

    /// Closes both connections.
    void close();

private:
    static constexpr std::size_t bufferBytes = std::size_t{16} * 1024;
    using Buffer = std::array<char, bufferBytes>;

    void copy(asio::ip::tcp::socket &source, asio::ip::tcp::socket &destination, Buffer &buffer);

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket target;
    Buffer callerToTarget{};
    Buffer targetToCaller{};
};

} // namespace hemlock
