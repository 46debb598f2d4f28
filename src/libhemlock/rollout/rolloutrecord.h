#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlock {

/// Order of an operator to move the traffic of a service to another version of its upstreams.
struct RolloutOrder
{
    std::string service;
    std::string target; ///< Version.
    std::chrono::milliseconds duration{0}; ///< From the time that the order is first seen until its deadline.
    std::string text; ///< As written by the operator.
    std::int64_t revision = 0; ///< Of the order's key in the store.
    std::int64_t era = 0; ///< Era of the store that gave out the revision, see StoreEra.
};

/// Whether two orders are the same one. A restored store may give out the revision of an order anew, or list the order
/// under another one, so that orders of different eras are compared by their text alone.
bool isSameOrder(const RolloutOrder &first, const RolloutOrder &second);

enum class RolloutPhase {
    None, ///< There was no order yet.
    Trial, ///< The target gets a small share of the traffic.
    Probe, ///< The target gets a burst, as far as its exposure allows, which shows faults that need load.
    Promoted, ///< The target was judged good and takes the whole traffic.
    Completed,
    RolledBack,
};

/// Whether the phase is a verdict, which never changes for the same order.
bool isVerdict(RolloutPhase phase);

/// Whether requests may reach the target of an order in this phase.
bool isExposed(RolloutPhase phase);

/// Name for logs and records.
const char *rolloutPhaseName(RolloutPhase phase);

/// What the store holds of the roll-outs of one service.
struct RolloutRecord
{
    RolloutOrder order; ///< The latest one.
    RolloutPhase phase = RolloutPhase::None;
    std::string versionInUse; ///< Version that served when no order was open, or the last completed target.
    std::chrono::system_clock::time_point firstSeen; ///< When the order was first seen; the deadline counts from here.
    std::chrono::system_clock::time_point phaseBegan;
};

} // namespace hemlock
