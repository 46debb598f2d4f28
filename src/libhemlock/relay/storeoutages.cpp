#include "relay/storeoutages.h"

#include "kvanswers.h"

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

template <class Result>
bool isAnswered(const Result &result)
{
    return result.status == KvStatus::Ok;
}

bool isAnswered(const KvPage &page)
{
    return page.range.status == KvStatus::Ok;
}

bool isAnswered(const KvChanges &changes)
{
    return changes.status == KvStatus::Ok || changes.isCompacted;
}

} // namespace

StoreOutages::StoreOutages(std::chrono::milliseconds minOutage, std::function<TimePoint()> now)
    : minOutage(minOutage)
    , now(std::move(now))
{
}

bool StoreOutages::hasEndedAfter(TimePoint time) const
{
    return this->lastOutageEnd && *this->lastOutageEnd > time;
}

StoreOutages::TimePoint StoreOutages::recordCall()
{
    const TimePoint sent = this->now();
    if (!this->silentSince)
        this->silentSince = sent;
    return sent;
}

void StoreOutages::recordEnd(TimePoint sent, bool isAnswered)
{
    if (!isAnswered) {
        // The store was still known to work when it answered a later call.
        const TimePoint since = std::max(sent, this->lastAnswer);
        this->silentSince = std::min(this->silentSince.value_or(since), since);
        return;
    }
    this->lastAnswer = this->now();
    if (this->silentSince && this->lastAnswer - *this->silentSince >= this->minOutage)
        this->lastOutageEnd = this->lastAnswer;
    this->silentSince.reset();
}

template <class Result>
std::function<void(const Result &)> StoreOutages::observing(std::function<void(const Result &)> done)
{
    return [this, done = std::move(done), sent = this->recordCall(), alive = std::weak_ptr<bool>(this->alive)](
               const Result &result) {
        if (alive.expired())
            return;
        this->recordEnd(sent, isAnswered(result));
        done(result);
    };
}

KvAccess StoreOutages::observed(const KvAccess &kv)
{
    KvAccess access = withWrappedAnswers(kv, [this](auto done) { return this->observing(std::move(done)); });
    access.ping = [this, call = kv.ping](std::function<void(KvStatus, const std::string &)> done) {
        call([this, done = std::move(done), sent = this->recordCall(), alive = std::weak_ptr<bool>(this->alive)](
                 KvStatus status, const std::string &error) {
            if (alive.expired())
                return;
            this->recordEnd(sent, status == KvStatus::Ok);
            done(status, error);
        });
    };
    return access;
}

} // namespace hemlock
