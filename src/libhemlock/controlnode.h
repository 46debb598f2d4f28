#pragma once

#include "configkeeper.h"
#include "kvaccess.h"
#include "logger.h"
#include "periodictask.h"
#include "rpc.h"
#include "snapshot.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

struct ControlNodeSettings
{
    Peer self;
    nlohmann::json documentSchema;
};

/// What a control node does to the outside world.
struct ControlNodeIo
{
    KvAccess kv;
    /// GET of a path of the cloud API; @p error is empty when @p body arrived.
    std::function<void(const std::string &path,
                       std::function<void(const nlohmann::json &body, const std::string &error)>)>
        cloudGet;
    /// JSON-RPC call to another of the system's processes.
    std::function<void(const std::string &address,
                       const std::string &method,
                       const nlohmann::json &params,
                       std::function<void(const RpcOutcome &)> done)>
        call;
    std::function<double()> random; ///< Uniform in [0, 1).
    std::function<void(LogLevel level, std::string_view event, const nlohmann::json &fields)> log;
};

/// The control process of one entry VM: reads configuration and upstreams and tells its entry process.
class ControlNode
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ControlNode(ControlNodeSettings settings, ControlNodeIo io);

    /// Starts what is due. Called every few tens of milliseconds.
    void tick(TimePoint now);

    Snapshot snapshot() const;

private:
    void readConfig();
    void applyConfig(const ConfigRead &read);
    void readVms();
    void applyVms(const nlohmann::json &body);
    void pushSnapshot(TimePoint now);

    ControlNodeSettings settings;
    ControlNodeIo io;
    ConfigStore store;
    ConfigKeeper config;
    std::map<std::string, Upstream> upstreams;
    PeriodicTask configPoll;
    PeriodicTask vmPoll;
    PeriodicTask push;
    bool readsConfig = false;
    bool readsVms = false;
    bool pushes = false;
    bool changed = false;
    std::int64_t sequence = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
