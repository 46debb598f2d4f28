#include "meteredsocket.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <utility>

using namespace hemlock;

namespace {

/// A handler that a call can't take by value.
struct ImmovableHandler
{
    ImmovableHandler(ImmovableHandler &&) = delete;
    ImmovableHandler &operator=(ImmovableHandler &&) = delete;

    void operator()(const asio::error_code &, std::size_t)
    {
    }
};

template <class Socket>
concept ReadsWithoutMove = requires(Socket &socket, const asio::mutable_buffer &buffer, ImmovableHandler &handler)
{
    socket.async_read_some(buffer, std::move(handler));
};

template <class Socket>
concept WritesWithoutMove = requires(Socket &socket, const asio::const_buffer &buffer, ImmovableHandler &handler)
{
    socket.async_write_some(buffer, std::move(handler));
};

/// A socket with the fault that the test below looks for.
class ByValueSocket : public asio::ip::tcp::socket
{
public:
    template <class Buffer, class Handler>
    void async_read_some(const Buffer &, Handler)
    {
    }

    template <class Buffers, class Handler>
    void async_write_some(const Buffers &, Handler)
    {
    }
};

} // namespace

// Guards against answers that are never written: a handler that is moved for a parameter takes its buffers along,
// before they are read or afterwards, as the order is unspecified. So the test does not run a call, but asks whether
// one can be made with a handler that can't be moved.
TEST_CASE("MeteredSocket: a handler is passed to a call: it is not moved before the body runs")
{
    CHECK(ReadsWithoutMove<MeteredSocket>);
    CHECK(WritesWithoutMove<MeteredSocket>);
    CHECK_FALSE(ReadsWithoutMove<ByValueSocket>);
    CHECK_FALSE(WritesWithoutMove<ByValueSocket>);
}
