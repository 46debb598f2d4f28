#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hemlock {

struct ExposureSettings
{
    double share = 0.1; ///< Of all requests of the service that a version which is not judged good may get.
    double slack = 50.0; ///< Requests beyond this share, over all VMs.
    std::chrono::milliseconds rollbackTime{5000}; ///< After the 50th bad response, no request may be sent from then on.
};

/// Limits the requests that one VM sends to the target of an order until the target is judged good.
///
/// The limit needs no messages: each VM stays below the share of its own requests, so that all VMs together do. A VM
/// that restarts begins with nothing. The permission to send comes from the decider, in the answer to a report of this
/// VM's counts, and ends a time after that report was sent, whatever happens to the decider, the store or the network.
class ExposureLimit
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit ExposureLimit(ExposureSettings settings = {});

    /// Forgets the requests of the previous order. @p random, in [0, 1), is different at each VM: VMs with few requests
    /// would otherwise all round their share down to nothing.
    void begin(double random);

    /// Counts a request of the service at its first attempt, to whichever version it goes.
    void requestStarted();

    /// Counts an attempt that is sent to the target.
    void targetStarted();

    /// The decider has answered a report: this VM may send @p share of its requests to the target.
    void permit(double share, bool isJudgedGood, TimePoint reportSent);

    /// Withdraws the permission at once.
    void stop();

    /// Whether a request may go to the target; @p random is in [0, 1) and @p vms the number of VMs, or more.
    bool allows(double random, std::size_t vms, TimePoint now) const;

    /// Whether the permission is in force at @p now.
    bool isPermitted(TimePoint now) const;

    /// Requests that may still be sent to the target before it is judged good.
    double remaining(std::size_t vms) const;

private:
    ExposureSettings settings;
    double offset = 0.0; ///< Added to the requests that are allowed.
    double requests = 0.0;
    double targetRequests = 0.0;
    double permittedShare = 0.0;
    bool isGood = false;
    TimePoint permittedUntil = TimePoint::min();
};

} // namespace hemlock
