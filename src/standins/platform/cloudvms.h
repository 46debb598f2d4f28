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

/// A VM as reported by the cloud API.
struct CloudVm
{
    std::string id;
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    std::string service; ///< Empty for an entry VM.
    std::string address; ///< "IP:PORT" of the service on the VM.
    double pricePerHour = 0.0;
    bool isLeaving = false; ///< A reclaim notice has been issued.
};

/// Writes the fields of GET /cloud/v1/vms.
void to_json(nlohmann::json &json, const CloudVm &vm);
void from_json(const nlohmann::json &json, CloudVm &vm);

/// Announces that a VM will be terminated at the deadline.
struct ReclaimNotice
{
    std::int64_t seq = 0;
    std::string vm;
    std::chrono::steady_clock::time_point deadline;
};

/// VMs of a cloud account: starting, termination, reclaims with notice, and a list with a delay. The caller passes the
/// current time.
class CloudVms
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @p lag is the age of the state that list() returns.
    explicit CloudVms(std::chrono::milliseconds lag);

    void setLag(std::chrono::milliseconds lag);

    /// Sets the price of VMs of this zone, machine class and kind that are added or started later.
    void setPrice(const std::string &zone, const std::string &machineClass, bool reclaimable, double pricePerHour);
    nlohmann::json prices() const;

    /// Adds a running VM that list() returns at once, whatever the lag.
    void addLive(CloudVm vm);

    /// Adds the address of an idle upstream. A later start of the same zone, service and machine class uses it.
    void addSpare(const CloudVm &vm);

    /// Starts a VM: assigns an identifier, a price and, unless it has an address, the address of a spare VM.
    /// Returns std::nullopt if no spare VM matches the zone, service and machine class.
    std::optional<CloudVm> start(CloudVm vm, Time now);

    /// Terminates a VM immediately; returns false if it does not exist.
    bool terminate(const std::string &id, Time now);

    /// Issues a reclaim notice for a VM; returns false if it does not exist or already has one.
    bool reclaim(const std::string &id, std::chrono::milliseconds notice, Time now);

    /// Issues reclaim notices for the reclaimable VMs of a zone, or for all its VMs with @p includeOnDemand. Returns
    /// the identifiers.
    std::vector<std::string>
    reclaimZone(const std::string &zone, bool includeOnDemand, std::chrono::milliseconds notice, Time now);

    /// Terminates the VMs whose deadline has passed and returns them.
    std::vector<CloudVm> terminateOverdue(Time now);

    std::vector<CloudVm> list(Time now) const;
    std::vector<ReclaimNotice> noticesAfter(std::int64_t seq) const;
    std::optional<CloudVm> find(const std::string &id) const;

private:
    /// State of a VM from a point in time on; std::nullopt if it was terminated.
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
