#include "relay/storewatcher.h"

#include "bootclock.h"
#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

/// Time for the read after a lost answer: it has to start, and a slow store has to answer it on a new connection.
/// Includes the time in which the last request routed by the older state reaches its upstream.
constexpr std::chrono::milliseconds rereadTime{700};

constexpr std::chrono::milliseconds minPollTimeout{300};

/// Wait of the poll after a failed one. Its answer tells at once whether the store works.
constexpr std::chrono::milliseconds confirmingWait{1};

} // namespace

std::chrono::milliseconds longPollTimeout(std::chrono::milliseconds bound, std::chrono::milliseconds batchDelay)
{
    return std::max(minPollTimeout, bound - batchDelay - KvAccess::responseGracePeriod - rereadTime);
}

class StoreWatcher::Private : public std::enable_shared_from_this<StoreWatcher::Private>
{
public:
    Private(asio::io_context &loop, KvAccess kv, StoreWatcherSettings settings, StoreWatcherHooks hooks)
        : kv(std::move(kv))
        , settings(std::move(settings))
        , hooks(std::move(hooks))
        , timer(loop)
        , retryDelay(this->settings.initialRetryDelay)
    {
    }

    void load()
    {
        this->pendingEntries.clear();
        this->snapshotRevision = 0;
        this->readStarted = bootTimeNow();
        this->loadPage({});
    }

    void loadPage(const std::string &after)
    {
        this->kv.readPage(this->settings.prefix,
                          after,
                          [weak = this->weak_from_this(), begunReloads = this->reloads](const KvPage &page) {
                              const auto self = weak.lock();
                              if (self && self->reloads == begunReloads)
                                  self->pageLoaded(page);
                          });
    }

    void pageLoaded(const KvPage &page)
    {
        if (page.range.status != KvStatus::Ok)
            return this->retry(page.range.error, [](Private &self) { self.load(); });
        // Pages are read one after another. Polling starts from the first page's revision, so that changes between
        // pages are not missed.
        if (this->snapshotRevision == 0)
            this->snapshotRevision = page.range.revision;
        for (const KvEntry &entry : page.range.entries)
            this->pendingEntries[entry.key] = entry.value;
        if (page.hasMore && !page.range.entries.empty())
            return this->loadPage(page.range.entries.back().key);
        if (this->snapshotRevision < this->revision && !this->mayGoBack)
            return this->retry("the store answered with an older state", [](Private &self) { self.load(); });
        this->recordAnswer();
        const bool isFirst = this->revision == 0;
        this->revision = this->snapshotRevision;
        this->mayGoBack = false;
        this->logRead("all", this->pendingEntries.size());
        this->hooks.snapshotLoaded(std::exchange(this->pendingEntries, {}));
        if (!isFirst || this->settings.firstPollDelay.count() == 0)
            return this->poll();
        this->runAfter(this->settings.firstPollDelay, [](Private &self) { self.poll(); });
    }

    void poll()
    {
        this->isPolling = true;
        this->readStarted = bootTimeNow();
        this->cancelPoll = this->kv.waitForChanges(this->settings.prefix,
                                                   this->revision,
                                                   this->lastReadFailed ? confirmingWait : this->settings.pollTimeout,
                                                   [weak = this->weak_from_this()](const KvChanges &changes) {
                                                       if (const auto self = weak.lock())
                                                           self->pollFinished(changes);
                                                   });
    }

    void failPoll(const std::string &error)
    {
        if (!this->isPolling)
            return;
        this->cancelPoll();
        KvChanges failure;
        failure.error = error;
        this->pollFinished(failure);
    }

    void reload()
    {
        if (std::exchange(this->isPolling, false))
            this->cancelPoll();
        this->timer.cancel();
        ++this->reloads;
        this->mayGoBack = true;
        this->retryDelay = this->settings.initialRetryDelay;
        this->load();
    }

    void restartPoll()
    {
        if (!this->isPolling)
            return;
        this->cancelPoll();
        this->poll();
    }

    void pollFinished(const KvChanges &changes)
    {
        this->isPolling = false;
        if (changes.isCompacted)
            return this->load();
        if (changes.status != KvStatus::Ok) {
            // Keys may expire unnoticed while the store is unreachable, so a full read follows.
            return this->retry(changes.error, [](Private &self) {
                if (self.isReachable)
                    self.poll();
                else
                    self.load();
            });
        }
        this->recordAnswer();
        this->revision = std::max(this->revision, changes.revision);
        if (!changes.events.empty()) {
            this->logRead("changes", changes.events.size());
            this->hooks.keysChanged(changes.events);
        }
        if (changes.events.empty() || this->settings.batchDelay.count() == 0)
            return this->poll();
        this->runAfter(this->settings.batchDelay, [](Private &self) { self.poll(); });
    }

    void retry(const std::string &error, std::function<void(Private &)> action)
    {
        logEvent(LogLevel::Info,
                 "store-read-failed",
                 {{"prefix", this->settings.prefix},
                  {"error", error},
                  {"askedMsAgo",
                   std::chrono::duration_cast<std::chrono::milliseconds>(bootTimeNow() - this->readStarted).count()}});
        if (std::exchange(this->lastReadFailed, true))
            this->setReachable(false, error);
        this->runAfter(this->retryDelay, std::move(action));
        this->retryDelay = std::min(this->retryDelay * 2, this->settings.maxRetryDelay);
    }

    void runAfter(std::chrono::milliseconds delay, std::function<void(Private &)> action)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait([weak = this->weak_from_this(),
                                action = std::move(action),
                                begunReloads = this->reloads](const asio::error_code &failure) {
            const auto self = weak.lock();
            if (!failure && self && self->reloads == begunReloads)
                action(*self);
        });
    }

    void recordAnswer()
    {
        this->lastRead = {this->readStarted, bootTimeNow()};
        this->setReachable(true, {});
    }

    void logRead(const char *kind, std::size_t entries) const
    {
        const auto took = this->lastRead.answered - this->lastRead.requested;
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
            this->retryDelay = this->settings.initialRetryDelay;
            this->lastReadFailed = false;
        }
        if (this->isReachable == reachable)
            return;
        this->isReachable = reachable;
        if (this->hooks.reachabilityChanged)
            this->hooks.reachabilityChanged(reachable, error);
    }

    KvAccess kv;
    StoreWatcherSettings settings;
    StoreWatcherHooks hooks;
    asio::steady_timer timer;
    std::chrono::milliseconds retryDelay;
    std::function<void()> cancelPoll;
    std::map<std::string, std::string> pendingEntries;
    std::int64_t snapshotRevision = 0;
    std::int64_t revision = 0;
    std::chrono::steady_clock::time_point readStarted; ///< Start of the read in progress.
    StoreReadTimes lastRead;
    bool isReachable = false;
    bool lastReadFailed = false;
    bool mayGoBack = false; ///< The next full read counts whatever its revision.
    int reloads = 0; ///< Number of calls of reload().
    bool isPolling = false; ///< A long poll is in progress.
};

StoreWatcher::StoreWatcher(asio::io_context &loop, KvAccess kv, StoreWatcherSettings settings, StoreWatcherHooks hooks)
    : d(std::make_shared<Private>(loop, std::move(kv), std::move(settings), std::move(hooks)))
{
}

StoreWatcher::~StoreWatcher()
{
    if (this->d->cancelPoll)
        this->d->cancelPoll();
}

void StoreWatcher::start()
{
    this->d->load();
}

void StoreWatcher::failPoll(const std::string &error)
{
    this->d->failPoll(error);
}

void StoreWatcher::restartPoll()
{
    this->d->restartPoll();
}

void StoreWatcher::reload()
{
    this->d->reload();
}

std::int64_t StoreWatcher::revision() const
{
    return this->d->revision;
}

const StoreReadTimes &StoreWatcher::lastRead() const
{
    return this->d->lastRead;
}

} // namespace hemlock
