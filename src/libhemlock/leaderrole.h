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

/// Key, holder name and lease duration of a role.
struct LeaderRoleSettings
{
    std::string key; ///< Prefix of the role's two records, such as "roles/placer".
    std::string holder; ///< Identifier of this node.
    std::chrono::seconds ttl{15}; ///< Duration of the lease.
    /// Returns the era of the store, as by StoreEra::current(). Unset for a store that is never restored.
    std::function<std::int64_t()> storeEra;
    /// Whether the whole system starts for the first time, so that a store without records of the role has lost none.
    bool isFirstStart = false;
};

/// A role that at most one node holds at a time, by leader election through the key-value store.
///
/// KEY/holder names the holder and is bound to a lease. KEY/token has no lease; it counts the holders and is the
/// fencing token. The lease only decides when another node may claim the role. Writes of a holder go through commit(),
/// which compares the holder's record, so a holder that was paused until its lease expired can no longer write.
///
/// A store that is restored from an older copy may lose claims. Fencing tokens hold the era of the store in their upper
/// bits, so that those of lost claims are not given out again.
class LeaderRole
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class CommitResult {
        Committed,
        Lost, ///< This node no longer holds the role; another node may hold it.
        Unknown, ///< The store did not answer; the writes may have taken effect.
    };

    LeaderRole(KvAccess kv, LeaderRoleSettings settings);

    /// Returns the name of the holder in the record at KEY/holder, or an empty string if the record is malformed.
    static std::string holderOf(const std::string &record);

    /// Claims the role if it is free, or renews the lease of this node. @p random is uniform in [0, 1).
    void tick(TimePoint now, double random);

    /// Whether this node holds the role by its own knowledge, which may be outdated.
    bool isHeld() const;

    /// Whether the lease is certain to be valid at @p now, measured from when its last renewal was sent.
    bool isLeaseCurrent(TimePoint now) const;

    /// Increases with each holder; 0 while this node does not hold the role.
    std::int64_t fencingToken() const;

    /// Writes @p puts in one transaction that succeeds only while this node holds the role.
    void commit(const std::vector<KvPut> &puts, std::function<void(CommitResult)> done);

    /// Sends @p txn, which succeeds only while this node holds the role.
    void commit(KvTxn txn, std::function<void(CommitResult)> done);

    /// Called when the store was restored, before any answer of the new era is handled. Returns whether this node is
    /// certain to be the last holder. It then claims the role anew at once; other nodes wait for a lease duration, as a
    /// holder whose claim was lost may act for so long.
    bool storeRestored(TimePoint now);

    /// Era of the store; 0 when unknown.
    std::int64_t storeEra() const;

    /// Whether the restored store may still hold the claim of this node as the last holder, which the next ticks
    /// replace.
    bool mayReplaceClaim() const;

    /// Releases the role so that another node can claim it immediately.
    void release();

private:
    /// What this node wrote, or tried to write, to take the role.
    struct Claim
    {
        std::string id;
        std::int64_t lease = 0;
        std::int64_t token = 0;
        std::int64_t era = 0; ///< Era of the store whose records led to the claim.
    };

    /// Revisions of the records that a claim replaces; 0 where there is none.
    struct RecordRevisions
    {
        std::int64_t holder = 0;
        std::int64_t token = 0;
    };

    void readRecords();
    void recordsRead(const std::vector<KvEntry> &entries);
    /// Whether a holder whose claim was lost may still act. Delays the claims of this node in that case.
    bool mustAwaitLostHolder(std::int64_t lastToken);
    void grantLease(const Claim &claim, const RecordRevisions &replaced);
    void sendClaim(const Claim &claim, const RecordRevisions &replaced);
    /// Reads whether a claim took effect after its transaction ended with an unknown result.
    void resolveClaim(const Claim &claim);
    void becomeHolder(std::int64_t holderRevision, const Claim &claim);
    void renew();
    void resetClaim();

    std::string holderKey() const;
    std::string tokenKey() const;

    KvAccess kv;
    LeaderRoleSettings settings;
    PeriodicTask claimTask;
    bool isCallPending = false;
    std::int64_t holderRevision = 0; ///< Store revision of this node's claim; 0 while it does not hold the role.
    Claim ownClaim; ///< The latest that took effect.
    bool isClaimReplaceable = false; ///< See mayReplaceClaim().
    TimePoint claimsFrom; ///< The role is not claimed before.
    std::int64_t awaitedEra = 0; ///< Era in which claims were delayed for the sake of a holder whose claim was lost.
    TimePoint leaseSentAt; ///< When the grant or last successful renewal of the current lease was sent.
    TimePoint callSentAt;
    /// Expires with this object, so that late callbacks return at once.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
