#pragma once

#include "randomengine.h"
#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Load and health of one upstream that can receive requests, as seen by this process.
struct UpstreamView
{
    std::string id;
    AvailabilityZone zone;
    int inFlight = 0; ///< Requests of this process in progress at the upstream.
    double reportedLoad = 0.0; ///< Requests in progress according to the upstream's last report.
    std::chrono::milliseconds reportAge{0};
    /// Requests of this process included in reportedLoad, which inFlight already counts; 0 when unknown.
    double inFlightAtReport = 0.0;

    double pendingTokens = 0.0; ///< Prompt tokens sent by all entry VMs whose requests have no first token yet.
    double failureShare = 0.0; ///< Failed share of its recent answers to this process, 0 to 1.
    std::chrono::milliseconds excessDelay{0}; ///< Recent time to the first byte beyond what the load explains.
    int slots = 0; ///< Requests that the upstream runs at once; further ones queue there. 0 when unknown.

    /// Estimated requests in progress: the current requests of this process plus those of other processes as last
    /// reported, weighted down by the age of the report.
    double load() const;
};

/// The upstreams of one service that can receive requests, updated incrementally so that a routing decision does not
/// iterate over all of them. Look-ups, random choices and load changes are O(1); finding the start of a walk along the
/// consistent-hash ring is O(log upstreams).
class CandidateSet
{
public:
    CandidateSet() = default;
    explicit CandidateSet(const std::vector<UpstreamView> &views);

    /// Adds an upstream or replaces its data.
    void set(const UpstreamView &view);
    void remove(const std::string &id);
    /// Adds the change to the in-flight count of an upstream: 1 when a request starts, -1 when it ends. Unknown
    /// upstreams are ignored.
    void addInFlight(const std::string &id, int change);

    std::size_t size() const;
    const UpstreamView &at(std::size_t index) const;
    /// Returns nullptr when the upstream is not a candidate.
    const UpstreamView *find(const std::string &id) const;
    double meanLoad() const;

    /// The set must not be empty.
    const UpstreamView &randomChoice(RandomEngine &random) const;
    /// Returns nullptr when no candidate is in the zone.
    const UpstreamView *randomChoiceIn(const AvailabilityZone &zone, RandomEngine &random) const;

    /// Returns up to count distinct upstreams that follow the hash clockwise on the ring.
    std::vector<const UpstreamView *> ringSuccessors(std::uint64_t hash, std::size_t count) const;

private:
    static constexpr std::uint32_t absent = 0xffffffff;

    /// Storage of one upstream; reused after its removal.
    struct Slot
    {
        UpstreamView view;
        std::uint32_t generation = 0; ///< Incremented on removal, which makes the ring points of the slot stale.
        std::uint32_t activeIndex = absent; ///< Position in activeSlots.
        std::uint32_t zoneIndex = absent; ///< Position in the list of its zone.
    };

    struct RingPoint
    {
        std::uint64_t hash;
        std::uint32_t slot;
        std::uint32_t generation;
    };

    bool isCurrent(const RingPoint &point) const;
    /// Merges new points into the ring and drops stale ones.
    void mergeRing() const;

    std::vector<Slot> slots;
    std::vector<std::uint32_t> freeSlots;
    std::vector<std::uint32_t> activeSlots; ///< Indexes into slots that are in use.
    std::unordered_map<std::string, std::vector<std::uint32_t>> slotsByZone; ///< Indexes into slots, by zone name.
    std::unordered_map<std::string, std::uint32_t> slotById;
    double totalLoad = 0.0;
    // New points are merged on the next walk of the ring, because a service adds thousands of them at startup.
    mutable std::vector<RingPoint> ring;
    mutable std::vector<RingPoint> newPoints;
    mutable std::size_t stalePoints = 0;
};

} // namespace hemlock
