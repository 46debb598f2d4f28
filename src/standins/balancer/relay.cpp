#include "relay.h"

namespace hemlock {

Relay::Relay(asio::ip::tcp::socket caller, asio::io_context &loop)
    : caller(std::move(caller))
    , target(loop)
{
}

void Relay::start(const asio::ip::tcp::endpoint &target, std::function<void(std::shared_ptr<Relay>)> onConnectFailed)
{
    this->target = asio::ip::tcp::socket(this->caller.get_executor());
    this->target.async_connect(
        target,
        [self = this->shared_from_this(), onConnectFailed = std::move(onConnectFailed)](const asio::error_code &error) {
            if (error) {
                onConnectFailed(self);
                return;
            }
            asio::error_code ignored;
            self->caller.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->target.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->copy(self->caller, self->target, self->callerToTarget);
            self->copy(self->target, self->caller, self->targetToCaller);
        });
}

void Relay::close()
{
    asio::error_code ignored;
    this->caller.close(ignored);
    this->target.close(ignored);
}

void Relay::copy(asio::ip::tcp::socket &source, asio::ip::tcp::socket &destination, Buffer &buffer)
{
    source.async_read_some(
        asio::buffer(buffer),
        [self = this->shared_from_this(), &source, &destination, &buffer](const asio::error_code &error,
                                                                          std::size_t size) {
            if (error == asio::error::eof) {
                // Only this direction is shut down: a half-closed connection can still carry the response.
                asio::error_code ignored;
                destination.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                return;
            }
            if (error) {
                self->close();
                return;
            }
            asio::async_write(destination,
                              asio::buffer(buffer.data(), size),
                              [self, &source, &destination, &buffer](const asio::error_code &error, std::size_t) {
                                  if (error)
                                      self->close();
                                  else
                                      self->copy(source, destination, buffer);
                              });
        });
}

} // namespace hemlock
