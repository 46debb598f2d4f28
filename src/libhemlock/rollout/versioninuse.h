#pragma once

#include "rollout/rolloutrecord.h"

#include <map>
#include <string>

namespace hemlock {

/// Which versions of a service may get requests.
///
/// The version in use is that of the record. Before there is a record, it is the one that most serving upstreams had
/// when it was first asked for. It then stays, so that upstreams which are started later cannot outnumber it.
class VersionInUse
{
public:
    /// @p serving holds the number of serving upstreams by version; an entry without a version has an empty one.
    void observe(const std::map<std::string, std::size_t> &serving);

    /// Applies the record of the store.
    void apply(const RolloutRecord &record);

    /// Empty until it is known, or if no upstream has a version.
    const std::string &version() const;

    /// Whether upstreams of @p version may get requests as those of the version in use. Entries without a version are
    /// of earlier deployments, which have no roll-outs, and are served as before.
    bool isInUse(const std::string &version) const;

private:
    std::string inUse;
    bool isRecorded = false;
};

} // namespace hemlock
