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

/// Size and timing of a simulated fleet.
struct FleetSettings
{
    int nodes = 6;
    int zones = 4;
    int vmsPerZone = 3; ///< Number of upstreams in each zone.
    unsigned seed = 1;
    std::chrono::milliseconds latency{3}; ///< One-way latency between two nodes, and to the store and the cloud API.
    std::chrono::milliseconds tick{20}; ///< Interval between ticks of a control node.
};

/// Simulates control nodes with their entry processes, a store and a cloud API, in simulated time.
class ControlFleet
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// One entry VM: its control node and the state of its entry process.
    struct Vm
    {
        Peer self;
        std::unique_ptr<ControlNode> node;
        Snapshot applied; ///< Last snapshot that the entry process got.
        int snapshots = 0; ///< Number of snapshots that the entry process got.
        std::int64_t highestVersion = 0; ///< Highest configuration version of these snapshots.
        bool hasConfigRegressed = false; ///< Whether a snapshot had an older configuration than a previous one.
        std::map<std::string, int> failures; ///< Failures by upstream in the next report of the entry process.
        std::int64_t bytesSent = 0; ///< Calls to and responses for other control nodes.
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

    /// Starts or restarts the control process of a VM; a restarted one has lost its state.
    void start(const std::string &id);
    void stop(const std::string &id);

    void run(std::chrono::milliseconds duration);

    /// Runs until the condition holds; returns false if it does not hold within @p limit of simulated time.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

    /// Commits a section of the configuration and runs until the commit has finished.
    CommitOutcome commit(const std::string &section, const nlohmann::json &content);

    /// Whether the entry processes of all started VMs have at least this configuration version.
    bool isConfigActive(std::int64_t version) const;

    /// Whether no entry process of a started VM has the upstream as serving.
    bool isUnused(const std::string &upstream) const;
    bool isServing(const std::string &upstream) const;

    std::optional<UpstreamState> stateAt(const std::string &vm, const std::string &upstream) const;

    TimePoint now;
    MemoryStore store;
    std::map<std::string, Vm> vms;
    std::vector<nlohmann::json> listed; ///< VMs in the list of the cloud API.
    std::vector<nlohmann::json> notices;
    std::set<std::string> deadUpstreams;
    std::set<std::pair<std::string, std::string>> brokenLinks; ///< Pairs of sender and receiver; one direction only.
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
    std::map<std::string, int> generations; ///< By node; increases with each start and stop, to ignore stale events.
    std::map<int, KvClient::WatchHooks> watches;
    int lastWatch = 0;
    std::int64_t watchedRevision = 0; ///< Revision of the manifest of which the watches were last notified.
    std::map<std::string, std::int64_t> revisions; ///< Last committed revision by section.
};

} // namespace hemlock
