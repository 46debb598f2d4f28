#include "cloudvms.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

void to_json(nlohmann::json &json, const CloudVm &vm)
{
    json = {{"id", vm.id},
            {"zone", vm.zone},
            {"class", vm.machineClass},
            {"reclaimable", vm.reclaimable},
            {"state", vm.isLeaving ? "leaving" : "live"},
            {"service", vm.service},
            {"address", vm.address},
            {"pricePerHour", vm.pricePerHour}};
}

void from_json(const nlohmann::json &json, CloudVm &vm)
{
    vm = {};
    vm.id = json.value("id", "");
    json.at("zone").get_to(vm.zone);
    json.at("class").get_to(vm.machineClass);
    vm.reclaimable = json.value("reclaimable", true);
    vm.service = json.value("service", "");
    vm.address = json.value("address", "");
}

CloudVms::CloudVms(std::chrono::milliseconds lag)
    : lag(lag)
{
}

void CloudVms::setLag(std::chrono::milliseconds lag)
{
    this->lag = lag;
}

void CloudVms::setPrice(const std::string &zone, const std::string &machineClass, bool reclaimable, double pricePerHour)
{
    this->priceList[{zone, machineClass, reclaimable}] = pricePerHour;
}

nlohmann::json CloudVms::prices() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, price] : this->priceList) {
        const auto &[zone, machineClass, reclaimable] = key;
        list.push_back(
            {{"zone", zone}, {"class", machineClass}, {"reclaimable", reclaimable}, {"pricePerHour", price}});
    }
    return list;
}

double CloudVms::price(const CloudVm &vm) const
{
    const auto found = this->priceList.find({vm.zone, vm.machineClass, vm.reclaimable});
    return found == this->priceList.end() ? 0.0 : found->second;
}

bool CloudVms::exists(const std::string &id) const
{
    return this->find(id).has_value();
}

std::optional<CloudVm> CloudVms::find(const std::string &id) const
{
    const auto found = this->history.find(id);
    return found == this->history.end() ? std::nullopt : found->second.back().vm;
}

void CloudVms::addLive(CloudVm vm)
{
    vm.pricePerHour = this->price(vm);
    this->history[vm.id].push_back({Time::min(), vm});
}

void CloudVms::addSpare(const CloudVm &vm)
{
    this->spares.push_back(vm);
}

std::optional<CloudVm> CloudVms::start(CloudVm vm, Time now)
{
    if (vm.address.empty()) {
        const auto spare = std::find_if(this->spares.begin(), this->spares.end(), [&vm](const CloudVm &spare) {
            return spare.zone == vm.zone && spare.service == vm.service && spare.machineClass == vm.machineClass;
        });
        if (spare == this->spares.end())
            return std::nullopt;
        vm.address = spare->address;
        this->spares.erase(spare);
    }
    while (vm.id.empty() || this->history.contains(vm.id))
        vm.id = "vm-" + std::to_string(this->nextId++);
    vm.isLeaving = false;
    vm.pricePerHour = this->price(vm);
    this->history[vm.id].push_back({now, vm});
    return vm;
}

bool CloudVms::terminate(const std::string &id, Time now)
{
    if (!this->exists(id))
        return false;
    this->history[id].push_back({now, std::nullopt});
    return true;
}

bool CloudVms::reclaim(const std::string &id, std::chrono::milliseconds notice, Time now)
{
    std::optional<CloudVm> vm = this->find(id);
    if (!vm || vm->isLeaving)
        return false;
    vm->isLeaving = true;
    this->history[id].push_back({now, vm});
    this->notices.push_back({static_cast<std::int64_t>(this->notices.size()) + 1, id, now + notice});
    return true;
}

std::vector<std::string>
CloudVms::reclaimZone(const std::string &zone, bool includeOnDemand, std::chrono::milliseconds notice, Time now)
{
    std::vector<std::string> reclaimed;
    for (const auto &[id, changes] : this->history) {
        const std::optional<CloudVm> &vm = changes.back().vm;
        if (vm && vm->zone == zone && !vm->isLeaving && (vm->reclaimable || includeOnDemand))
            reclaimed.push_back(id);
    }
    for (const std::string &id : reclaimed)
        this->reclaim(id, notice, now);
    return reclaimed;
}

std::vector<CloudVm> CloudVms::terminateOverdue(Time now)
{
    std::vector<CloudVm> terminated;
    for (const ReclaimNotice &notice : this->notices) {
        if (notice.deadline > now)
            continue;
        if (const std::optional<CloudVm> vm = this->find(notice.vm); vm && vm->isLeaving) {
            terminated.push_back(*vm);
            this->terminate(notice.vm, now);
        }
    }
    return terminated;
}

std::vector<CloudVm> CloudVms::list(Time now) const
{
    std::vector<CloudVm> visible;
    for (const auto &[id, changes] : this->history) {
        std::optional<CloudVm> seen;
        for (const Change &change : changes) {
            if (change.time <= now - this->lag)
                seen = change.vm;
        }
        if (seen)
            visible.push_back(*seen);
    }
    return visible;
}

std::vector<ReclaimNotice> CloudVms::noticesAfter(std::int64_t seq) const
{
    std::vector<ReclaimNotice> found;
    std::copy_if(this->notices.begin(),
                 this->notices.end(),
                 std::back_inserter(found),
                 [seq](const ReclaimNotice &notice) { return notice.seq > seq; });
    return found;
}

} // namespace hemlock
