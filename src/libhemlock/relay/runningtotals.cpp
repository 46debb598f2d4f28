#include "relay/runningtotals.h"

#include <algorithm>

namespace hemlock {

const RunningTotals::Totals &RunningTotals::merge(const std::string &witness, const Totals &totals)
{
    auto base = this->basesByWitness.find(witness);
    if (base == this->basesByWitness.end()) {
        base = this->basesByWitness.emplace(witness, this->merged).first;
        for (const auto &[name, total] : totals)
            base->second[name] -= total;
    }
    for (const auto &[name, total] : totals) {
        double &known = this->merged[name];
        known = std::max(known, total + base->second[name]);
    }
    return this->merged;
}

} // namespace hemlock
