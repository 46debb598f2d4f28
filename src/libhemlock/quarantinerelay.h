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

/// Carries what an entry process learns about crashing requests to the entry processes of other VMs.
///
/// News are read from the own entry process and sent to the peers that the hook names. A peer's entry process counts
/// what is new to it as a change of its own, so that its control process passes it on in turn.
class QuarantineRelay
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    QuarantineRelay(const ControlIo &io, std::string entryAddress, std::function<std::vector<Peer>()> targets);

    void tick(TimePoint now);

private:
    void send(const nlohmann::json &delta);

    const ControlIo &io;
    std::string entryAddress;
    std::function<std::vector<Peer>()> targets;
    PeriodicTask pollTask;
    std::uint64_t sentVersion = 0;
    bool isPollPending = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
