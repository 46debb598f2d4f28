#include "leaderrole.h"

#include "encoding.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace hemlock {

namespace {

/// Renewals during one lease duration, so that a single failed renewal does not lose the role.
constexpr int renewalsPerLease = 3;

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
    if (this->isCallPending || !this->claimTask.isDue(now, this->settings.ttl / renewalsPerLease, random))
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
    return this->isHeld() ? this->token : 0;
}

void LeaderRole::readRecords()
{
    this->kv.range(
        this->settings.key + "/", true, [this, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            if (result.status != KvStatus::Ok)
                return;
            std::int64_t tokenRevision = 0;
            std::int64_t lastToken = 0;
            for (const KvEntry &entry : result.entries) {
                if (entry.key == this->holderKey())
                    return;
                if (entry.key != this->tokenKey())
                    continue;
                tokenRevision = entry.modRevision;
                lastToken = parseToken(entry.value);
            }
            // A malformed token is not overwritten: restarting the count could reuse a fencing token.
            if (lastToken >= 0)
                this->grantLease(tokenRevision, lastToken + 1);
        });
}

void LeaderRole::grantLease(std::int64_t tokenRevision, std::int64_t newToken)
{
    this->isCallPending = true;
    this->kv.grantLease(
        this->settings.ttl,
        [this, tokenRevision, newToken, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            if (result.status == KvStatus::Ok && result.lease != 0)
                this->claim(result.lease, tokenRevision, newToken);
        });
}

void LeaderRole::claim(std::int64_t newLease, std::int64_t tokenRevision, std::int64_t newToken)
{
    const std::string claimId = makeUniqueId();
    const nlohmann::json record = {{"holder", this->settings.holder}, {"token", newToken}, {"claim", claimId}};
    KvTxn txn;
    txn.compares = {{this->holderKey(), 0}, {this->tokenKey(), tokenRevision}};
    txn.puts = {{this->holderKey(), record.dump(), newLease}, {this->tokenKey(), std::to_string(newToken), 0}};
    this->isCallPending = true;
    this->kv.txn(
        txn, [this, claimId, newLease, newToken, alive = std::weak_ptr<bool>(this->alive)](const KvTxnResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            if (result.status == KvStatus::Unknown)
                this->resolveClaim(claimId, newLease, newToken);
            else if (result.status == KvStatus::Ok && result.succeeded)
                this->becomeHolder(result.revision, newLease, newToken);
        });
}

void LeaderRole::resolveClaim(const std::string &claimId, std::int64_t newLease, std::int64_t newToken)
{
    this->isCallPending = true;
    this->kv.range(
        this->holderKey(),
        false,
        [this, claimId, newLease, newToken, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            // Without an answer the claim expires with its lease, and a later tick reads the records again.
            if (result.status != KvStatus::Ok || result.entries.empty())
                return;
            const KvEntry &entry = result.entries.front();
            if (claimIdOf(entry.value) == claimId)
                this->becomeHolder(entry.modRevision, newLease, newToken);
        });
}

void LeaderRole::becomeHolder(std::int64_t newHolderRevision, std::int64_t newLease, std::int64_t newToken)
{
    this->holderRevision = newHolderRevision;
    this->leaseSentAt = this->callSentAt;
    this->lease = newLease;
    this->token = newToken;
}

void LeaderRole::renew()
{
    this->kv.keepLeaseAlive(this->lease, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
        if (alive.expired())
            return;
        this->isCallPending = false;
        if (result.status != KvStatus::Ok)
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
    this->lease = 0;
    this->token = 0;
}

void LeaderRole::commit(const std::vector<KvPut> &puts, std::function<void(CommitResult)> done)
{
    if (!this->isHeld())
        return done(CommitResult::Lost);
    KvTxn txn;
    txn.compares = {{this->holderKey(), this->holderRevision}};
    txn.puts = puts;
    this->kv.txn(txn,
                 [this, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const KvTxnResult &result) {
                     if (alive.expired())
                         return;
                     if (result.status != KvStatus::Ok)
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
