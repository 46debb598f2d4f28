#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Adds up the requests and the retries of each service in sliding windows, over all VMs.
class RetryWindows
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// The window in which retries exceed what is allowed by most, or come closest to it.
    struct Window
    {
        std::string service;
        Time start;
        int retries = 0;
        double allowed = 0.0;
    };

    RetryWindows(double ratio, double slack, std::chrono::milliseconds length);

    /// A caller sent a request on a route to the service. Times must not decrease.
    void addRequest(const std::string &service, Time time);

    /// A request arrived at an upstream once more, whether the upstream ran it or not.
    void addRetry(const std::string &service, Time time);

    /// One window for each service with retries. The requests of a window are counted in it, in the one before it or
    /// in the one half a window before it, whichever has most.
    std::vector<Window> worstWindows() const;

private:
    struct Service
    {
        std::vector<Time> requests;
        std::vector<Time> retries;
    };

    Window windowFrom(const std::string &name, const Service &service, Time start) const;

    double ratio;
    double slack;
    std::chrono::milliseconds length;
    std::map<std::string, Service> services;
};

} // namespace hemlock
