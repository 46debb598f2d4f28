#pragma once

#include "httpserver.h"
#include "kvstore.h"
#include "standintokenbucket.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

namespace hemlock {

struct KvLimits
{
    double writesPerSecond = 500.0;
    double readsPerSecond = 2000.0;
    std::size_t maxValueBytes = std::size_t{1024} * 1024;
};

/// Injected faults of the key-value store, set by POST /faults.
struct KvFaults
{
    bool outage = false; ///< Connections close without a response, and calls are not executed.
    std::chrono::milliseconds delay{0}; ///< Delay before each call is executed.
    int loseAnswers = 0; ///< Number of upcoming writes that are executed but get no response.
};

/// Serves a KvStore through the API of the etcd v3 JSON gateway, with rate limits, call counts and injected faults.
class KvGateway
{
public:
    KvGateway(asio::io_context &loop, const KvLimits &limits);

    /// Returns whether the gateway handles this path.
    static bool serves(const std::string &path);

    void handle(const HttpRequest &request, const HttpResponderPtr &responder);

    /// An outage also closes the connections of open watches.
    void setFaults(const KvFaults &faults);
    const KvFaults &faults() const;

    /// Returns calls by path, rejected calls, reads, writes, open watches and the current revision.
    nlohmann::json stats() const;

private:
    struct OpenWatch
    {
        KvStore::WatchId id = 0;
        HttpResponderPtr responder;
        std::string remoteAddress;
    };

    void process(const HttpRequest &request, const HttpResponderPtr &responder);
    nlohmann::json dispatch(const std::string &path, const nlohmann::json &body);
    nlohmann::json executeTransaction(const nlohmann::json &body);
    nlohmann::json dispatchLeaseCall(const std::string &path, const nlohmann::json &body);
    void openWatch(const HttpRequest &request, const nlohmann::json &body, const HttpResponderPtr &responder);
    void endWatches();
    void scheduleExpiry();
    nlohmann::json header() const;

    asio::io_context &loop;
    asio::steady_timer expiryTimer;
    KvLimits limits;
    StandinTokenBucket writeLimit;
    StandinTokenBucket readLimit;
    KvFaults currentFaults;
    KvStore store;
    std::map<std::string, std::uint64_t> callsByPath;
    std::uint64_t readCount = 0;
    std::uint64_t writeCount = 0;
    std::uint64_t refusedCount = 0;
    std::uint64_t nextWatch = 1;
    std::map<std::uint64_t, OpenWatch> openWatches;
};

} // namespace hemlock
