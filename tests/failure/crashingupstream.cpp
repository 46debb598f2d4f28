#include "crashingupstream.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace hemlock {

namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds crashDelay{60}; ///< From the end of the request.
constexpr std::chrono::milliseconds restartTime{2000};
constexpr std::chrono::milliseconds eventInterval{30};
constexpr std::chrono::milliseconds poisonEventInterval{12};
constexpr int soundEvents = 4;
constexpr std::size_t partOfHeadBytes = 40;
constexpr std::string_view headEnd = "\r\n\r\n";

std::string event(const std::string &attemptId, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attemptId + " event " + std::to_string(number) + "\n\n";
}

std::string chunk(const std::string &data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

/// Value of a header field in a request; empty if it is missing.
std::string fieldValue(const std::string &request, const std::string &name)
{
    const std::size_t field = request.find("\r\n" + name + ": ");
    if (field == std::string::npos)
        return {};
    const std::size_t value = field + name.size() + 4;
    return request.substr(value, request.find("\r\n", value) - value);
}

} // namespace

/// One connection, with one request at a time.
class CrashingUpstream::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(CrashingUpstream &upstream, tcp::socket socket)
        : upstream(upstream)
        , socket(std::move(socket))
        , timer(upstream.loop)
    {
    }

    void readRequest()
    {
        asio::async_read_until(this->socket,
                               asio::dynamic_buffer(this->input),
                               headEnd,
                               [self = this->shared_from_this()](const asio::error_code &error, std::size_t size) {
                                   if (error)
                                       return self->end();
                                   const std::string length = fieldValue(self->input, "Content-Length");
                                   const std::size_t total = size + (length.empty() ? 0 : std::stoul(length));
                                   const std::size_t missing = total - std::min(total, self->input.size());
                                   asio::async_read(self->socket,
                                                    asio::dynamic_buffer(self->input),
                                                    asio::transfer_exactly(missing),
                                                    [self, total](const asio::error_code &bodyError, std::size_t) {
                                                        if (bodyError)
                                                            return self->end();
                                                        self->answer(self->input.substr(0, total));
                                                        self->input.erase(0, total);
                                                    });
                               });
    }

    /// Ends the connection with the upstream.
    void crash(bool isReset)
    {
        this->hasCrashed = true;
        this->timer.cancel();
        asio::error_code ignored;
        if (isReset)
            this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
    }

private:
    void answer(const std::string &request)
    {
        this->attemptId = fieldValue(request, "X-Hemlockflow-Attempt-Id");
        const bool isPoison =
            fieldValue(request, "X-Hemlockflow-Prompt-Prefix").find(this->upstream.poisonPart) != std::string::npos;
        this->upstream.hooks.arrived(isPoison);
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Hemlockflow-Attempt-Id: "
            + this->attemptId + "\r\nX-Hemlockflow-Response-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
        std::vector<std::string> writes;
        if (!isPoison) {
            writes.push_back(head);
            for (int number = 1; number <= soundEvents; ++number)
                writes.push_back(chunk(event(this->attemptId, number)));
            writes.back() += "0\r\n\r\n";
            return this->send(std::move(writes), 0, eventInterval);
        }
        switch (this->upstream.form) {
        case Form::Reset:
        case Form::Close:
            break;
        case Form::PartOfHead:
            writes = {head.substr(0, partOfHeadBytes)};
            break;
        case Form::Head:
            writes = {head};
            break;
        case Form::HeadAndEvent:
            writes = {head, chunk(event(this->attemptId, 1))};
            break;
        case Form::HalfEvent: {
            const std::string whole = event(this->attemptId, 1);
            writes = {head, chunk(whole.substr(0, whole.size() / 2))};
            break;
        }
        case Form::ThreeEvents:
            writes = {head};
            for (int number = 1; number <= 3; ++number)
                writes.push_back(chunk(event(this->attemptId, number)));
            break;
        }
        this->isPoisoned = true;
        this->send(std::move(writes), 0, poisonEventInterval);
        auto crashTimer = std::make_shared<asio::steady_timer>(this->upstream.loop, crashDelay);
        crashTimer->async_wait(
            [this, alive = std::weak_ptr<bool>(this->upstream.alive), self = this->shared_from_this(), crashTimer](
                const asio::error_code &error) {
                if (!error && !alive.expired() && !self->hasCrashed)
                    this->upstream.crash();
            });
    }

    void send(std::vector<std::string> writes, std::size_t index, std::chrono::milliseconds interval)
    {
        if (index == writes.size()) {
            if (!this->isPoisoned)
                this->readRequest();
            return;
        }
        auto text = std::make_shared<std::string>(writes[index]);
        asio::async_write(this->socket,
                          asio::buffer(*text),
                          [self = this->shared_from_this(), text, writes = std::move(writes), index, interval](
                              const asio::error_code &error, std::size_t) mutable {
                              if (error)
                                  return self->end();
                              self->timer.expires_after(interval);
                              self->timer.async_wait([self, writes = std::move(writes), index, interval](
                                                         const asio::error_code &timerError) mutable {
                                  if (!timerError)
                                      self->send(std::move(writes), index + 1, interval);
                              });
                          });
    }

    void end()
    {
        // A poisoned upstream crashes even if the caller has left.
        if (!this->hasCrashed && !this->isPoisoned)
            this->upstream.connections.erase(this->shared_from_this());
    }

    CrashingUpstream &upstream;
    tcp::socket socket;
    asio::steady_timer timer;
    std::string input;
    std::string attemptId;
    bool isPoisoned = false;
    bool hasCrashed = false;
};

CrashingUpstream::CrashingUpstream(
    asio::io_context &loop, std::string id, Form form, std::string poisonPart, Hooks hooks)
    : loop(loop)
    , identifier(std::move(id))
    , form(form)
    , poisonPart(std::move(poisonPart))
    , hooks(std::move(hooks))
    , endpoint(asio::ip::make_address("127.0.0.1"), 0)
    , acceptor(loop)
    , restartTimer(loop)
{
    this->listen();
    this->endpoint = this->acceptor.local_endpoint();
}

CrashingUpstream::~CrashingUpstream()
{
    for (const auto &connection : this->connections)
        connection->crash(true);
}

const std::string &CrashingUpstream::id() const
{
    return this->identifier;
}

std::string CrashingUpstream::address() const
{
    return "127.0.0.1:" + std::to_string(this->endpoint.port());
}

std::string CrashingUpstream::events(const std::string &attemptId)
{
    std::string all;
    for (int number = 1; number <= soundEvents; ++number)
        all += event(attemptId, number);
    return all;
}

void CrashingUpstream::listen()
{
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen();
    this->accept();
}

void CrashingUpstream::accept()
{
    this->acceptor.async_accept(
        [this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error, tcp::socket socket) {
            if (error || alive.expired())
                return;
            socket.set_option(tcp::no_delay(true));
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            this->connections.insert(connection);
            connection->readRequest();
            this->accept();
        });
}

void CrashingUpstream::crash()
{
    this->hooks.crashed();
    this->acceptor.close();
    for (const auto &connection : std::exchange(this->connections, {}))
        connection->crash(this->form != Form::Close);
    this->restartTimer.expires_after(restartTime);
    this->restartTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->listen();
    });
}

} // namespace hemlock
