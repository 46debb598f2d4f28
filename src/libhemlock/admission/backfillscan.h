#pragma once

#include "candidateset.h"

#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// One pass over the queued requests of a service, in their order, in which smaller requests may start although earlier
/// ones fit nowhere.
///
/// One upstream is reserved for the first request that fits nowhere, so that the requests that start past it cannot
/// delay it without end.
class BackfillScan
{
public:
    /// What decides at which upstreams a request fits.
    struct Need
    {
        double promptTokens = 0.0;
        std::set<std::string> excluded; ///< Upstreams that may not get the request.
        bool isTrial = false; ///< May start at one upstream only, which says nothing about other requests.
    };

    /// With @p isEnabled false, the first request that fits nowhere ends the pass.
    explicit BackfillScan(bool isEnabled = true);

    /// Whether a request may fit, given those that do not.
    bool mayFit(const Need &need) const;

    /// Records a request that fits nowhere. @p candidates are the healthy upstreams of the service and @p unavailable
    /// those of them that take no request now.
    void addBlocked(const Need &need, const CandidateSet &candidates, const std::set<std::string> &unavailable);

    /// Whether no further request needs to be tried.
    bool isFinished() const;

    /// Identifier of the reserved upstream; empty when there is none.
    const std::string &reservedUpstream() const;

private:
    bool isEnabled;
    bool isAllBlocked = false;
    std::vector<Need> blocked;
    std::string reserved;
};

} // namespace hemlock
