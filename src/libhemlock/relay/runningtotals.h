#pragma once

#include <map>
#include <string>

namespace hemlock {

/// One running total for each name, from several witnesses that each count the same things since their own start.
///
/// Each witness may miss some and may be lost at any time; the one that is ahead decides.
class RunningTotals
{
public:
    using Totals = std::map<std::string, double>;

    /// Takes over what a witness has counted so far, and returns the merged totals. A new witness goes on from them.
    const Totals &merge(const std::string &reporter, const Totals &totals);

private:
    Totals merged;
    std::map<std::string, Totals> offsetsByReporter; ///< What is added to a witness's totals.
};

} // namespace hemlock
