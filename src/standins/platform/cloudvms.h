#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace hemlock {

/// A VM as the cloud API shows it.
struct CloudVm
{
    std::string id;
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    std::string service; ///< Empty for an entry VM.
    std::string address; ///< "IP:PORT" of what runs on the VM.
    double pricePerHour = 0.0;
    bool isLeaving = false; ///< Under a reclaim notice.
};

/// Fields as in GET /cloud/v1/vms.
void to_json(nlohmann::json &json, const CloudVm &vm);
void from_json(const nlohmann::json &json, CloudVm &vm);

/// Announces that a VM will be ended.
struct ReclaimNotice
{
    std::int64_t seq = 0;
    std::string vm;
    std::chrono::steady_clock::time_point deadline;
};

/// VMs of a cloud account: starts, ends, reclaims with notice, and a list that lags behind. Time is passed in.
class CloudVms
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @p lag is the age of what list() shows.
    explicit CloudVms(std::chrono::milliseconds lag);

    void setLag(std::chrono::milliseconds lag);

    /// Price of a kind of VM, by which started VMs get theirs.
    void setPrice(const std::string &zone, const std::string &machineClass, bool reclaimable, double pricePerHour);
    nlohmann::json prices() const;

    /// Adds a VM that has been live for longer than any lag.
    void addLive(CloudVm vm);

    /// Adds the address of an idle upstream, which a later start in its zone takes.
    void addSpare(const CloudVm &vm);

    /// Starts a VM: gives it an identifier, a price, and the address of a spare one unless it has an address.
    /// Nothing when there is no spare one in the zone for the service.
    std::optional<CloudVm> start(CloudVm vm, Time now);

    /// Ends a VM at once; false when there is none of this identifier.
    bool terminate(const std::string &id, Time now);

    /// Announces the end of one VM; false when there is none or it is leaving already.
    bool reclaim(const std::string &id, std::chrono::milliseconds notice, Time now);

    /// Announces the end of all reclaimable VMs of a zone (or all VMs); returns their identifiers.
    std::vector<std::string>
    reclaimZone(const std::string &zone, bool includeOnDemand, std::chrono::milliseconds notice, Time now);

    /// Ends the VMs whose deadline has passed and returns them.
    std::vector<CloudVm> terminateOverdue(Time now);

    std::vector<CloudVm> list(Time now) const;
    std::vector<ReclaimNotice> noticesAfter(std::int64_t seq) const;
    std::optional<CloudVm> find(const std::string &id) const;

private:
    /// State of a VM from a time on; nothing when it is gone.
    struct Change
    {
        Time time;
        std::optional<CloudVm> vm;
    };
    /// Zone, machine class, and whether the VM is reclaimable.
    using PriceKey = std::tuple<std::string, std::string, bool>;

    double price(const CloudVm &vm) const;
    bool exists(const std::string &id) const;

    std::chrono::milliseconds lag;
    std::int64_t nextId = 1;
    std::map<PriceKey, double> priceList;
    std::vector<CloudVm> spares;
    std::map<std::string, std::vector<Change>> history;
    std::vector<ReclaimNotice> notices;
};

} // namespace hemlock
