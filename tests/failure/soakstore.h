#pragma once

#include "httpserver.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace hemlock {

/// Key-value store with the interface of the users' platform, in the memory of the test program.
class SoakStore
{
public:
    enum class Fault {
        None,
        Refuses, ///< Calls are answered 503 and not executed.
        Silent, ///< Calls are neither executed nor answered.
        LosesAnswers, ///< Calls are executed, half of the writes seconds later, but their connections break.
    };

    explicit SoakStore(asio::io_context &loop);

    /// Starts listening and returns "ADDRESS:PORT".
    std::string start();

    /// Writes or removes a key, as the operators and the upstreams do; never fails.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    void setFault(Fault fault);

    /// Discards the history of changes.
    void compact();

    /// Returns to the state of @p age ago, in a new era.
    void restore(std::chrono::milliseconds age);

    /// Writes again what put() and remove() wrote and a restore has lost.
    void writeAgain();

private:
    using Clock = std::chrono::steady_clock;

    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Lease
    {
        std::chrono::milliseconds ttl;
        Clock::time_point end;
    };

    /// State of the store at some moment, without the history.
    struct Copy
    {
        Clock::time_point time;
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 0;
    };

    struct Poll
    {
        std::string prefix;
        std::int64_t after = 0; ///< Revision up to which the caller knows the changes, and nothing else matched.
        Clock::time_point end;
        HttpResponderPtr responder;
    };

    void handle(const HttpRequest &request, const HttpResponderPtr &responder);
    void execute(const HttpRequest &request, const HttpResponderPtr &responder);
    void readKey(const HttpRequest &request, const HttpResponderPtr &responder);
    void readRange(const HttpRequest &request, const HttpResponderPtr &responder);
    void startPoll(const HttpRequest &request, const HttpResponderPtr &responder);
    void runTransaction(const HttpRequest &request, const HttpResponderPtr &responder);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void reply(const HttpResponderPtr &responder, int status, const nlohmann::json &body) const;
    bool answerPoll(Poll &poll) const;
    void tick();
    nlohmann::json encode(const std::string &key, const Item &item) const;

    asio::steady_timer timer;
    HttpServer server;
    Fault fault = Fault::None;
    std::map<std::string, Item> items;
    std::deque<nlohmann::json> history; ///< Events, the oldest first.
    std::int64_t compactedRevision = 0;
    std::int64_t revision = 1;
    std::int64_t lastLease = 0;
    std::int64_t era = 1;
    std::map<std::int64_t, Lease> leases;
    std::map<std::string, std::optional<std::string>> written; ///< Latest by put() and remove(); unset if removed.
    std::deque<Copy> copies; ///< Of the last seconds, the oldest first.
    std::list<Poll> polls;
    std::list<HttpResponderPtr> unanswered; ///< Of calls that get no answer.
    std::multimap<Clock::time_point, HttpRequest>
        lateWrites; ///< Not answered; executed later if their conditions hold.
    int lostWrites = 0;
};

} // namespace hemlock
