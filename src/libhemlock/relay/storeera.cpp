#include "relay/storeera.h"

#include "kvanswers.h"
#include "logger.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlock {

namespace {

template <class Result>
std::int64_t eraOf(const Result &result)
{
    return result.era;
}

std::int64_t eraOf(const KvPage &page)
{
    return page.range.era;
}

void setFailed(KvPage &page, const std::string &error)
{
    page.range.error = error;
}

template <class Result>
void setFailed(Result &result, const std::string &error)
{
    result.error = error;
}

} // namespace

void StoreEra::setRestoredHook(RestoredHook hook)
{
    this->restored = std::move(hook);
}

std::int64_t StoreEra::current() const
{
    return this->currentEra;
}

bool StoreEra::observe(std::int64_t era)
{
    // Failed calls tell no era.
    if (era == 0 || era == this->currentEra)
        return true;
    if (era < this->currentEra)
        return false;
    const std::int64_t before = std::exchange(this->currentEra, era);
    logEvent(before == 0 ? LogLevel::Info : LogLevel::Warning, "store-era", {{"era", era}, {"before", before}});
    if (before != 0 && this->restored)
        this->restored(before, era);
    return true;
}

template <class Result>
std::function<void(const Result &)> StoreEra::observing(std::function<void(const Result &)> done)
{
    return [this, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const Result &result) {
        if (alive.expired())
            return;
        if (this->observe(eraOf(result)))
            return done(result);
        // The status of a new result is unknown.
        Result outdated;
        setFailed(outdated, "the answer is of an earlier era of the store");
        done(outdated);
    };
}

KvAccess StoreEra::observed(const KvAccess &kv)
{
    KvAccess access = withWrappedAnswers(kv, [this](auto done) { return this->observing(std::move(done)); });
    access.waitForChanges = [this, call = access.waitForChanges](const std::string &prefix,
                                                                 std::int64_t revision,
                                                                 std::chrono::milliseconds wait,
                                                                 std::function<void(const KvChanges &)> done) {
        return call(
            prefix, revision, wait, [done = std::move(done), begun = this->currentEra](const KvChanges &changes) {
                if (begun == 0 || changes.era == 0 || changes.era == begun)
                    return done(changes);
                KvChanges failure;
                failure.error = "the store was restored";
                done(failure);
            });
    };
    return access;
}

} // namespace hemlock
