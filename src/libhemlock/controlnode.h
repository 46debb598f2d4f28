#pragma once

#include "configsynchronizer.h"
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

/// Identity and static configuration of a control node.
struct ControlNodeSettings
{
    Peer self;
    std::vector<std::string> seeds; ///< Control addresses of peers, used while the store is unreachable.
    nlohmann::json documentSchema; ///< JSON schema of the configuration document.
    nlohmann::json upstreamChart; ///< State chart of the life cycle of an upstream.
};

/// The control process of one entry VM. Tracks membership, configuration and the life cycle of upstreams, and sends
/// them to the entry process of the VM as snapshots.
class ControlNode
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ControlNode(ControlNodeSettings settings, ControlIo io);

    /// Starts all tasks that are due. Must be called every few tens of milliseconds.
    void tick();

    /// Names of the JSON-RPC methods that answer() handles.
    static std::vector<std::string> methods();

    /// Answers a JSON-RPC call of a peer or of hemlockctl. Throws std::invalid_argument for an unknown
    /// method or upstream.
    nlohmann::json answer(const std::string &method, const nlohmann::json &params);

    /// Notifies some peers and the store that this node shuts down.
    void leave();

    /// Current configuration, upstreams and peers, as sent to the entry process.
    Snapshot snapshot() const;

    /// All upstreams except those that are gone.
    std::vector<Upstream> upstreams() const;

    /// Entries of the field "placement" of the current configuration.
    std::vector<nlohmann::json> placement() const;

    /// Whether this node is the watcher of its zone, which may claim roles such as the placer.
    bool isZoneWatcher() const;

    /// Version of the manifest of the current configuration.
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
    /// Peers to which leaving upstreams are sent directly instead of by gossip.
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
    ConfigSynchronizer config;
    MemberRegistry registry;
    VmFeed vmFeed;
    QuarantineRelay quarantine;
    PeriodicTask gossipTask;
    PeriodicTask reportTask;
    PeriodicTask pushTask;
    bool isReadingReport = false;
    bool isPushing = false;
    bool hasUnpushedChanges = false;
    bool hasRequestedUpstreamChanges = false; ///< The request is sent once, after the start.
    TimePoint nextPushRetry;
    std::int64_t sequence = 0; ///< Of the last snapshot that was sent.
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
