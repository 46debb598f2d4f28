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

/// A VM in the platform's lagging list, as far as it concerns upstreams.
struct ListedVm
{
    Upstream upstream; ///< Its state is not used.
    bool isLeaving = false;
};

/// A reclaim notice, or the same news from a peer.
struct LeavingAnnouncement
{
    Upstream upstream; ///< Only the identifier, when it comes from a notice.
    std::optional<std::chrono::milliseconds> timeLeft; ///< None when the end is not announced, as for a drain.
};

/// The life of all upstreams by charts/upstream.json, fed by notices, the lagging list, probes and observations.
class UpstreamLifecycle
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Called after each change of a state.
    using ChangeHook = std::function<void(const Upstream &upstream, const std::string &from, const std::string &event)>;

    UpstreamLifecycle(const nlohmann::json &chart, ChangeHook onChange);

    void applyList(const std::vector<ListedVm> &vms, TimePoint now);

    /// Whether this was news: no earlier notice, drain or peer told that the upstream leaves.
    bool applyLeaving(const LeavingAnnouncement &announcement, const std::string &event, TimePoint now);

    /// Failures that an entry process saw since its last report. A node's view alone suspects at most a third of a
    /// zone's upstreams, since a failure of the node's own network looks like the death of the zone.
    void observeFailures(const std::string &observer,
                         const AvailabilityZone &observerZone,
                         const std::vector<std::string> &upstreams,
                         TimePoint now);

    /// Upstreams whose next step needs a probe now; each is returned once per probe interval, and only some at a time.
    std::vector<Upstream> takeProbes(TimePoint now);
    void applyProbe(
        const std::string &id, bool answered, const std::string &observer, const AvailabilityZone &zone, TimePoint now);

    /// Ends upstreams whose deadline has passed and forgets those that are gone for long.
    void expire(TimePoint now);

    /// All upstreams that are not gone.
    std::vector<Upstream> upstreams() const;
    const Upstream *find(const std::string &id) const;

    /// Up to @p limit pieces of news for the next message to a peer.
    nlohmann::json takeUpdates(std::size_t limit, TimePoint now);
    void receive(const nlohmann::json &updates, std::size_t nodes, TimePoint now);

    /// News about one upstream as in takeNews().
    nlohmann::json updateOf(const std::string &id, TimePoint now) const;

    /// News about all upstreams that leave or are gone, for a node that starts.
    nlohmann::json departureUpdates(TimePoint now) const;

    /// How many nodes news has to reach.
    void setNodeCount(std::size_t nodes);

private:
    struct Observation
    {
        AvailabilityZone zone;
        TimePoint time;
    };

    enum class Listing {
        Unknown, ///< Known from peers only.
        Listed,
        Vanished, ///< Was in the list and no longer is.
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
    void evaluateFailures(Record &record, TimePoint now);
    bool isCorroborated(const Record &record) const;
    bool isWithinZoneShare(const Record &record) const;
    nlohmann::json encode(const Record &record, TimePoint now) const;
    void receiveUpstream(const nlohmann::json &entry, TimePoint now);

    StateChart chart;
    ChangeHook onChange;
    std::map<std::string, Record> records;
    std::map<std::string, TimePoint> earlyDeadlines; ///< Deadlines of VMs that the list does not show yet.
    GossipQueue queue;
    std::size_t nodes = 1;
    TimePoint probeWindowEnd;
    std::size_t probesInWindow = 0;
};

} // namespace hemlock
