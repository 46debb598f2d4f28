#pragma once

#include "controlnode.h"
#include "memorystore.h"

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

struct FleetSettings
{
    int nodes = 6;
    int zones = 4;
    int vmsPerZone = 3;
    unsigned seed = 1;
    std::chrono::milliseconds latency{3}; ///< One way between two nodes, the store and the cloud API.
    std::chrono::milliseconds tick{20};
};

/// Control nodes with their entry processes, a store and a cloud API in simulated time.
class ControlFleet
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// One entry VM: its control node, and what its entry process knows.
    struct Vm
    {
        Peer self;
        std::unique_ptr<ControlNode> node;
        Snapshot applied;
        int snapshots = 0;
        std::int64_t highestVersion = 0;
        bool hasConfigRegressed = false; ///< Whether a snapshot had an older configuration than an earlier one.
        std::map<std::string, int> failures; ///< Next report of the entry process.
        std::int64_t bytesSent = 0; ///< To other control nodes.
        std::int64_t bytesReceived = 0;
        int storeCalls = 0;
        int cloudCalls = 0;
        bool isStoreCut = false;
        bool isCloudCut = false;
        std::vector<std::string> seeds;
        TimePoint vmTick;
    };

    explicit ControlFleet(const FleetSettings &settings);
    ~ControlFleet();
    ControlFleet(const ControlFleet &) = delete;
    ControlFleet &operator=(const ControlFleet &) = delete;

    /// Starts the control process of a VM, or starts it again without its memory.
    void start(const std::string &id);
    void stop(const std::string &id);

    void run(std::chrono::milliseconds duration);

    /// Runs until the condition holds; false when it does not within @p limit.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /// Commits a section; runs until the commit has ended.
    CommitOutcome commit(const std::string &section, const nlohmann::json &content);

    /// Whether every started VM's entry process has at least this configuration.
    bool isInForce(std::int64_t version) const;

    /// Whether no started VM's entry process sends to the upstream.
    bool isUnused(const std::string &upstream) const;
    bool isServing(const std::string &upstream) const;

    std::optional<UpstreamState> stateAt(const std::string &vm, const std::string &upstream) const;

    TimePoint now;
    MemoryStore store;
    std::map<std::string, Vm> vms;
    std::vector<nlohmann::json> listed; ///< VMs in the cloud API's list.
    std::vector<nlohmann::json> notices;
    std::set<std::string> deadUpstreams;
    std::set<std::pair<std::string, std::string>> brokenLinks; ///< From and to, one direction.
    nlohmann::json documentSchema;

    void addNotice(const std::string &vm, std::chrono::milliseconds left);

private:
    using Event = std::function<void()>;

    void schedule(std::chrono::milliseconds delay, Event event);
    void tickNode(const std::string &id, int generation);
    ControlIo nodeIo(const std::string &id, int generation);
    KvAccess kvAccessOf(const std::string &id);
    void notifyWatchers();
    void call(const std::string &from,
              const std::string &address,
              const std::string &method,
              const nlohmann::json &params,
              std::function<void(const RpcOutcome &)> done);
    nlohmann::json answerEntry(Vm &vm, const std::string &method, const nlohmann::json &params);
    ConfigStore configEditor();

    FleetSettings settings;
    std::mt19937_64 engine;
    nlohmann::json chart;
    std::multimap<TimePoint, Event> events;
    std::map<std::string, int> generations;
    std::map<int, KvClient::WatchHooks> watches;
    int lastWatch = 0;
    std::int64_t watchedRevision = 0;
    std::map<std::string, std::int64_t> revisions;
};

} // namespace hemlock
