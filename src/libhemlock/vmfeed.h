#pragma once

#include "controlio.h"
#include "periodictask.h"
#include "upstreamlifecycle.h"

#include <functional>
#include <memory>
#include <vector>

namespace hemlock {

/// Polls the cloud API for the list of VMs and for reclaim notices.
class VmFeed
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Notice
    {
        std::string vm;
        std::chrono::milliseconds timeLeft{0};
    };

    struct Hooks
    {
        std::function<void(const std::vector<ListedVm> &)> vmsListed;
        std::function<void(const std::vector<Notice> &)> noticesReceived;
    };

    VmFeed(const ControlIo &io, Hooks hooks);

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
    std::int64_t lastNoticeSequence = 0;
    bool isReadingList = false;
    bool isReadingNotices = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
