#pragma once

#include "gossipqueue.h"
#include "statechart.h"
#include "upstream.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// The upstream of a VM in the VM list of the platform. The list lags behind the actual state.
struct ListedVm
{
    Upstream upstream; ///< The field state is not used.
    bool isLeaving = false;
};

/// A reclaim notice of the platform, a drain, or the same information from a peer.
struct LeavingAnnouncement
{
    Upstream upstream; ///< Contains only the identifier when it comes from a notice.
    std::optional<std::chrono::milliseconds> timeLeft; ///< Unset without a deadline, as for a drain.
};

/// Tracks the life cycle (charts/upstream.json) of all upstreams from reclaim notices, the lagging VM list, probes,
/// observed failures and gossip of peers.
class UpstreamLifecycle
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Called after an upstream is added (from is empty) and after each state change.
    using ChangeHook = std::function<void(const Upstream &upstream, const std::string &from, const std::string &event)>;

    UpstreamLifecycle(const nlohmann::json &chart, ChangeHook onChange);

    /// Applies the complete VM list. Listed upstreams that are missing from it handle the event "unlisted".
    void applyList(const std::vector<ListedVm> &vms, TimePoint now);

    /// Applies an announcement that an upstream leaves. Returns whether it is new: false when an earlier notice,
    /// drain or peer message has already announced it.
    bool applyLeaving(const LeavingAnnouncement &announcement, const std::string &event, TimePoint now);

    /// Applies the failures that an entry process saw since its last report. Observations from a single zone make at
    /// most a third of a zone's upstreams suspected, since a network failure of the observing node looks like the loss
    /// of the zone.
    void observeFailures(const std::string &observer,
                         const AvailabilityZone &observerZone,
                         const std::vector<std::string> &upstreams,
                         TimePoint now);

    /// Returns the upstreams to probe now, each at most once per probe interval. The number per interval is limited.
    std::vector<Upstream> takeProbes(TimePoint now);

    /// Applies the result of a probe that the node @p observer in @p zone has sent.
    void applyProbe(
        const std::string &id, bool answered, const std::string &observer, const AvailabilityZone &zone, TimePoint now);

    /// Marks upstreams whose deadline has passed as gone, and removes those that have been gone for a long time.
    void expire(TimePoint now);

    /// Returns all upstreams that are not gone.
    std::vector<Upstream> upstreams() const;

    /// Returns nullptr when the upstream is unknown.
    const Upstream *find(const std::string &id) const;

    /// Takes up to @p limit gossip updates for the next message to a peer. An update is a JSON array: [id, state,
    /// service, address, zone, milliseconds left or -1] or, for a failure, [id, "!", observer, zone of the observer,
    /// age in milliseconds].
    nlohmann::json takeUpdates(std::size_t limit, TimePoint now);

    /// Applies gossip updates of a peer; @p nodes is the number of nodes that updates have to reach.
    void receive(const nlohmann::json &updates, std::size_t nodes, TimePoint now);

    /// Returns the update on one known upstream, in the format of takeUpdates().
    nlohmann::json updateOf(const std::string &id, TimePoint now) const;

    /// Returns updates on all upstreams that are leaving or gone, for a node that starts.
    nlohmann::json departureUpdates(TimePoint now) const;

    /// Sets the number of nodes that gossip updates have to reach.
    void setNodeCount(std::size_t nodes);

private:
    /// A failure seen by one observer.
    struct Observation
    {
        AvailabilityZone zone;
        TimePoint time;
    };

    enum class Listing {
        Unknown, ///< Not in the VM list so far; known from peers only.
        Listed,
        Vanished, ///< No longer in the VM list.
    };

    struct Record
    {
        explicit Record(const StateChart &chart)
            : machine(chart)
        {
        }

        Upstream upstream;
        StateMachine machine;
        Listing listing = Listing::Unknown;
        std::optional<TimePoint> deadline;
        TimePoint stateSince;
        TimePoint nextProbe;
        int suspicions = 0;
        std::map<std::string, Observation> failures; ///< By observer.
    };

    Record &addRecord(const Upstream &upstream, TimePoint now);
    void handle(Record &record, const std::string &event, TimePoint now);
    void recordFailure(Record &record, const std::string &observer, const AvailabilityZone &zone, TimePoint now);
    /// Makes a serving upstream suspected when its failures are corroborated or its zone has few suspected ones.
    void evaluateFailures(Record &record, TimePoint now);
    /// Whether observers in different zones saw failures.
    bool isCorroborated(const Record &record) const;
    /// Whether one more suspected upstream stays within the share that a single zone's observations may suspect.
    bool isWithinZoneShare(const Record &record) const;
    nlohmann::json encode(const Record &record, TimePoint now) const;
    void receiveUpstream(const nlohmann::json &entry, TimePoint now);

    StateChart chart;
    ChangeHook onChange;
    std::map<std::string, Record> records;
    std::map<std::string, TimePoint> earlyDeadlines; ///< Deadlines from notices on VMs that are not listed yet.
    GossipQueue queue;
    std::size_t nodes = 1;
    TimePoint probeWindowEnd;
    std::size_t probesInWindow = 0;
};

} // namespace hemlock
