#pragma once

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace hemlock {

/// TCP proxy on loopback that disturbs the connections through it, and sends answers in the forms that they ask for in
/// oddAnswerField. It must be used on its Asio loop only.
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        Delayed, ///< Bytes are forwarded after a delay.
        SilentToServer, ///< Bytes to the server get lost. A connection that lost bytes stays silent.
        SilentToClient, ///< Bytes to the client get lost. A connection that lost bytes stays silent.
        Refusing, ///< New connections are reset.
    };

    /// When the copy of an answer is sent.
    enum class Copy {
        BeforeNext, ///< When the next request arrives on the connection, before its own answer.
        AfterNext, ///< Right after the first bytes of the answer to the next request.
        Idle, ///< Some time after the answer, whether a request has arrived or not.
    };

    /// @p target has the form "ADDRESS:PORT".
    FaultProxy(asio::io_context &loop, const std::string &target);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Address of the proxy, "ADDRESS:PORT".
    std::string address() const;

    void setMode(Mode mode, std::chrono::milliseconds delay = std::chrono::milliseconds(0));

    /// Resets all open connections.
    void resetConnections();

    /// Sends the next answer on each open connection twice.
    void repeatAnswers(Copy copy);

private:
    class Connection;
    struct State;

    void accept();

    std::shared_ptr<State> state;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
};

} // namespace hemlock
