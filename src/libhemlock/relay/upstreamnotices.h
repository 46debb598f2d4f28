#pragma once

#include "upstream.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hemlock {

/// What an upstream says of itself in the head of an answer.
struct UpstreamNotice
{
    /// Requests per second that it takes from all entry VMs together; 0 for no limit, unset if the answer does not
    /// tell.
    std::optional<double> limit;
    bool isLeaving = false;
    std::optional<std::chrono::milliseconds> pause; ///< It turned the request away and wants none for this long.
    std::vector<std::string> invalidFields; ///< Names of the notices whose value is not used as it stands.
};

struct UpstreamNoticesSettings
{
    /// Share of a second's requests that may start at once after a limit was exhausted; one request always may.
    double burstFraction = 0.2;
    /// Notices that were observed longer ago are no longer sent to other entry VMs.
    std::chrono::seconds sentDuration{15};
    std::size_t entriesPerMessage = 30; ///< Of each kind; some 40 bytes each.
    /// The holders of a limit are chosen anew after this time.
    std::chrono::milliseconds holderInterval{500};
    /// How long it is remembered that an upstream leaves which is no longer listed; copies of the store are younger.
    std::chrono::minutes leavingMemory{10};
    /// After a pause, a VM sends at most one request in each interval, for as long as the return takes.
    std::chrono::milliseconds returnInterval{50};
    std::chrono::milliseconds returnDuration{1000};
};

/// Notices that upstreams give of themselves in their answers: a limit of requests per second, that they leave, and
/// that they want nothing for a time.
///
/// Each notice has the time at which its answer arrived, and is told to other entry VMs with its age.
///
/// A limit of L is handed to at most L entry VMs, chosen by rendezvous hashing of the upstream and the names of the
/// VMs, so that each holder has a rate of at least one request a second and the VMs agree without messages. The others
/// send nothing to this upstream. A limit stays in force until an answer comes without one, or the upstream restarts or
/// leaves.
///
/// That an upstream leaves belongs to its incarnation and is never taken back. A pause concerns only the VM that was
/// answered; it ends with its time, not with a restart of the upstream.
class UpstreamNotices
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Where a notice was learned.
    enum class Source {
        Zone, ///< An answer to this VM, or a neighbour that exchanges updates with it.
        OtherZone, ///< Another availability zone; not sent on.
    };

    /// Numbers of notices since the start of the process.
    struct Counts
    {
        std::uint64_t leaving = 0; ///< Incarnations of upstreams that leave, by answers or messages.
        std::uint64_t pauses = 0; ///< Pauses that began.
        std::uint64_t invalid = 0; ///< Fields of answers whose value is not used as it stands.
    };

    explicit UpstreamNotices(UpstreamNoticesSettings settings = {});

    /// Sets the name of this entry VM and a hook that returns the names of all others that are alive. Without it, this
    /// VM holds all limits alone.
    void setFleet(std::string node, std::function<std::set<std::string>()> otherNodes);

    /// Records what the head of an answer says of @p upstream, as known when the request was sent. Returns whether this
    /// incarnation was not known to leave before.
    bool record(const Upstream &upstream, const UpstreamNotice &notice, Time now);

    /// Forgets what ends when an upstream leaves the list or restarts. Only an upstream without incarnations is then no
    /// longer taken for leaving.
    void remove(const std::string &upstream);

    /// Forgets departures of the past, but for those of the listed upstreams.
    void prune(const std::vector<Upstream> &listed, Time now);

    /// Whether this incarnation of an upstream has said that it leaves.
    bool isLeaving(const Upstream &upstream) const;

    /// End of the pause of an upstream; unset if it is not paused now.
    std::optional<Time> pauseEnd(const std::string &upstream, Time now) const;

    /// Upstreams that may not get a request of this VM now because of a limit or a pause.
    std::set<std::string> unavailable(Time now);

    /// Records that a request is sent to an upstream.
    void requestStarted(const std::string &upstream, Time now);

    /// Limit in force at an upstream, in requests per second; 0 if there is none.
    double limitOf(const std::string &upstream) const;

    const Counts &counts() const;

    /// Notices learned lately, as a message to other entry VMs: {"limits": {"UPSTREAM": [limit, age in ms], ...},
    /// "leaving": {"UPSTREAM": [incarnation, age in ms], ...}}. With @p includesNeighbours, those that neighbours
    /// reported as well.
    nlohmann::json encode(bool includesNeighbours, Time now) const;

    /// Applies a message of another entry VM. Returns as record() does. Throws nlohmann::json::exception for a
    /// malformed message.
    bool apply(const nlohmann::json &message, Source source, Time now);

private:
    /// Who told a notice, and when.
    struct Origin
    {
        Time observed; ///< When the answer arrived at the VM that got it.
        bool isOwn = false; ///< Observed by this VM.
        Source source = Source::Zone;
    };

    struct Limit
    {
        Origin origin;
        double perSecond = 0.0; ///< For all entry VMs; 0 after an answer without a limit.
        double ownRate = 0.0; ///< Requests per second that this VM may send; 0 if it holds no share.
        Time rateUpdated{};
        double tokens = 0.0; ///< Requests that this VM may send now.
        Time lastRefill;
    };

    struct Pause
    {
        Time end{};
        Time lastSent{}; ///< When a request was sent after the end.
    };

    using Incarnation = std::pair<std::string, std::string>; ///< Identifier of an upstream and its incarnation.

    void setLimit(const std::string &upstream, const Limit &changed);
    void setPause(const std::string &upstream, std::chrono::milliseconds pause, Time now);
    bool setLeaving(const Incarnation &incarnation, const Origin &origin);
    bool isSent(const Origin &origin, bool includesNeighbours, Time now) const;
    void updateOwnRates(Time now);
    double ownShare(const std::string &upstream, double limit, const std::set<std::string> &others) const;
    void refill(Limit &limit, Time now) const;

    UpstreamNoticesSettings settings;
    std::string node;
    std::function<std::set<std::string>()> otherNodes;
    std::map<std::string, Limit> limits; ///< By upstream.
    std::map<Incarnation, Origin> departures;
    std::map<std::string, Pause> pauses; ///< By upstream; also those that returns follow.
    Counts totals;
};

} // namespace hemlock
