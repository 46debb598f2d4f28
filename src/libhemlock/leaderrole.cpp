#include "leaderrole.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlock {

namespace {

/// Renewals during one lease duration, so that a single failed renewal does not lose the role.
constexpr int renewalsPerLease = 3;

/// Holders of one era of the store.
constexpr int tokenBitsPerEra = 16;

std::int64_t parseToken(const std::string &text)
{
    std::int64_t token = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), token);
    return parsed.ec == std::errc() ? token : -1;
}

std::string claimIdOf(const std::string &record)
{
    const auto json = nlohmann::json::parse(record, nullptr, false);
    return json.is_object() ? json.value("claim", "") : std::string();
}

} // namespace

LeaderRole::LeaderRole(KvAccess kv, LeaderRoleSettings settings)
    : kv(std::move(kv))
    , settings(std::move(settings))
{
}

std::string LeaderRole::holderOf(const std::string &record)
{
    const auto json = nlohmann::json::parse(record, nullptr, false);
    return json.is_object() ? json.value("holder", "") : std::string();
}

void LeaderRole::tick(TimePoint now, double random)
{
    if (this->isCallPending || now < this->claimsFrom
        || !this->claimTask.isDue(now, this->settings.ttl / renewalsPerLease, random))
        return;
    this->isCallPending = true;
    this->callSentAt = now;
    if (this->isHeld())
        this->renew();
    else
        this->readRecords();
}

bool LeaderRole::isHeld() const
{
    return this->holderRevision != 0;
}

bool LeaderRole::isLeaseCurrent(TimePoint now) const
{
    return this->isHeld() && now < this->leaseSentAt + this->settings.ttl;
}

std::int64_t LeaderRole::fencingToken() const
{
    return this->isHeld() ? this->ownClaim.token : 0;
}

std::int64_t LeaderRole::storeEra() const
{
    return this->settings.storeEra ? this->settings.storeEra() : 0;
}

bool LeaderRole::storeRestored(TimePoint now)
{
    const bool isLastHolder = this->isLeaseCurrent(now);
    this->claimsFrom = isLastHolder ? now : now + this->settings.ttl;
    this->awaitedEra = this->storeEra();
    this->isClaimReplaceable = isLastHolder;
    this->resetClaim();
    this->claimTask.expedite();
    return isLastHolder;
}

bool LeaderRole::mayReplaceClaim() const
{
    return this->isClaimReplaceable;
}

void LeaderRole::readRecords()
{
    this->kv.range(
        this->settings.key + "/",
        true,
        [this, era = this->storeEra(), alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            // The delay of claims after a restore may not have passed if the call was sent before.
            if (result.status == KvStatus::Ok && era == this->storeEra())
                this->recordsRead(result.entries);
        });
}

void LeaderRole::recordsRead(const std::vector<KvEntry> &entries)
{
    const bool mayReplace = std::exchange(this->isClaimReplaceable, false);
    RecordRevisions replaced;
    std::int64_t lastToken = 0;
    for (const KvEntry &entry : entries) {
        if (entry.key == this->holderKey()) {
            if (!mayReplace || claimIdOf(entry.value) != this->ownClaim.id)
                return;
            replaced.holder = entry.modRevision;
        }
        if (entry.key == this->tokenKey()) {
            replaced.token = entry.modRevision;
            lastToken = parseToken(entry.value);
        }
    }
    // A malformed token is not overwritten: restarting the count could reuse a fencing token.
    if (lastToken < 0 || this->mustAwaitLostHolder(lastToken))
        return;
    const std::int64_t era = this->storeEra();
    const std::int64_t token = std::max(lastToken, era << tokenBitsPerEra) + 1;
    this->grantLease({makeUniqueId(), 0, token, era}, replaced);
}

bool LeaderRole::mustAwaitLostHolder(std::int64_t lastToken)
{
    const std::int64_t era = this->storeEra();
    const bool isLatestClaimKnown =
        lastToken >> tokenBitsPerEra >= era || (lastToken == 0 && this->settings.isFirstStart);
    if (isLatestClaimKnown || this->awaitedEra == era)
        return false;
    this->awaitedEra = era;
    this->claimsFrom = this->callSentAt + this->settings.ttl;
    return true;
}

void LeaderRole::grantLease(const Claim &claim, const RecordRevisions &replaced)
{
    this->isCallPending = true;
    this->kv.grantLease(this->settings.ttl,
                        [this, claim, replaced, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
                            if (alive.expired())
                                return;
                            this->isCallPending = false;
                            if (result.status == KvStatus::Ok && result.lease != 0)
                                this->sendClaim({claim.id, result.lease, claim.token, claim.era}, replaced);
                        });
}

void LeaderRole::sendClaim(const Claim &claim, const RecordRevisions &replaced)
{
    const nlohmann::json record = {{"holder", this->settings.holder}, {"token", claim.token}, {"claim", claim.id}};
    KvTxn txn;
    txn.compares = {{this->holderKey(), replaced.holder}, {this->tokenKey(), replaced.token}};
    txn.puts = {{this->holderKey(), record.dump(), claim.lease}, {this->tokenKey(), std::to_string(claim.token), 0}};
    this->isCallPending = true;
    this->kv.txn(txn, [this, claim, alive = std::weak_ptr<bool>(this->alive)](const KvTxnResult &result) {
        if (alive.expired())
            return;
        this->isCallPending = false;
        if (result.status == KvStatus::Unknown)
            this->resolveClaim(claim);
        else if (result.status == KvStatus::Ok && result.succeeded)
            this->becomeHolder(result.revision, claim);
    });
}

void LeaderRole::resolveClaim(const Claim &claim)
{
    this->isCallPending = true;
    this->kv.range(
        this->holderKey(), false, [this, claim, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            // Without an answer the claim expires with its lease, and a later tick reads the records again.
            if (result.status != KvStatus::Ok || result.entries.empty())
                return;
            const KvEntry &entry = result.entries.front();
            if (claimIdOf(entry.value) == claim.id)
                this->becomeHolder(entry.modRevision, claim);
        });
}

void LeaderRole::becomeHolder(std::int64_t newHolderRevision, const Claim &claim)
{
    // The token was chosen by records of an earlier era, so another holder may have used it. The claim expires.
    if (claim.era != this->storeEra())
        return;
    this->holderRevision = newHolderRevision;
    this->leaseSentAt = this->callSentAt;
    this->ownClaim = claim;
}

void LeaderRole::renew()
{
    const std::int64_t renewed = this->ownClaim.lease;
    this->kv.keepLeaseAlive(renewed,
                            [this, renewed, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
                                if (alive.expired())
                                    return;
                                this->isCallPending = false;
                                if (result.status != KvStatus::Ok || !this->isHeld() || this->ownClaim.lease != renewed)
                                    return;
                                if (result.ttl.count() == 0)
                                    this->resetClaim();
                                else
                                    this->leaseSentAt = this->callSentAt;
                            });
}

void LeaderRole::resetClaim()
{
    this->holderRevision = 0;
}

void LeaderRole::commit(const std::vector<KvPut> &puts, std::function<void(CommitResult)> done)
{
    KvTxn txn;
    txn.puts = puts;
    this->commit(std::move(txn), std::move(done));
}

void LeaderRole::commit(KvTxn txn, std::function<void(CommitResult)> done)
{
    if (!this->isHeld())
        return done(CommitResult::Lost);
    txn.compares.push_back({this->holderKey(), this->holderRevision});
    this->kv.txn(txn,
                 [this, claim = this->ownClaim.id, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](
                     const KvTxnResult &result) {
                     if (alive.expired())
                         return;
                     if (result.status != KvStatus::Ok || !this->isHeld() || this->ownClaim.id != claim)
                         return done(CommitResult::Unknown);
                     if (!result.succeeded)
                         this->resetClaim();
                     done(result.succeeded ? CommitResult::Committed : CommitResult::Lost);
                 });
}

void LeaderRole::release()
{
    if (!this->isHeld())
        return;
    KvTxn txn;
    txn.compares = {{this->holderKey(), this->holderRevision}};
    txn.deletes = {this->holderKey()};
    this->kv.txn(txn, [](const KvTxnResult &) {});
    this->resetClaim();
    this->ownClaim = {};
}

std::string LeaderRole::holderKey() const
{
    return this->settings.key + "/holder";
}

std::string LeaderRole::tokenKey() const
{
    return this->settings.key + "/token";
}

} // namespace hemlock
