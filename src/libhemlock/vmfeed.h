#pragma once

#include "controlio.h"
#include "periodictask.h"
#include "upstreamlifecycle.h"

#include <functional>
#include <memory>
#include <vector>

namespace hemlock {

/// Polls the cloud API for the list of VMs and for reclaim notices, and reports both to the hooks.
class VmFeed
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Announcement that the cloud will reclaim a VM.
    struct Notice
    {
        std::string vm; ///< Identifier of the VM.
        std::chrono::milliseconds timeLeft{0}; ///< Until the VM is reclaimed.
    };

    /// Called with the upstream VMs of each list that was read, and with new notices.
    struct Hooks
    {
        std::function<void(const std::vector<ListedVm> &)> vmsListed;
        std::function<void(const std::vector<Notice> &)> noticesReceived;
    };

    VmFeed(const ControlIo &io, Hooks hooks);

    /// Reads the list and the notices when each is due; watchers of a zone poll more often.
    void tick(TimePoint now, const FleetRole &role);

private:
    void readList();
    void readNotices();
    std::vector<Notice> parseNotices(const nlohmann::json &body);

    const ControlIo &io;
    Hooks hooks;
    PeriodicTask listPoll;
    PeriodicTask noticePoll;
    std::size_t listedVmCount = 0;
    std::int64_t lastNoticeSequence = 0; ///< Sequence number of the last notice that was read.
    bool isReadingList = false;
    bool isReadingNotices = false;
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
