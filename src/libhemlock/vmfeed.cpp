#include "vmfeed.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

/// Notices come seconds before the end, so watchers ask often; the answers are a few bytes.
constexpr std::chrono::milliseconds watcherNoticeInterval{250};
constexpr std::chrono::milliseconds noticeInterval{2000};
constexpr std::chrono::milliseconds noticePerNode{100};
/// An entry of the list has about 170 bytes; at 17 ms each the list costs 10 KB/s at any size.
constexpr std::chrono::milliseconds listIntervalPerVm{17};
constexpr std::chrono::milliseconds shortestListInterval{500};
/// Nodes other than watchers learn of VMs by gossip and read the list as a fallback.
constexpr int fallbackFactor = 10;

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
        std::max(shortestListInterval, listIntervalPerVm * static_cast<std::int64_t>(this->listedVms));
    const auto interval = role.isZoneWatcher ? watcherInterval : watcherInterval * fallbackFactor;
    if (!this->readsList && this->listPoll.isDue(now, interval, this->io.random()))
        this->readList();
    const auto notices =
        role.isZoneWatcher ? watcherNoticeInterval : fleetInterval(role, noticeInterval, noticePerNode);
    if (!this->readsNotices && this->noticePoll.isDue(now, notices, this->io.random()))
        this->readNotices();
}

void VmFeed::readList()
{
    this->readsList = true;
    this->io.cloudGet("/cloud/v1/vms",
                      [this, alive = std::weak_ptr<bool>(this->alive)](const json &body, const std::string &error) {
                          if (alive.expired())
                              return;
                          this->readsList = false;
                          std::vector<ListedVm> vms;
                          try {
                              if (!error.empty())
                                  throw std::runtime_error(error);
                              this->listedVms = body.at("vms").size();
                              for (const json &vm : body.at("vms")) {
                                  // VMs without a service are entry VMs or not in use.
                                  if (!vm.value("service", "").empty())
                                      vms.push_back(parseVm(vm));
                              }
                          } catch (const std::exception &problem) {
                              return this->io.log(LogLevel::Warning, "vm-list-not-read", {{"reason", problem.what()}});
                          }
                          this->hooks.listed(vms);
                      });
}

void VmFeed::readNotices()
{
    this->readsNotices = true;
    this->io.cloudGet("/cloud/v1/notices?after=" + std::to_string(this->lastNotice),
                      [this, alive = std::weak_ptr<bool>(this->alive)](const json &body, const std::string &error) {
                          if (alive.expired())
                              return;
                          this->readsNotices = false;
                          std::vector<Notice> notices;
                          try {
                              if (!error.empty())
                                  throw std::runtime_error(error);
                              notices = this->parseNotices(body);
                          } catch (const std::exception &problem) {
                              return this->io.log(LogLevel::Warning, "notices-not-read", {{"reason", problem.what()}});
                          }
                          if (!notices.empty())
                              this->hooks.noticed(notices);
                      });
}

std::vector<VmFeed::Notice> VmFeed::parseNotices(const json &body)
{
    const auto wallClock =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->io.wallClock().time_since_epoch());
    std::vector<Notice> notices;
    std::int64_t last = this->lastNotice;
    for (const json &notice : body.at("notices")) {
        const std::chrono::milliseconds deadline(notice.at("deadlineMs").get<std::int64_t>());
        notices.push_back({notice.at("vm"), std::max(std::chrono::milliseconds(0), deadline - wallClock)});
        last = std::max(last, notice.at("seq").get<std::int64_t>());
    }
    this->lastNotice = last;
    return notices;
}

} // namespace hemlock
