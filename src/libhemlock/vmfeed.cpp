#include "vmfeed.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

/// Notices arrive only seconds before a VM is reclaimed, so watchers poll often; a response has a few bytes.
constexpr std::chrono::milliseconds watcherNoticeInterval{250};
constexpr std::chrono::milliseconds noticeInterval{2000};
constexpr std::chrono::milliseconds noticeIntervalPerNode{100};
/// An entry of the list has about 170 bytes, so 17 ms per entry limits the traffic to 10 KB/s at any list size.
constexpr std::chrono::milliseconds listIntervalPerVm{17};
constexpr std::chrono::milliseconds minListInterval{500};
/// Nodes that are not watchers get VM states by gossip and read the list only as a fallback.
constexpr int fallbackIntervalFactor = 10;

ListedVm parseVm(const json &vm)
{
    ListedVm listed;
    vm.at("id").get_to(listed.upstream.id);
    vm.at("service").get_to(listed.upstream.service);
    vm.at("address").get_to(listed.upstream.address);
    vm.at("zone").get_to(listed.upstream.zone.name);
    listed.isLeaving = vm.at("state") != "live";
    return listed;
}

} // namespace

VmFeed::VmFeed(const ControlIo &io, Hooks hooks)
    : io(io)
    , hooks(std::move(hooks))
{
}

void VmFeed::tick(TimePoint now, const FleetRole &role)
{
    const auto watcherInterval =
        std::max(minListInterval, listIntervalPerVm * static_cast<std::int64_t>(this->listedVmCount));
    const auto listInterval = role.isZoneWatcher ? watcherInterval : watcherInterval * fallbackIntervalFactor;
    if (!this->isReadingList && this->listPoll.isDue(now, listInterval, this->io.random()))
        this->readList();
    const auto noticePollInterval =
        role.isZoneWatcher ? watcherNoticeInterval : fleetInterval(role, noticeInterval, noticeIntervalPerNode);
    if (!this->isReadingNotices && this->noticePoll.isDue(now, noticePollInterval, this->io.random()))
        this->readNotices();
}

void VmFeed::readList()
{
    this->isReadingList = true;
    this->io.cloudGet("/cloud/v1/vms",
                      [this, alive = std::weak_ptr<bool>(this->alive)](const json &body, const std::string &error) {
                          if (alive.expired())
                              return;
                          this->isReadingList = false;
                          std::vector<ListedVm> vms;
                          try {
                              if (!error.empty())
                                  throw std::runtime_error(error);
                              this->listedVmCount = body.at("vms").size();
                              for (const json &vm : body.at("vms")) {
                                  // VMs without a service are entry VMs or unused.
                                  if (!vm.value("service", "").empty())
                                      vms.push_back(parseVm(vm));
                              }
                          } catch (const std::exception &problem) {
                              return this->io.log(LogLevel::Warning, "vm-list-not-read", {{"reason", problem.what()}});
                          }
                          this->hooks.vmsListed(vms);
                      });
}

void VmFeed::readNotices()
{
    this->isReadingNotices = true;
    this->io.cloudGet("/cloud/v1/notices?after=" + std::to_string(this->lastNoticeSequence),
                      [this, alive = std::weak_ptr<bool>(this->alive)](const json &body, const std::string &error) {
                          if (alive.expired())
                              return;
                          this->isReadingNotices = false;
                          std::vector<Notice> notices;
                          try {
                              if (!error.empty())
                                  throw std::runtime_error(error);
                              notices = this->parseNotices(body);
                          } catch (const std::exception &problem) {
                              return this->io.log(LogLevel::Warning, "notices-not-read", {{"reason", problem.what()}});
                          }
                          if (!notices.empty())
                              this->hooks.noticesReceived(notices);
                      });
}

std::vector<VmFeed::Notice> VmFeed::parseNotices(const json &body)
{
    const auto wallClock =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->io.wallClock().time_since_epoch());
    std::vector<Notice> notices;
    std::int64_t last = this->lastNoticeSequence;
    for (const json &notice : body.at("notices")) {
        const std::chrono::milliseconds deadline(notice.at("deadlineMs").get<std::int64_t>());
        notices.push_back({notice.at("vm"), std::max(std::chrono::milliseconds(0), deadline - wallClock)});
        last = std::max(last, notice.at("seq").get<std::int64_t>());
    }
    this->lastNoticeSequence = last;
    return notices;
}

} // namespace hemlock
