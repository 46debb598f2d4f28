#pragma once

#include "kvaccess.h"
#include "periodictask.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

struct LeaderRoleSettings
{
    std::string key; ///< Prefix of the role's two records, such as "roles/placer".
    std::string holder; ///< Identifier of this node.
    std::chrono::seconds ttl{15};
};

/// A role that one node holds at a time, claimed through the key-value store.
///
/// KEY/holder names the holder under a lease; KEY/token, without a lease, counts the holders and is the fencing token.
/// The lease only decides when another node may claim the role. What a holder does is fenced by commit(), which
/// compares the holder's record, so that a holder that was paused past its lease cannot write any more.
class LeaderRole
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class CommitResult {
        Committed,
        Lost, ///< Another node holds the role, or nobody does.
        Unknown, ///< The store did not answer; the writes may have taken effect.
    };

    LeaderRole(KvAccess kv, LeaderRoleSettings settings);

    /// Name of the holder in the holder's record; empty when it cannot be read.
    static std::string holderOf(const std::string &record);

    /// Claims the role when it is free, or renews its lease. @p random is uniform in [0, 1).
    void tick(TimePoint now, double random);

    /// Whether this node believes that it holds the role.
    bool isHeld() const;

    /// Whether the lease certainly still runs at @p now, by the time at which its last renewal was sent.
    bool isLeaseCurrent(TimePoint now) const;

    /// Grows with each holder; 0 while the role is not held.
    std::int64_t fencingToken() const;

    /// Writes in one transaction that holds only while this node's claim stands.
    void commit(const std::vector<KvPut> &puts, std::function<void(CommitResult)> done);

    /// Gives the role up, so that another node can claim it at once.
    void release();

private:
    void readRecords();
    void grantLease(std::int64_t tokenRevision, std::int64_t token);
    void claim(std::int64_t lease, std::int64_t tokenRevision, std::int64_t token);
    void resolveClaim(const std::string &claimId, std::int64_t lease, std::int64_t token);
    void becomeHolder(std::int64_t holderRevision, std::int64_t lease, std::int64_t token);
    void renew();
    void resetClaim();

    std::string holderKey() const;
    std::string tokenKey() const;

    KvAccess kv;
    LeaderRoleSettings settings;
    PeriodicTask claimTask;
    bool isCallPending = false;
    std::int64_t holderRevision = 0; ///< Of this node's claim; 0 while it does not hold the role.
    std::int64_t lease = 0;
    std::int64_t token = 0;
    TimePoint leaseSentAt; ///< When the grant or renewal of the lease in force was sent.
    TimePoint callSentAt;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
