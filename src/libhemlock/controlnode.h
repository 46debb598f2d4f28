#pragma once

#include "configfeed.h"
#include "controlio.h"
#include "memberregistry.h"
#include "membership.h"
#include "periodictask.h"
#include "quarantinerelay.h"
#include "snapshot.h"
#include "upstreamlifecycle.h"
#include "vmfeed.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

struct ControlNodeSettings
{
    Peer self;
    std::vector<std::string> seeds; ///< Control addresses of peers, used while the store is out.
    nlohmann::json documentSchema;
    nlohmann::json upstreamChart;
};

/// The control process of one entry VM: membership, configuration and the life cycle of upstreams. It tells its entry
/// process all of it as snapshots.
class ControlNode
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ControlNode(ControlNodeSettings settings, ControlIo io);

    /// Starts what is due. Called every few tens of milliseconds.
    void tick();

    /// Methods that answer(), by name.
    static std::vector<std::string> methods();

    /// Answers a JSON-RPC call of a peer or of hemlockctl. Throws std::invalid_argument for what it refuses.
    nlohmann::json answer(const std::string &method, const nlohmann::json &params);

    /// Tells the peers and the store that this node ends.
    void leave();

    Snapshot snapshot() const;

    /// All upstreams that are not gone.
    std::vector<Upstream> upstreams() const;

    /// Entries of the field "placement" of the configuration in force.
    std::vector<nlohmann::json> placement() const;

    /// Whether this node may take roles of its zone, such as placing VMs.
    bool isZoneWatcher() const;

    std::int64_t configVersion() const;

private:
    nlohmann::json answerGossip(const nlohmann::json &params);
    nlohmann::json answerLeaving(const nlohmann::json &params);
    nlohmann::json answerDrain(const nlohmann::json &params);
    nlohmann::json upstreamChanges() const;
    nlohmann::json status() const;

    void gossip();
    void gossipTo(const Peer &peer, const nlohmann::json &members, const nlohmann::json &upstreams);
    void announceConfig();
    void applyNotices(const std::vector<VmFeed::Notice> &notices);
    void announceLeaving(const std::vector<std::string> &ids);
    std::vector<Peer> directPeers() const;
    void fetchUpstreamChanges();
    void readReport();
    void probe();
    void pushSnapshot();
    std::vector<std::string> contactAddresses() const;
    FleetRole role() const;

    ControlNodeSettings settings;
    ControlIo io;
    Membership membership;
    UpstreamLifecycle lifecycle;
    ConfigFeed config;
    MemberRegistry registry;
    VmFeed vmFeed;
    QuarantineRelay quarantine;
    PeriodicTask gossipTask;
    PeriodicTask reportTask;
    PeriodicTask pushTask;
    bool isReadingReport = false;
    bool isPushing = false;
    bool hasUnpushedChanges = false;
    bool hasRequestedUpstreamChanges = false;
    TimePoint nextPushRetry;
    std::int64_t sequence = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
