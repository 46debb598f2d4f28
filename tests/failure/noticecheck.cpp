#include "noticecheck.h"

namespace hemlock {

namespace {

/// Time that a VM has to act on 503 with Retry-After.
constexpr std::chrono::milliseconds pauseNotice{500};

/// Requests that may reach an upstream in a pause.
constexpr int pauseSlack = 2;

std::string millisecondsText(std::chrono::steady_clock::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

NoticeCheck::NoticeCheck(std::chrono::milliseconds drainBound)
    : drainBound(drainBound)
{
}

void NoticeCheck::leavingPassedOn(const std::string &vm, const std::string &upstream, Time time)
{
    this->leaving.try_emplace({vm, upstream}, time);
}

void NoticeCheck::turnedAway(const std::string &vm,
                             const std::string &upstream,
                             Time time,
                             std::chrono::milliseconds retryAfter)
{
    if (retryAfter > pauseNotice)
        this->pauses[{vm, upstream}].push_back({time + pauseNotice, time + retryAfter, 0});
}

void NoticeCheck::forgetVm(const std::string &vm)
{
    const auto isOfVm = [&vm](const auto &entry) { return entry.first.first == vm; };
    std::erase_if(this->leaving, isOfVm);
    std::erase_if(this->pauses, isOfVm);
}

void NoticeCheck::forgetUpstream(const std::string &upstream)
{
    std::erase_if(this->leaving, [&upstream](const auto &entry) { return entry.first.second == upstream; });
    this->forgetTurnedAway(upstream);
}

void NoticeCheck::forgetTurnedAway(const std::string &upstream)
{
    std::erase_if(this->pauses, [&upstream](const auto &entry) { return entry.first.second == upstream; });
}

std::optional<NoticeCheck::Finding>
NoticeCheck::requestArrived(const std::string &vm, const std::string &upstream, Time sent, Time time)
{
    if (const auto told = this->leaving.find({vm, upstream});
        told != this->leaving.end() && sent > told->second + this->drainBound)
        return Finding{"DRAIN",
                       upstream + " got a request that was sent " + millisecondsText(sent - told->second) + " after "
                           + vm + " had passed on that it leaves"};
    const auto asked = this->pauses.find({vm, upstream});
    if (asked == this->pauses.end())
        return std::nullopt;
    std::erase_if(asked->second, [time](const Pause &pause) { return pause.end < time; });
    for (Pause &pause : asked->second) {
        if (time >= pause.start && ++pause.requests > pauseSlack)
            return Finding{"BUDGET",
                           upstream + " got " + std::to_string(pause.requests) + " requests from " + vm
                               + " in a pause that it had asked for"};
    }
    return std::nullopt;
}

} // namespace hemlock
