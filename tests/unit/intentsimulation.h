#pragma once

#include "intentlog.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

/// Simulated time; runs callbacks in order of their time.
class SimulatedClock
{
public:
    using Duration = std::chrono::steady_clock::duration;

    std::chrono::steady_clock::time_point now() const;
    std::chrono::system_clock::time_point wallNow() const;
    void after(Duration delay, std::function<void()> callback);

    /// Runs everything that is due within the duration.
    void advance(Duration duration);

private:
    struct Event
    {
        Duration time;
        std::uint64_t order;
        std::function<void()> callback;

        bool operator>(const Event &other) const
        {
            return std::tie(this->time, this->order) > std::tie(other.time, other.order);
        }
    };

    // Real clocks do not start at 0 either; some code treats 0 as "never".
    Duration elapsed = std::chrono::hours(1);
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

/// Key-value store in memory with compare-and-swap, leases and faults.
class SimulatedStore
{
public:
    explicit SimulatedStore(SimulatedClock &clock);

    void range(const std::string &key, const std::function<void(const KvRangeResult &)> &done);
    void txn(const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done);
    KvLeaseResult grantLease(std::chrono::seconds ttl);
    KvLeaseResult keepLeaseAlive(std::int64_t lease);
    void revokeLease(std::int64_t lease);

    const KvEntry *find(const std::string &key);
    void put(const std::string &key, const std::string &value);

    bool isUnavailable = false; ///< Refuses all calls.
    int lostAnswers = 0; ///< The next writes take effect without an answer.
    int lostWrites = 0; ///< The next writes have no effect and no answer.
    std::vector<std::function<void()>> delayedWrites; ///< Writes that delayNextWrite held back.
    bool delayNextWrite = false; ///< The next write gets no answer and takes effect when a test says so.
    std::uint64_t writes = 0;

private:
    KvTxnResult apply(const KvTxn &txn);
    void expireLeases();

    struct Lease
    {
        std::chrono::seconds ttl;
        std::chrono::steady_clock::time_point end;
    };

    SimulatedClock &clock;
    std::map<std::string, KvEntry> entries;
    std::map<std::int64_t, Lease> leases;
    std::int64_t revision = 1;
    std::int64_t nextLease = 1;
};

/// One entry process: its intent log, and a service that counts the calls that reach it.
class SimulatedNode
{
public:
    SimulatedNode(const std::string &name, SimulatedClock &clock, SimulatedStore &store, IntentLogSettings settings);

    /// While paused, nothing of this node runs; all that became due runs on resumption.
    void pause();
    void resume();
    /// The process is gone; no callback of it runs any more.
    void kill();

    IntentLog &log();
    bool isAlive() const;
    const std::string &address() const;

private:
    std::function<void()> unlessKilled(std::function<void()> callback);
    IntentLogHooks makeHooks(const std::string &name);

    SimulatedClock &clock;
    SimulatedStore &store;
    std::string ownAddress;
    std::mt19937 generator;
    std::uint64_t nextId = 0;
    bool isPaused = false;
    std::vector<std::function<void()>> deferredCallbacks;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<IntentLog> intentLog;
};

/// The decision on one call, once it is made.
using PendingDecision = std::shared_ptr<std::optional<IntentDecision>>;

/// Clock, store and nodes of a test.
class IntentFixture
{
protected:
    IntentFixture();

    SimulatedNode &addNode(const std::string &name);
    SimulatedNode &addNode(const std::string &name, const IntentLogSettings &settings);

    IntentRequest request(const std::string &key, const std::string &body = "body");
    PendingDecision submit(SimulatedNode &node, const IntentRequest &request);
    void advance(SimulatedClock::Duration duration);

    /// A node that owns the slot; the slot is claimed by a call that ran.
    SimulatedNode &addOwner(const std::string &name);
    SlotRecord storedRecord();

    SimulatedClock clock;
    SimulatedStore store{clock};
    IntentLogSettings settings;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;
    int nextRequest = 0;
};

inline const StoredAnswer simpleAnswer{201, "application/json", "{\"booked\":true}"};

} // namespace hemlock
