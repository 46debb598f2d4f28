#include "retrywindows.h"

#include <algorithm>

namespace hemlock {

namespace {

using Time = RetryWindows::Time;

/// Number of times in [start, end].
int countBetween(const std::vector<Time> &times, Time start, Time end)
{
    const auto first = std::lower_bound(times.begin(), times.end(), start);
    return static_cast<int>(std::upper_bound(first, times.end(), end) - first);
}

} // namespace

RetryWindows::RetryWindows(double ratio, double slack, std::chrono::milliseconds length)
    : ratio(ratio)
    , slack(slack)
    , length(length)
{
}

void RetryWindows::addRequest(const std::string &service, Time time)
{
    this->services[service].requests.push_back(time);
}

void RetryWindows::addRetry(const std::string &service, Time time)
{
    this->services[service].retries.push_back(time);
}

std::vector<RetryWindows::Window> RetryWindows::worstWindows() const
{
    std::vector<Window> worst;
    for (const auto &[name, service] : this->services) {
        std::vector<Window> windows;
        for (const Time time : service.retries) {
            windows.push_back(this->windowFrom(name, service, time));
            windows.push_back(this->windowFrom(name, service, time - this->length));
        }
        const auto excess = [](const Window &a, const Window &b) {
            return a.retries - a.allowed < b.retries - b.allowed;
        };
        if (!windows.empty())
            worst.push_back(*std::max_element(windows.begin(), windows.end(), excess));
    }
    return worst;
}

RetryWindows::Window RetryWindows::windowFrom(const std::string &name, const Service &service, Time start) const
{
    int requests = 0;
    for (const Time from : {start, start - this->length / 2, start - this->length})
        requests = std::max(requests, countBetween(service.requests, from, from + this->length));
    return {
        name, start, countBetween(service.retries, start, start + this->length), this->ratio * requests + this->slack};
}

} // namespace hemlock
