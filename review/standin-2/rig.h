// Stand-ins for the cases of the second review: the platform's store and cloud API, upstreams, callers, and the start
// of hemlock-relay processes. Blocking sockets with one thread for each connection; all addresses are loopback
// addresses.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point startTime = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startTime).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// The case could not run; the program exits with 2.
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Record of what was sent, answered and run.

inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    if (!recordFile)
        return;
    std::fprintf(recordFile, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

// HTTP over blocking sockets.

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == lowerCase(name))
                return value;
        }
        return {};
    }
};

/// Connection with a read buffer. Thread-safe only for shutting down.
class Connection
{
public:
    explicit Connection(int fd)
        : fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        const std::lock_guard lock(mutex);
        ::close(fd);
        fd = -1;
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Reads more bytes; false at the end, after an error and after the deadline.
    bool receive(Clock::time_point deadline = Clock::time_point::max())
    {
        int wait = -1;
        if (deadline != Clock::time_point::max())
            wait = static_cast<int>(
                std::max<std::int64_t>(0, std::chrono::duration_cast<Ms>(deadline - Clock::now()).count()));
        pollfd request{fd, POLLIN, 0};
        if (::poll(&request, 1, wait) <= 0) {
            timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t size = ::recv(fd, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    /// Whether the peer has closed the connection.
    bool isClosedByPeer() const
    {
        pollfd request{fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&request, 1, 0) > 0 && (request.revents & (POLLHUP | POLLRDHUP | POLLERR)) != 0;
    }

    void end(bool withReset)
    {
        const std::lock_guard lock(mutex);
        if (fd < 0)
            return;
        if (withReset) {
            const linger discard{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        }
        ::shutdown(fd, SHUT_RDWR);
    }

    /// Reads the head of a message.
    std::optional<Message> readHead(Clock::time_point deadline = Clock::time_point::max())
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        Message message;
        std::size_t begin = buffer.find("\r\n");
        message.startLine = buffer.substr(0, begin);
        begin += 2;
        while (begin < end) {
            const std::size_t lineEnd = buffer.find("\r\n", begin);
            const std::string line = buffer.substr(begin, lineEnd - begin);
            begin = lineEnd + 2;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields.emplace_back(lowerCase(line.substr(0, colon)), line.substr(value));
        }
        buffer.erase(0, end + 4);
        return message;
    }

    /// Reads the body that belongs to a head; false if it is not complete. @p arrived is called for each part.
    bool readBody(Message &message,
                  bool endsWithConnection,
                  Clock::time_point deadline = Clock::time_point::max(),
                  const std::function<void(std::string_view)> &arrived = {})
    {
        const auto take = [&](std::size_t size) {
            if (arrived)
                arrived(std::string_view(buffer).substr(0, size));
            message.body.append(buffer, 0, size);
            buffer.erase(0, size);
        };
        if (lowerCase(message.field("transfer-encoding")) == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = buffer.find("\r\n")) == std::string::npos) {
                    if (!receive(deadline))
                        return false;
                }
                std::size_t left = std::strtoul(buffer.c_str(), nullptr, 16);
                buffer.erase(0, end + 2);
                const bool isLast = left == 0;
                while (left > 0) {
                    if (buffer.empty() && !receive(deadline))
                        return false;
                    const std::size_t size = std::min(left, buffer.size());
                    take(size);
                    left -= size;
                }
                while (buffer.size() < 2) {
                    if (!receive(deadline))
                        return false;
                }
                buffer.erase(0, 2);
                if (isLast)
                    return true;
            }
        }
        const std::string length = message.field("content-length");
        if (length.empty()) {
            if (!endsWithConnection)
                return true;
            do {
                take(buffer.size());
            } while (receive(deadline));
            return !timedOut;
        }
        std::size_t left = std::strtoul(length.c_str(), nullptr, 10);
        while (left > 0) {
            if (buffer.empty() && !receive(deadline))
                return false;
            const std::size_t size = std::min(left, buffer.size());
            take(size);
            left -= size;
        }
        return true;
    }

    std::string buffer;
    bool timedOut = false;

private:
    int fd;
    std::mutex mutex;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/// Port that is free at the moment.
inline int freePort(int type = SOCK_STREAM)
{
    const int fd = ::socket(AF_INET, type, 0);
    const auto address = loopback(0);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        throw CannotRun("no free port");
    const int port = portOf(fd);
    ::close(fd);
    return port;
}

inline ConnectionPtr connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

/// Server whose port stays the same while it is closed and opened again. Threads are detached; the program ends by
/// _exit().
class Server
{
public:
    /// Handles a request; returns whether the connection stays open.
    using Handler = std::function<bool(Message &request, const ConnectionPtr &connection)>;

    explicit Server(Handler handler)
        : handler(std::move(handler))
    {
    }

    void open()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
            throw CannotRun("cannot listen");
        port = portOf(fd);
        {
            const std::lock_guard lock(mutex);
            listener = fd;
        }
        std::thread([this, fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                auto connection = std::make_shared<Connection>(accepted);
                const std::lock_guard lock(mutex);
                if (listener != fd) {
                    connection->end(true);
                    return;
                }
                connections.insert(connection);
                std::thread([this, connection] { serve(connection); }).detach();
            }
        }).detach();
    }

    /// Ends as a process does that crashes: nothing listens, all connections are closed.
    void close(bool withReset)
    {
        const std::lock_guard lock(mutex);
        if (listener >= 0) {
            ::shutdown(listener, SHUT_RDWR);
            ::close(listener);
        }
        listener = -1;
        for (const ConnectionPtr &connection : connections)
            connection->end(withReset);
        connections.clear();
    }

    /// Ends the open connections only.
    void dropConnections(bool withReset)
    {
        const std::lock_guard lock(mutex);
        for (const ConnectionPtr &connection : connections)
            connection->end(withReset);
        connections.clear();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    int port = 0;

private:
    void serve(const ConnectionPtr &connection)
    {
        while (auto request = connection->readHead()) {
            if (!connection->readBody(*request, false) || !handler(*request, connection))
                break;
        }
        connection->end(false);
        const std::lock_guard lock(mutex);
        connections.erase(connection);
    }

    Handler handler;
    std::mutex mutex;
    int listener = -1;
    std::set<ConnectionPtr> connections;
};

inline std::string
response(int status, const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK\r\n" : " Error\r\n");
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string &text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string::npos)
            break;
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

inline std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

// The platform's store.

/// Key-value store as PROTOCOL.md describes it, with the drill of the news page: the store is away for a moment and
/// comes back from a copy some seconds old. Leases pause while it is away: a lease of the copy has the time left that
/// it had when the copy was made.
class Store
{
public:
    Store()
        : server([this](Message &request, const ConnectionPtr &connection) { return handle(request, connection); })
    {
        server.open();
        std::thread([this] {
            while (true) {
                sleepMs(10);
                const std::lock_guard lock(mutex);
                if (!isAway)
                    endLeases();
            }
        }).detach();
    }

    /// Writes as the operator and the upstreams do.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex);
        ++revision;
        written[key] = value;
        write(key, value, 0);
        changed.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        ++revision;
        written[key] = std::nullopt;
        erase(key);
        changed.notify_all();
    }

    std::optional<std::string> value(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        const auto item = items.find(key);
        return item == items.end() ? std::nullopt : std::optional(item->second.value);
    }

    /// Makes the copy from which restore() comes back.
    void copyNow()
    {
        const std::lock_guard lock(mutex);
        copy = {items, leases, revision, Clock::now()};
        record("store: a copy is made at revision %lld", static_cast<long long>(revision));
    }

    /// Calls are answered 503 and open polls are cut until restore() or comeBack().
    void goAway()
    {
        {
            const std::lock_guard lock(mutex);
            isAway = true;
            changed.notify_all();
        }
        record("store: away");
    }

    /// Comes back from the copy, in a new era.
    void restore()
    {
        const std::lock_guard lock(mutex);
        items = copy.items;
        leases = copy.leases;
        const auto pause = Clock::now() - copy.time;
        for (auto &[id, lease] : leases)
            lease.end += pause;
        revision = copy.revision;
        history.clear();
        firstRevision = revision;
        ++era;
        isAway = false;
        record("store: back from the copy, %.1f s old, era %lld, revision %lld",
               std::chrono::duration<double>(pause).count(),
               static_cast<long long>(era),
               static_cast<long long>(revision));
        for (const auto &[key, item] : items) {
            if (key.find("/holder") != std::string::npos)
                record("store: the copy holds %s = %s", key.c_str(), item.value.c_str());
        }
        changed.notify_all();
    }

    /// Cuts the watches that wait for changes of a prefix.
    void cutWatches(const std::string &prefix)
    {
        const std::lock_guard lock(mutex);
        ++cuts[prefix];
        changed.notify_all();
        record("store: cuts the watches of %s", prefix.c_str());
    }

    /// What the operator and the upstreams wrote and the restore has lost is written again.
    void writeAgain()
    {
        const std::lock_guard lock(mutex);
        for (const auto &[key, value] : written) {
            const auto item = items.find(key);
            if (value && (item == items.end() || item->second.value != *value)) {
                ++revision;
                write(key, *value, 0);
            } else if (!value && item != items.end()) {
                ++revision;
                erase(key);
            }
        }
        changed.notify_all();
    }

    /// Called with the lock held for each record that changes; for the record of the run.
    std::function<void(const std::string &key, const std::optional<std::string> &value)> observer;
    Server server;

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Lease
    {
        Ms ttl{};
        Clock::time_point end;
    };

    struct Copy
    {
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 0;
        Clock::time_point time;
    };

    static json encode(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", encodeBase64(item.value)},
                {"revision", item.revision},
                {"created-rev", item.created},
                {"lease", item.lease}};
    }

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        Item &item = items[key];
        item.value = value;
        item.lease = lease;
        item.revision = revision;
        if (item.created == 0)
            item.created = revision;
        history.push_back(encode(key, item));
        if (observer)
            observer(key, value);
    }

    void erase(const std::string &key)
    {
        if (items.erase(key) == 0)
            return;
        history.push_back({{"key", key}, {"revision", revision}, {"removed", true}});
        if (observer)
            observer(key, std::nullopt);
    }

    void endLeases()
    {
        const auto now = Clock::now();
        for (auto lease = leases.begin(); lease != leases.end();) {
            if (now < lease->second.end) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : items) {
                if (item.lease == lease->first)
                    keys.push_back(key);
            }
            for (const std::string &key : keys) {
                ++revision;
                erase(key);
            }
            lease = leases.erase(lease);
            changed.notify_all();
        }
    }

    bool reply(const ConnectionPtr &connection, int status, const json &body, std::int64_t answerEra)
    {
        return connection->send(response(
            status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(answerEra)}}, body.dump()));
    }

    bool handle(Message &request, const ConnectionPtr &connection)
    {
        const std::size_t space = request.startLine.find(' ');
        const std::string target = request.startLine.substr(space + 1, request.startLine.rfind(' ') - space - 1);
        const std::string path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        std::size_t begin = target.find('?');
        while (begin != std::string::npos && begin + 1 < target.size()) {
            const std::size_t end = target.find('&', begin + 1);
            const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
            const std::size_t equals = pair.find('=');
            query[pair.substr(0, equals)] = equals == std::string::npos ? "" : percentDecoded(pair.substr(equals + 1));
            begin = end;
        }
        // An answer takes 4 ms, more or less.
        thread_local std::minstd_rand random(std::random_device{}());
        std::this_thread::sleep_for(std::chrono::microseconds(3000 + random() % 2000));
        std::unique_lock lock(mutex);
        if (isAway) {
            lock.unlock();
            return connection->send(response(503, {}, ""));
        }
        endLeases();
        if (path == "/kv-watch") {
            const std::int64_t begunEra = era;
            const std::string prefix = query["path-prefix"];
            const int begunCuts = cuts[prefix];
            std::int64_t after = std::stoll(query["after"]);
            const auto end = Clock::now() + Ms(std::stoll(query["wait-ms"]));
            if (after < firstRevision || after > revision) {
                const std::int64_t answerEra = era;
                lock.unlock();
                return reply(connection, 410, json::object(), answerEra);
            }
            while (true) {
                json events = json::array();
                for (const json &event : history) {
                    if (event.at("revision") > after && event.at("key").get<std::string>().starts_with(prefix))
                        events.push_back(event);
                }
                if (!events.empty() || Clock::now() >= end) {
                    const json body = {{"events", events}, {"current-rev", revision}};
                    const std::int64_t answerEra = era;
                    lock.unlock();
                    return reply(connection, 200, body, answerEra);
                }
                changed.wait_until(lock, end);
                // A watch that waits may be cut.
                if (isAway || era != begunEra || cuts[prefix] != begunCuts)
                    return false;
            }
        }
        int status = 200;
        json body = json::object();
        if (path == "/kv-key") {
            const auto item = items.find(query["key"]);
            status = item == items.end() ? 404 : 200;
            if (item != items.end())
                body = encode(item->first, item->second);
            body["current-rev"] = revision;
        } else if (path == "/kv-range") {
            body = {{"items", json::array()}, {"more-pages", false}, {"current-rev", revision}};
            for (const auto &[key, item] : items) {
                if (key.starts_with(query["path-prefix"]) && key > query["after"])
                    body["items"].push_back(encode(key, item));
            }
        } else if (path == "/kv-txn") {
            status = runTransaction(json::parse(request.body), body);
        } else if (path == "/kv-lease") {
            const Ms ttl(json::parse(request.body).at("ttl-ms").get<std::int64_t>());
            leases[++lastLease] = {ttl, Clock::now() + ttl};
            body = {{"lease", lastLease}, {"ttl-ms", ttl.count()}};
        } else if (path.starts_with("/kv-keep/")) {
            const auto lease = leases.find(std::stoll(path.substr(9)));
            status = lease == leases.end() ? 404 : 200;
            if (status == 200) {
                lease->second.end = Clock::now() + lease->second.ttl;
                body = {{"ttl-ms", lease->second.ttl.count()}};
            }
        } else {
            status = 404;
        }
        const std::int64_t answerEra = era;
        lock.unlock();
        return reply(connection, status, body, answerEra);
    }

    int runTransaction(const json &txn, json &body)
    {
        bool holds = true;
        json current = json::array();
        for (const json &expected : txn.at("expected-rev")) {
            const auto item = items.find(expected.at("key").get<std::string>());
            const std::int64_t known = item == items.end() ? 0 : item->second.revision;
            holds = holds && expected.at("revision").get<std::int64_t>() == known;
            if (item != items.end())
                current.push_back(encode(item->first, item->second));
        }
        if (!holds) {
            body = {{"items", current}};
            return 412;
        }
        for (const json &put : txn.at("puts")) {
            const std::int64_t lease = put.value("lease", std::int64_t{0});
            if (lease != 0 && !leases.contains(lease))
                return 404;
        }
        ++revision;
        for (const json &put : txn.at("puts"))
            write(put.at("key"), decodeBase64(put.at("value")), put.value("lease", std::int64_t{0}));
        for (const json &key : txn.at("remove"))
            erase(key);
        body = {{"revision", revision}};
        changed.notify_all();
        return 200;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<std::int64_t, Lease> leases;
    std::deque<json> history;
    std::int64_t revision = 1;
    std::int64_t firstRevision = 0;
    std::int64_t lastLease = 1000;
    std::int64_t era = 1;
    bool isAway = false;
    std::map<std::string, int> cuts; ///< Of watches, by prefix.
    Copy copy;
    std::map<std::string, std::optional<std::string>> written;
};

/// Forwards connections to a server. While it is cut, nothing passes in either direction and nothing is answered; what
/// was sent meanwhile passes afterwards.
class Proxy
{
public:
    explicit Proxy(int target)
        : target(target)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(0);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
            throw CannotRun("cannot listen");
        port = portOf(fd);
        std::thread([this, fd] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                    std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::atomic<bool> isCut = false;
    int port = 0;

private:
    void serve(int caller)
    {
        const int on = 1;
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(target);
        while (isCut)
            sleepMs(5);
        if (::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(server);
            ::close(caller);
            return;
        }
        setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread back([this, caller, server] { pump(server, caller); });
        pump(caller, server);
        back.join();
        ::close(server);
        ::close(caller);
    }

    void pump(int from, int to)
    {
        char bytes[16384];
        while (true) {
            const ssize_t size = ::recv(from, bytes, sizeof bytes, 0);
            while (isCut)
                sleepMs(5);
            if (size <= 0)
                break;
            for (ssize_t sent = 0; sent < size;) {
                const ssize_t part = ::send(to, bytes + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
                if (part <= 0) {
                    ::shutdown(from, SHUT_RDWR);
                    return;
                }
                sent += part;
            }
        }
        ::shutdown(to, SHUT_WR);
    }

    int target;
};

// Processes of the system.

/// A hemlock-relay process, started as by the deploy file.
class Relay
{
public:
    Relay(std::string folder, std::string node, std::string zone)
        : name(std::move(node))
        , folder(std::move(folder))
        , zone(std::move(zone))
        , frontPort(freePort())
        , readyPort(freePort())
        , controlPort(freePort())
        , peerPort(freePort(SOCK_DGRAM))
    {
    }

    void start(const std::string &storeAddress, const std::string &cloudAddress, bool isBootstrap, json bounds = {})
    {
        json allBounds = {{"contact-ms", 3000},
                          {"drain-ms", 2000},
                          {"grace-s", 8},
                          {"config-apply-ms", 2000},
                          {"retry-ratio", 0.2},
                          {"retry-window-s", 10},
                          {"retry-slack", 52},
                          {"quota-window-s", 8},
                          {"quota-overrun", 0.1},
                          {"quota-slack", 190000},
                          {"require-fencing", false},
                          {"lease-ms", 3000},
                          {"thaw-ms", 300},
                          {"usage-window-s", 5},
                          {"usage-delay-s", 10}};
        if (bounds.is_object())
            allBounds.update(bounds);
        json settings = {{"node-name", name},
                         {"role", "entry"},
                         {"machine-class", "frontend"},
                         {"serves", {"frontend", "control_plane"}},
                         {"ip", "127.0.0.1"},
                         {"zone", zone},
                         {"region", "region"},
                         {"port-range", {peerPort, peerPort}},
                         {"bootstrap", isBootstrap},
                         {"heartbeat-ms", 1200},
                         {"listen",
                          {{"front", "127.0.0.1:" + std::to_string(frontPort)},
                           {"ready", "127.0.0.1:" + std::to_string(readyPort)},
                           {"control", "127.0.0.1:" + std::to_string(controlPort)}}},
                         {"limits", limits},
                         {"bounds", allBounds},
                         {"platform", {{"address", storeAddress}, {"form", "kv"}}}};
        if (!cloudAddress.empty())
            settings["cloud"] = {{"address", cloudAddress}, {"duties", {"usage_report", "autoscale"}}};
        const std::string file = folder + "/" + name + ".json";
        std::ofstream(file) << settings.dump(2);
        const std::string log = folder + "/" + name + ".log";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execl("target/bin/hemlock-relay", "hemlock-relay", "--settings", file.c_str(), nullptr);
            _exit(127);
        }
        if (pid < 0)
            throw CannotRun("no process could be started");
        record("relay %s: started, process %d", name.c_str(), static_cast<int>(pid));
    }

    void signal(int number) const
    {
        if (pid > 0)
            ::kill(pid, number);
    }

    void kill()
    {
        if (pid <= 0)
            return;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        pid = -1;
    }

    bool hasEnded()
    {
        return pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid;
    }

    bool isReady() const
    {
        const ConnectionPtr connection = connectTo(readyPort);
        if (!connection || !connection->send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n"))
            return false;
        const auto answer = connection->readHead(Clock::now() + Ms(500));
        return answer && answer->startLine.find(" 200 ") != std::string::npos;
    }

    void waitUntilReady() const
    {
        const auto end = Clock::now() + Ms(15000);
        while (!isReady()) {
            if (Clock::now() >= end)
                throw CannotRun(name + " does not become ready");
            sleepMs(50);
        }
        record("relay %s: ready", name.c_str());
    }

    std::string name;
    std::string folder;
    std::string zone;
    json limits = {{"cpu-share", 0.25}, {"cpu-cores", 1}, {"memory-mb", 260}, {"max-fds", 4100}};
    int frontPort;
    int readyPort;
    int controlPort;
    int peerPort;
    pid_t pid = -1;
};

/// Answer as a caller sees it.
struct Answer
{
    int status = 0; ///< 0 if none arrived.
    bool isComplete = false;
    Message message;
};

inline int statusOf(const std::string &startLine)
{
    return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
}

/// Sends a request on a connection and reads its answer.
inline Answer exchange(const ConnectionPtr &connection, const std::string &request, Ms patience)
{
    Answer answer;
    const auto deadline = Clock::now() + patience;
    if (!connection || !connection->send(request))
        return answer;
    auto head = connection->readHead(deadline);
    if (!head)
        return answer;
    answer.message = std::move(*head);
    answer.status = statusOf(answer.message.startLine);
    answer.isComplete = connection->readBody(answer.message, true, deadline);
    return answer;
}

/// Whether the disruption of the case takes place.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Runs a case: main(ARGUMENT 1 = file of the record, ARGUMENT 2 = temporary folder). @p body returns whether the rule
/// held.
inline int runCase(int argc, char **argv, const std::function<bool(const std::string &folder)> &body)
{
    if (argc < 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    recordFile = std::fopen(argv[1], "w");
    int code = 2;
    try {
        const bool held = body(argv[2]);
        record("result: the rule %s", held ? "held" : "was broken");
        code = held ? 0 : 1;
    } catch (const std::exception &error) {
        record("result: the case could not run: %s", error.what());
    }
    std::fflush(nullptr);
    return code;
}

} // namespace rig
