#pragma once

#include <map>
#include <string>

namespace hemlock {

/// Merges the running totals of several reporters that count the same events, each since its own start.
///
/// A reporter may miss events and may fail at any time, so the highest count wins for each name.
class RunningTotals
{
public:
    using Totals = std::map<std::string, double>;

    /// Merges the current totals of a reporter and returns the result. What a reporter counted before its first call is
    /// ignored: its totals are offset so that they continue from the merged ones.
    const Totals &merge(const std::string &reporter, const Totals &totals);

private:
    Totals merged;
    std::map<std::string, Totals> offsetsByReporter; ///< Added to a reporter's totals; may be negative.
};

} // namespace hemlock
