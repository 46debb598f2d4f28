#pragma once

#include <asio.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// What a caller sends: a beginning, a pattern that is repeated, and an end.
struct CallerBytes
{
    std::string name; ///< For messages of a test.
    std::string begin;
    std::shared_ptr<const std::string> pattern = std::make_shared<const std::string>();
    std::size_t repeatedBytes = 0; ///< Bytes of the repeated pattern; the last repetition may be incomplete.
    std::string end;

    /// A request whose body comes in whole chunks of @p chunkBytes, together at most @p sentBytes without their
    /// framing; the end of the body is not among them.
    static CallerBytes chunked(std::size_t chunkBytes, std::size_t sentBytes);

    /// A request that announces a body of @p bodyBytes, of which @p sentBytes are sent.
    static CallerBytes announced(std::size_t bodyBytes, std::size_t sentBytes);

    /// Makes the bytes of chunked() a whole request.
    CallerBytes &&ended() &&;
};

/// Callers that send to a listener without regard to any limit, and keep their connections open until they are closed
/// by the other side. They run on the loop that they are given.
class CallerCrowd
{
public:
    CallerCrowd(asio::io_context &loop, std::uint16_t port);

    /// Adds @p count callers. Of all forms, each takes the next one. A caller whose connection is closed before it has
    /// sent everything comes again, with the form that follows, @p returns times.
    void add(std::size_t count, std::vector<CallerBytes> forms, int returns = 0);

    /// Makes callers that are added afterwards begin one after the other, each when the one before is done.
    void setInTurn(bool inTurn);

    /// Makes callers that are added afterwards leave unread what they are sent.
    void setReading(bool reads);

    /// Whether each caller has sent everything, or has lost its connection and does not return.
    bool hasSentAll() const;

    /// Closes all connections.
    void leave();

private:
    struct Caller
    {
        explicit Caller(asio::io_context &loop)
            : socket(loop)
        {
        }

        asio::ip::tcp::socket socket;
        std::vector<CallerBytes> forms;
        std::size_t form = 0;
        int returns = 0;
        std::size_t sentBytes = 0; ///< Of the repeated pattern.
        bool reads = true;
        bool isDone = false;
        std::array<char, 4096> received{};
    };

    void startNext();
    /// Ends what a caller does by itself; its connection may still be open.
    void finish(Caller &caller);
    void connect(Caller &caller);
    void sendPattern(Caller &caller);
    void sendEnd(Caller &caller);
    void receive(Caller &caller);
    void connectionLost(Caller &caller);

    asio::io_context &loop;
    asio::ip::tcp::endpoint endpoint;
    bool reads = true;
    bool isInTurn = false;
    std::list<Caller> callers;
    std::list<Caller *> waiting; ///< Have not begun.
};

} // namespace hemlock
