#pragma once

#include "kvaccess.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace hemlock {

/// Era of the store: a number that rises each time the store is restored from an older copy of its content.
///
/// What was written after the copy was made is lost, and its revisions are given out again, so that revisions of
/// different eras cannot be compared. A store that tells no era is never restored.
class StoreEra
{
public:
    /// Called when the store turns out to have been restored, before the answer that tells so is passed on; @p before
    /// is the era of all earlier answers.
    using RestoredHook = std::function<void(std::int64_t before, std::int64_t era)>;

    void setRestoredHook(RestoredHook hook);

    /// Latest era of an answer; 0 before the first one that tells an era.
    std::int64_t current() const;

    /// Records the era of an answer. Returns false if it is an earlier one, so that the answer is outdated.
    bool observe(std::int64_t era);

    /// Calls of @p kv whose answers are observed. Outdated answers fail, and so does a wait for changes that began in
    /// an earlier era, since its revision does not belong to the era of its answer. Must outlive the result.
    KvAccess observed(const KvAccess &kv);

private:
    template <class Result>
    std::function<void(const Result &)> observing(std::function<void(const Result &)> done);

    std::int64_t currentEra = 0;
    RestoredHook restored;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
