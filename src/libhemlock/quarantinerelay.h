#pragma once

#include "controlio.h"
#include "periodictask.h"
#include "snapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Forwards quarantine changes of the local entry process to the entry processes of other VMs.
///
/// Changes are polled from the local entry process and sent to the peers that the targets callback returns. A peer's
/// entry process records what is new to it as its own change, so that its control process forwards it in turn.
class QuarantineRelay
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @p entryAddress is the control address of the local entry process; @p io must outlive the relay.
    QuarantineRelay(const ControlIo &io, std::string entryAddress, std::function<std::vector<Peer>()> targets);

    /// Polls the local entry process when that is due.
    void tick(TimePoint now);

private:
    void send(const nlohmann::json &delta);

    const ControlIo &io;
    std::string entryAddress;
    std::function<std::vector<Peer>()> targets;
    PeriodicTask pollTask;
    std::uint64_t sentVersion = 0;
    bool isPollPending = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
