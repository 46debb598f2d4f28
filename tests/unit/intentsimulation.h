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

/// Simulated clock that runs callbacks in the order of their due times.
class SimulatedClock
{
public:
    using Duration = std::chrono::steady_clock::duration;

    std::chrono::steady_clock::time_point now() const;
    std::chrono::system_clock::time_point wallNow() const;
    void after(Duration delay, std::function<void()> callback);

    /// Moves the clock forward and runs all callbacks that become due.
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

    // Not 0, because some code treats time 0 as "never"; real clocks do not start at 0 either.
    Duration elapsed = std::chrono::hours(1);
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

/// In-memory key-value store with compare-and-swap, leases and injected faults.
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

    bool isUnavailable = false; ///< Fails all requests without applying them.
    int lostAnswers = 0; ///< Number of next writes that are applied but get no response.
    int lostWrites = 0; ///< Number of next writes that are neither applied nor answered.
    std::vector<std::function<void()>> delayedWrites; ///< Writes delayed by delayNextWrite; calling one applies it.
    bool delayNextWrite = false; ///< The next write gets no response and goes to delayedWrites.
    std::uint64_t writes = 0; ///< Write requests, including failed ones.

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

/// One entry process with its intent log, which can be paused and killed.
class SimulatedNode
{
public:
    SimulatedNode(const std::string &name, SimulatedClock &clock, SimulatedStore &store, IntentLogSettings settings);

    /// Defers all callbacks of this node until resume().
    void pause();
    void resume();
    /// Ends the process: no callback of this node runs any more.
    void kill();

    IntentLog &log();
    bool isAlive() const;
    const std::string &address() const;

private:
    /// Wraps a callback so that it is dropped after kill() and deferred while paused.
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

/// The decision on one call; empty until it is made.
using PendingDecision = std::shared_ptr<std::optional<IntentDecision>>;

/// Simulated clock, store and nodes with a single slot.
class IntentFixture
{
protected:
    IntentFixture();

    SimulatedNode &addNode(const std::string &name);
    SimulatedNode &addNode(const std::string &name, const IntentLogSettings &settings);

    IntentRequest request(const std::string &key, const std::string &body = "body");
    PendingDecision submit(SimulatedNode &node, const IntentRequest &request);
    void advance(SimulatedClock::Duration duration);

    /// Adds a node and makes it claim the slot with a call that runs to completion.
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
