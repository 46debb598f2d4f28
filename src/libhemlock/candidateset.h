#pragma once

#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

using RandomEngine = std::mt19937_64;

/// What the router knows of one upstream that may take a request.
struct UpstreamView
{
    std::string id;
    AvailabilityZone zone;
    int inFlight = 0; ///< Requests of this process that the upstream works on.
    double reportedLoad = 0.0; ///< Requests in progress by the upstream's own, lagging report.
    std::chrono::milliseconds reportAge{0};
    /// Of the requests in the report, those of this process, which inFlight counts already; 0 when unknown.
    double inFlightAtReport = 0.0;

    double pendingTokens = 0.0; ///< Prompt tokens sent there, by this and other entry VMs, without a first token yet.
    double failureShare = 0.0; ///< Of its recent answers to this process, 0 to 1.
    std::chrono::milliseconds excessDelay{0}; ///< Recent time to the first byte beyond what the load explains.
    int slots = 0; ///< Requests that the upstream runs at once, others wait there; 0 when unknown.

    /// Estimate of the requests in progress: the own ones as they are now, those of others as last reported.
    double load() const;
};

/// The upstreams of one service that may take a request, kept up to date change by change, so that a routing decision
/// needs no pass over all of them. Look-ups, random choices and load changes cost O(1), a walk along the hash ring
/// O(log upstreams) for its start.
class CandidateSet
{
public:
    CandidateSet() = default;
    explicit CandidateSet(const std::vector<UpstreamView> &views);

    /// Adds an upstream or replaces what is known of it.
    void set(const UpstreamView &view);
    void remove(const std::string &id);
    /// Counts a request that starts (1) or ends (-1) at an upstream; unknown ones are left out.
    void addInFlight(const std::string &id, int change);

    std::size_t size() const;
    const UpstreamView &at(std::size_t index) const;
    /// Null when the upstream is not a candidate.
    const UpstreamView *find(const std::string &id) const;
    double meanLoad() const;

    /// The set must not be empty.
    const UpstreamView &randomChoice(RandomEngine &random) const;
    /// Null when no candidate is in the zone.
    const UpstreamView *randomChoiceIn(const AvailabilityZone &zone, RandomEngine &random) const;

    /// The next upstreams clockwise from a hash, each once, at most count of them.
    std::vector<const UpstreamView *> ringSuccessors(std::uint64_t hash, std::size_t count) const;

private:
    static constexpr std::uint32_t absent = 0xffffffff;

    struct Slot
    {
        UpstreamView view;
        std::uint32_t generation = 0;
        std::uint32_t activeIndex = absent;
        std::uint32_t zoneIndex = absent;
    };

    struct RingPoint
    {
        std::uint64_t hash;
        std::uint32_t slot;
        std::uint32_t generation;
    };

    bool isCurrent(const RingPoint &point) const;
    void mergeRing() const;

    std::vector<Slot> slots;
    std::vector<std::uint32_t> freeSlots;
    std::vector<std::uint32_t> activeSlots; ///< Slots in use.
    std::unordered_map<std::string, std::vector<std::uint32_t>> slotsByZone; ///< Slots by name of the zone.
    std::unordered_map<std::string, std::uint32_t> slotById;
    double totalLoad = 0.0;
    // New points are sorted in when the ring is next walked, since a service starts with thousands of them at once.
    mutable std::vector<RingPoint> ring;
    mutable std::vector<RingPoint> newPoints;
    mutable std::size_t stalePoints = 0;
};

} // namespace hemlock
