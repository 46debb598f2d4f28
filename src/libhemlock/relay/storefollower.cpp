#include "relay/storefollower.h"

#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

/// Until the next read has begun and a slow store has answered it on a new connection, and the last request that was
/// decided by older news has reached its upstream.
constexpr std::chrono::milliseconds freshReadTime{700};

constexpr std::chrono::milliseconds leastWait{300};

} // namespace

std::chrono::milliseconds longestWait(std::chrono::milliseconds bound, std::chrono::milliseconds changePause)
{
    return std::max(leastWait, bound - changePause - KvAccess::answerSlack - freshReadTime);
}

class StoreFollower::Private : public std::enable_shared_from_this<StoreFollower::Private>
{
public:
    Private(asio::io_context &loop, KvAccess kv, StoreFollowerSettings settings, StoreFollowerHooks hooks)
        : kv(std::move(kv))
        , settings(std::move(settings))
        , hooks(std::move(hooks))
        , timer(loop)
        , pause(this->settings.retryPause)
    {
    }

    void load()
    {
        this->loading.clear();
        this->loadRevision = 0;
        this->asked = std::chrono::steady_clock::now();
        this->loadPage({});
    }

    void loadPage(const std::string &after)
    {
        this->kv.page(this->settings.prefix, after, [weak = this->weak_from_this()](const KvPage &page) {
            if (const auto self = weak.lock())
                self->pageLoaded(page);
        });
    }

    void pageLoaded(const KvPage &page)
    {
        if (page.range.status != KvStatus::Ok)
            return this->retry(page.range.error, [](Private &self) { self.load(); });
        // Pages are read one after another; changes between them come again from the first page's revision on.
        if (this->loadRevision == 0)
            this->loadRevision = page.range.revision;
        for (const KvEntry &entry : page.range.entries)
            this->loading[entry.key] = entry.value;
        if (page.hasMore && !page.range.entries.empty())
            return this->loadPage(page.range.entries.back().key);
        if (this->loadRevision < this->revision)
            return this->retry("the store answered with an older state", [](Private &self) { self.load(); });
        this->noteAnswer();
        this->revision = this->loadRevision;
        this->logRead("all", this->loading.size());
        this->hooks.loaded(std::exchange(this->loading, {}));
        this->follow();
    }

    void follow()
    {
        this->isFollowing = true;
        this->asked = std::chrono::steady_clock::now();
        this->stop = this->kv.changes(this->settings.prefix,
                                      this->revision,
                                      this->settings.wait,
                                      [weak = this->weak_from_this()](const KvChanges &changes) {
                                          if (const auto self = weak.lock())
                                              self->changesRead(changes);
                                      });
    }

    void interrupt(const std::string &error)
    {
        if (!this->isFollowing)
            return;
        this->stop();
        KvChanges failure;
        failure.error = error;
        this->changesRead(failure);
    }

    void renew()
    {
        if (!this->isFollowing)
            return;
        this->stop();
        this->follow();
    }

    void changesRead(const KvChanges &changes)
    {
        this->isFollowing = false;
        if (changes.isCompacted)
            return this->load();
        if (changes.status != KvStatus::Ok) {
            // Keys may lapse unseen while the store is away, so that a full read follows.
            return this->retry(changes.error, [](Private &self) {
                if (self.isReachable)
                    self.follow();
                else
                    self.load();
            });
        }
        this->noteAnswer();
        this->revision = std::max(this->revision, changes.revision);
        if (!changes.events.empty()) {
            this->logRead("changes", changes.events.size());
            this->hooks.changed(changes.events);
        }
        if (changes.events.empty() || this->settings.changePause.count() == 0)
            return this->follow();
        this->after(this->settings.changePause, [](Private &self) { self.follow(); });
    }

    void retry(const std::string &error, std::function<void(Private &)> action)
    {
        logEvent(LogLevel::Info,
                 "store-read-failed",
                 {{"prefix", this->settings.prefix},
                  {"error", error},
                  {"askedMsAgo",
                   std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->asked)
                       .count()}});
        if (std::exchange(this->hasFailed, true))
            this->setReachable(false, error);
        this->after(this->pause, std::move(action));
        this->pause = std::min(this->pause * 2, this->settings.longestPause);
    }

    void after(std::chrono::milliseconds time, std::function<void(Private &)> action)
    {
        this->timer.expires_after(time);
        this->timer.async_wait(
            [weak = this->weak_from_this(), action = std::move(action)](const asio::error_code &failure) {
                const auto self = weak.lock();
                if (!failure && self)
                    action(*self);
            });
    }

    void noteAnswer()
    {
        this->lastRead = {this->asked, std::chrono::steady_clock::now()};
        this->setReachable(true, {});
    }

    void logRead(const char *kind, std::size_t entries) const
    {
        const auto took = this->lastRead.answered - this->lastRead.asked;
        logEvent(LogLevel::Info,
                 "store-read",
                 {{"prefix", this->settings.prefix},
                  {"kind", kind},
                  {"entries", entries},
                  {"revision", this->revision},
                  {"tookMs", std::chrono::duration_cast<std::chrono::milliseconds>(took).count()}});
    }

    void setReachable(bool reachable, const std::string &error)
    {
        if (reachable) {
            this->pause = this->settings.retryPause;
            this->hasFailed = false;
        }
        if (this->isReachable == reachable)
            return;
        this->isReachable = reachable;
        if (this->hooks.reachabilityChanged)
            this->hooks.reachabilityChanged(reachable, error);
    }

    KvAccess kv;
    StoreFollowerSettings settings;
    StoreFollowerHooks hooks;
    asio::steady_timer timer;
    std::chrono::milliseconds pause;
    std::function<void()> stop;
    std::map<std::string, std::string> loading;
    std::int64_t loadRevision = 0;
    std::int64_t revision = 0;
    std::chrono::steady_clock::time_point asked; ///< Begin of the read in progress.
    StoreReadTimes lastRead;
    bool isReachable = false;
    bool hasFailed = false; ///< The latest read.
    bool isFollowing = false; ///< A waiting read is on its way.
};

StoreFollower::StoreFollower(asio::io_context &loop,
                             KvAccess kv,
                             StoreFollowerSettings settings,
                             StoreFollowerHooks hooks)
    : d(std::make_shared<Private>(loop, std::move(kv), std::move(settings), std::move(hooks)))
{
}

StoreFollower::~StoreFollower()
{
    if (this->d->stop)
        this->d->stop();
}

void StoreFollower::start()
{
    this->d->load();
}

void StoreFollower::interrupt(const std::string &error)
{
    this->d->interrupt(error);
}

void StoreFollower::renew()
{
    this->d->renew();
}

std::int64_t StoreFollower::revision() const
{
    return this->d->revision;
}

const StoreReadTimes &StoreFollower::lastRead() const
{
    return this->d->lastRead;
}

} // namespace hemlock
