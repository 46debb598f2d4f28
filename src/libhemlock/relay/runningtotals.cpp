#include "relay/runningtotals.h"

#include <algorithm>

namespace hemlock {

const RunningTotals::Totals &RunningTotals::merge(const std::string &reporter, const Totals &totals)
{
    auto offset = this->offsetsByReporter.find(reporter);
    if (offset == this->offsetsByReporter.end()) {
        offset = this->offsetsByReporter.emplace(reporter, this->merged).first;
        for (const auto &[name, total] : totals)
            offset->second[name] -= total;
    }
    for (const auto &[name, total] : totals) {
        double &mergedTotal = this->merged[name];
        mergedTotal = std::max(mergedTotal, total + offset->second[name]);
    }
    return this->merged;
}

} // namespace hemlock
