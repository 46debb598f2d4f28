#pragma once

#include "controlio.h"
#include "membership.h"
#include "periodictask.h"

#include <memory>

namespace hemlock {

/// Registers a node in the store under a lease, and finds the other nodes there.
class MemberRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    MemberRegistry(const ControlIo &io, const Peer &self, Membership &membership);

    void tick(TimePoint now, const FleetRole &role);

    /// Deletes the own record.
    void leave();

private:
    void registerSelf(const FleetRole &role);
    void keepAlive();
    void readMembers();

    const ControlIo &io;
    Peer self;
    Membership &membership;
    PeriodicTask keepAliveTask;
    PeriodicTask readTask;
    std::int64_t lease = 0;
    bool isUpdatingLease = false;
    bool isReadingMembers = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
