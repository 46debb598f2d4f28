#pragma once

#include "controlio.h"
#include "membership.h"
#include "periodictask.h"

#include <memory>

namespace hemlock {

/// Registers this node in the store with a lease, and discovers the other nodes there.
class MemberRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    MemberRegistry(const ControlIo &io, const Peer &self, Membership &membership);

    /// Registers this node or renews its lease, and reads the list of members, when each is due.
    void tick(TimePoint now, const FleetRole &role);

    /// Deletes this node's record from the store.
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
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
