#pragma once

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace hemlock {

/// Upstream that crashes on each prompt with one part, in the test program. It sends its answers byte by byte as told,
/// so that it can break off at any stage; other prompts get a stream of events.
class CrashingUpstream
{
public:
    /// What is sent before the connections end.
    enum class Form {
        Reset, ///< Nothing; all connections are reset.
        Close, ///< Nothing; all connections are closed in order.
        PartOfHead,
        Head,
        HeadAndEvent,
        HalfEvent,
        ThreeEvents, ///< The head and three events, each in a write of its own.
    };

    struct Hooks
    {
        std::function<void(bool isPoison)> arrived; ///< A request was read.
        std::function<void()> crashed;
    };

    CrashingUpstream(asio::io_context &loop, std::string id, Form form, std::string poisonPart, Hooks hooks);
    ~CrashingUpstream();

    CrashingUpstream(const CrashingUpstream &) = delete;
    CrashingUpstream &operator=(const CrashingUpstream &) = delete;

    const std::string &id() const;

    /// Address that stays the same over crashes, "ADDRESS:PORT".
    std::string address() const;

    /// Events of the stream that answers a sound request.
    static std::string events(const std::string &attemptId);

private:
    class Connection;

    void listen();
    void accept();
    void crash();

    asio::io_context &loop;
    std::string identifier;
    Form form;
    std::string poisonPart;
    Hooks hooks;
    asio::ip::tcp::endpoint endpoint;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer restartTimer;
    std::set<std::shared_ptr<Connection>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
