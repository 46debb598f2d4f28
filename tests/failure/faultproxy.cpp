#include "faultproxy.h"

#include "oddanswer.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace hemlock {

using asio::ip::tcp;

namespace {

/// Longer answers are not repeated.
constexpr std::size_t maxRepeatedBytes = std::size_t{64} * 1024;

constexpr std::chrono::milliseconds idleCopyDelay{30};

tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

struct FaultProxy::State
{
    Mode mode = Mode::Pass;
    std::chrono::milliseconds delay{0};
    std::vector<std::weak_ptr<Connection>> connections;
};

class FaultProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket accepted, std::shared_ptr<State> state)
        : state(std::move(state))
        , client{std::move(accepted), {}, false}
        , server{tcp::socket(this->client.socket.get_executor()), {}, false}
        , timers{asio::steady_timer(this->client.socket.get_executor()),
                 asio::steady_timer(this->client.socket.get_executor())}
        , copyTimer(this->client.socket.get_executor())
    {
    }

    void start(const tcp::endpoint &endpoint)
    {
        this->server.socket.async_connect(endpoint, [self = this->shared_from_this()](const asio::error_code &error) {
            if (error)
                return self->reset();
            self->read(self->client, self->server);
            self->read(self->server, self->client);
        });
    }

    void reset()
    {
        this->copyTimer.cancel();
        for (End *end : {&this->client, &this->server}) {
            asio::error_code ignored;
            end->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            end->socket.close(ignored);
        }
    }

    void repeatAnswer(Copy when)
    {
        this->copy = when;
    }

private:
    struct End
    {
        tcp::socket socket;
        std::array<char, 16384> bytes;
        bool isSilent; ///< Bytes from this end get lost.
    };

    void read(End &from, End &to)
    {
        from.socket.async_read_some(
            asio::buffer(from.bytes),
            [self = this->shared_from_this(), &from, &to](const asio::error_code &error, std::size_t size) {
                if (error == asio::error::eof)
                    return self->close();
                if (error)
                    return self->reset();
                self->bytesArrived(from, to, size);
            });
    }

    void bytesArrived(End &from, End &to, std::size_t size)
    {
        const bool isFromClient = &from == &this->client;
        const Mode mode = this->state->mode;
        if (mode == (isFromClient ? Mode::SilentToServer : Mode::SilentToClient))
            from.isSilent = true;
        if (from.isSilent)
            return this->read(from, to);
        if (isFromClient)
            this->requestArrived();
        else if (const auto odd = oddAnswer({from.bytes.data(), size}))
            return this->writeLast(*odd);
        else
            this->answerArrived(size);
        if (mode != Mode::Delayed)
            return this->write(from, to, size);
        asio::steady_timer &timer = this->timers[isFromClient ? 0 : 1];
        timer.expires_after(this->state->delay);
        timer.async_wait([self = this->shared_from_this(), &from, &to, size](const asio::error_code &error) {
            if (!error)
                self->write(from, to, size);
        });
    }

    void requestArrived()
    {
        if (this->answer.empty() || this->copy == Copy::Idle)
            return;
        if (this->copy && this->answer.size() < maxRepeatedBytes) {
            this->late = std::exchange(this->answer, {});
            if (this->copy == Copy::BeforeNext)
                this->writeCopy();
            this->copy.reset();
        }
        this->answer.clear();
    }

    void answerArrived(std::size_t size)
    {
        if (this->answer.size() < maxRepeatedBytes)
            this->answer.append(this->server.bytes.data(), size);
        if (this->copy != Copy::Idle)
            return;
        this->copyTimer.expires_after(idleCopyDelay);
        this->copyTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
            if (error)
                return;
            self->copy.reset();
            self->late = std::exchange(self->answer, {});
            self->writeCopy();
        });
    }

    void writeCopy()
    {
        asio::error_code ignored;
        asio::write(this->client.socket, asio::buffer(std::exchange(this->late, {})), ignored);
    }

    void writeLast(const OddAnswer &odd)
    {
        const auto bytes = std::make_shared<std::string>(odd.bytes);
        asio::async_write(this->client.socket,
                          asio::buffer(*bytes),
                          [self = this->shared_from_this(), bytes, isReset = odd.isReset](const asio::error_code &,
                                                                                          std::size_t /*written*/) {
                              if (isReset)
                                  self->reset();
                              else
                                  self->close();
                          });
    }

    void write(End &from, End &to, std::size_t size)
    {
        asio::async_write(
            to.socket,
            asio::buffer(from.bytes.data(), size),
            [self = this->shared_from_this(), &from, &to](const asio::error_code &error, std::size_t /*written*/) {
                if (error)
                    return self->reset();
                if (&from == &self->server && !self->late.empty())
                    self->writeCopy();
                self->read(from, to);
            });
    }

    void close()
    {
        this->copyTimer.cancel();
        for (End *end : {&this->client, &this->server}) {
            asio::error_code ignored;
            end->socket.close(ignored);
        }
    }

    std::shared_ptr<State> state;
    End client;
    End server;
    asio::steady_timer timers[2]; ///< Of delayed bytes from the client and from the server.
    std::string answer; ///< Bytes from the server since the last bytes from the client.
    std::string late; ///< Copy of an answer that follows the next bytes from the server.
    std::optional<Copy> copy; ///< When the next answer is repeated.
    asio::steady_timer copyTimer;
};

FaultProxy::FaultProxy(asio::io_context &loop, const std::string &target)
    : state(std::make_shared<State>())
    , acceptor(loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , target(parseEndpoint(target))
{
    this->accept();
}

FaultProxy::~FaultProxy()
{
    this->resetConnections();
}

std::string FaultProxy::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void FaultProxy::setMode(Mode mode, std::chrono::milliseconds delay)
{
    this->state->mode = mode;
    this->state->delay = delay;
}

void FaultProxy::resetConnections()
{
    for (const auto &weak : this->state->connections) {
        if (const auto connection = weak.lock())
            connection->reset();
    }
    this->state->connections.clear();
}

void FaultProxy::repeatAnswers(Copy copy)
{
    for (const auto &weak : this->state->connections) {
        if (const auto connection = weak.lock())
            connection->repeatAnswer(copy);
    }
}

void FaultProxy::accept()
{
    this->acceptor.async_accept([this](const asio::error_code &error, tcp::socket accepted) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(std::move(accepted), this->state);
        if (this->state->mode == Mode::Refusing) {
            connection->reset();
        } else {
            std::erase_if(this->state->connections, [](const auto &weak) { return weak.expired(); });
            this->state->connections.push_back(connection);
            connection->start(this->target);
        }
        this->accept();
    });
}

} // namespace hemlock
