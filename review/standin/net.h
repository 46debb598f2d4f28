#pragma once
// Small blocking HTTP/1.1 stand-ins on loopback: one thread for each connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Head
{
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;

    std::optional<std::string> find(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return std::nullopt;
    }

    std::string value(const std::string &name) const
    {
        return this->find(name).value_or("");
    }
};

struct Request : Head
{
    std::string method;
    std::string target;
    std::string body;

    std::string path() const
    {
        return this->target.substr(0, this->target.find('?'));
    }

    std::string query(const std::string &name) const
    {
        const auto mark = this->target.find('?');
        std::string rest = mark == std::string::npos ? "" : this->target.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = rest.find('&');
            const std::string pair = rest.substr(0, end);
            if (pair.rfind(name + "=", 0) == 0)
                return decoded(pair.substr(name.size() + 1));
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
        }
        return "";
    }

    static std::string decoded(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

/// How a read of an answer ended.
enum class End { Complete, Closed, Reset, TimedOut };

struct Answer : Head
{
    int status = 0;
    std::string body;
    End end = End::Closed;
    bool keptOpen = false; ///< The connection may be used again.
};

class Connection
{
public:
    explicit Connection(int descriptor)
        : fd(descriptor)
    {
        const int one = 1;
        setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

    ~Connection()
    {
        if (this->fd >= 0)
            ::close(this->fd);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(int port, Ms timeout = Ms(1000))
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            pollfd wait{fd, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout.count())) != 1
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                ::close(fd);
                return nullptr;
            }
        }
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<Connection>(fd);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool isClosedByPeer() const
    {
        pollfd wait{this->fd, POLLIN | POLLRDHUP, 0};
        if (::poll(&wait, 1, 0) != 1)
            return false;
        return (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /// Closes with a reset.
    void reset()
    {
        const linger option{1, 0};
        setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::close(std::exchange(this->fd, -1));
    }

    bool readRequest(Request &request)
    {
        request = {};
        if (this->readHead(request, Clock::time_point::max()) != End::Complete)
            return false;
        const auto space = request.first.find(' ');
        const auto second = request.first.find(' ', space + 1);
        if (space == std::string::npos || second == std::string::npos)
            return false;
        request.method = request.first.substr(0, space);
        request.target = request.first.substr(space + 1, second - space - 1);
        return this->readBody(request, request.body, false, Clock::time_point::max()) == End::Complete;
    }

    Answer readAnswer(Ms timeout, const std::function<void(const std::string &)> &data = {})
    {
        Answer answer;
        const auto until = Clock::now() + timeout;
        answer.end = this->readHead(answer, until);
        if (answer.end != End::Complete)
            return answer;
        answer.status = std::atoi(answer.first.substr(answer.first.find(' ') + 1).c_str());
        this->onData = data;
        answer.end = this->readBody(answer, answer.body, true, until);
        this->onData = {};
        answer.keptOpen = answer.end == End::Complete && strcasecmp(answer.value("Connection").c_str(), "close") != 0;
        return answer;
    }

private:
    End fill(Clock::time_point until)
    {
        const auto left = until == Clock::time_point::max()
            ? Ms(-1)
            : std::max(Ms(0), std::chrono::duration_cast<Ms>(until - Clock::now()));
        pollfd wait{this->fd, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(left.count())) != 1)
            return End::TimedOut;
        char bytes[65536];
        const ssize_t count = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (count == 0)
            return End::Closed;
        if (count < 0)
            return End::Reset;
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return End::Complete;
    }

    End readLine(std::string &line, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (const End state = this->fill(until); state != End::Complete)
                return state;
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return End::Complete;
    }

    End readHead(Head &head, Clock::time_point until)
    {
        std::string line;
        if (const End state = this->readLine(line, until); state != End::Complete)
            return state;
        head.first = line;
        while (true) {
            if (const End state = this->readLine(line, until); state != End::Complete)
                return state;
            if (line.empty())
                return End::Complete;
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ')
                ++begin;
            head.fields.emplace_back(line.substr(0, colon), line.substr(begin));
        }
    }

    End take(std::size_t size, std::string &body, Clock::time_point until)
    {
        while (size > 0) {
            if (this->buffer.empty()) {
                if (const End state = this->fill(until); state != End::Complete)
                    return state;
            }
            const std::size_t part = std::min(size, this->buffer.size());
            const std::string bytes = this->buffer.substr(0, part);
            body += bytes;
            if (this->onData)
                this->onData(bytes);
            this->buffer.erase(0, part);
            size -= part;
        }
        return End::Complete;
    }

    End readBody(const Head &head, std::string &body, bool isAnswer, Clock::time_point until)
    {
        if (strcasecmp(head.value("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::string line;
                if (const End state = this->readLine(line, until); state != End::Complete)
                    return state;
                const auto size = std::stoul(line, nullptr, 16);
                if (size == 0)
                    return this->readLine(line, until);
                if (const End state = this->take(size, body, until); state != End::Complete)
                    return state;
                if (const End state = this->readLine(line, until); state != End::Complete)
                    return state;
            }
        }
        if (const auto length = head.find("Content-Length"))
            return this->take(std::stoul(*length), body, until);
        if (!isAnswer)
            return End::Complete;
        while (true) {
            if (const End state = this->fill(until); state != End::Complete)
                return state == End::Closed ? End::Complete : state;
            body += std::exchange(this->buffer, {});
        }
    }

    int fd;
    std::string buffer;
    std::function<void(const std::string &)> onData;
};

/// Answers each connection in a thread of its own; @p handler returns whether the connection stays open.
class Server
{
public:
    using Handler = std::function<bool(const Request &request, Connection &connection)>;

    explicit Server(Handler handler)
        : handler(std::move(handler))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(this->fd, 128) != 0
            || getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw std::runtime_error("a stand-in cannot listen");
        this->portNumber = ntohs(address.sin_port);
        std::thread([this] { this->accept(); }).detach();
    }

    int port() const
    {
        return this->portNumber;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->portNumber);
    }

private:
    void accept()
    {
        while (true) {
            const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([this, accepted] {
                Connection connection(accepted);
                try {
                    Request request;
                    while (connection.readRequest(request)) {
                        if (!this->handler(request, connection))
                            return;
                    }
                } catch (const std::exception &) {
                    // A malformed request: the connection is closed.
                }
            }).detach();
        }
    }

    Handler handler;
    int fd = -1;
    int portNumber = 0;
};

inline std::string
answerText(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK" : " Error") + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A port that is free now.
inline int freePort(int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("no port is free");
    ::close(fd);
    return ntohs(address.sin_port);
}
