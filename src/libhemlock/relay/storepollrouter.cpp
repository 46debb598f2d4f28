#include "relay/storepollrouter.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlock {

namespace {

/// Wait of a poll whose answer is needed at once: the first one of a VM that starts to read the store for others, and
/// one that a peer could not answer.
constexpr std::chrono::milliseconds confirmingWait{1};

/// Time after the wait of a poll by which its answer has arrived: the longest delay before the poll and the grace
/// period of its answer.
constexpr std::chrono::milliseconds validityMargin{900};

} // namespace

/// A long poll in progress, at a peer or at the store.
class StorePollRouter::Poll
{
public:
    StorePoll request;
    std::function<void(const KvChanges &)> done;
    std::function<void()> cancel; ///< Of the call in progress.
    bool isCancelled = false;
    bool isFallback = false; ///< Sent to the store because a peer could not answer.
};

StorePollRouter::StorePollRouter(KvAccess kv, StorePollRouterHooks hooks, StorePollRouterSettings settings)
    : kv(std::move(kv))
    , hooks(std::move(hooks))
    , settings(settings)
{
}

KvAccess StorePollRouter::access()
{
    KvAccess access = this->kv;
    access.waitForChanges = [this](const std::string &prefix,
                                   std::int64_t revision,
                                   std::chrono::milliseconds wait,
                                   std::function<void(const KvChanges &)> done) {
        return this->start({prefix, revision, wait}, std::move(done));
    };
    access.readPage =
        [this](const std::string &prefix, const std::string &after, std::function<void(const KvPage &)> done) {
            this->kv.readPage(
                prefix,
                after,
                [this, prefix, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const KvPage &page) {
                    if (alive.expired())
                        return;
                    if (page.range.status != KvStatus::Ok)
                        this->pollServer.storeLost(prefix);
                    else if (!page.hasMore)
                        this->storeAnswered(prefix);
                    done(page);
                });
        };
    return access;
}

StorePollServer &StorePollRouter::server()
{
    return this->pollServer;
}

void StorePollRouter::handlePoll(const StorePoll &poll, StorePollServer::Answer answer)
{
    if (this->hooks.eraTold)
        this->hooks.eraTold(poll.era);
    const TimePoint now = this->hooks.now();
    const bool wasReading = this->readsStore();
    this->pollServer.poll(poll, std::move(answer), now);
    if (wasReading)
        return;
    this->readerNode.clear();
    this->hooks.restartPolls();
}

void StorePollRouter::tick()
{
    const TimePoint now = this->hooks.now();
    this->pollServer.tick(now);
    std::erase_if(this->failedUntil, [now](const auto &entry) { return now >= entry.second; });
    // The answer of the store is not exchanged for that of another peer, which may fail as well.
    if (this->fallbackPolls > 0)
        return;
    const auto reader = this->currentReader();
    const std::string node = reader ? reader->node : std::string();
    if (node == this->readerNode)
        return;
    logEvent(LogLevel::Info, "store-reader", {{"reader", node}, {"before", this->readerNode}});
    this->readerNode = node;
    this->hooks.restartPolls();
}

bool StorePollRouter::readsStore() const
{
    return this->readerNode.empty();
}

std::uint64_t StorePollRouter::storePollCount() const
{
    return this->storePolls;
}

std::uint64_t StorePollRouter::peerPollCount() const
{
    return this->peerPolls;
}

std::optional<StoreReader> StorePollRouter::currentReader() const
{
    const TimePoint now = this->hooks.now();
    // A VM that is asked reads the store itself, so that answers never pass through two VMs.
    if (this->pollServer.isAsked(now))
        return std::nullopt;
    std::set<std::string> excluded;
    for (const auto &[node, until] : this->failedUntil) {
        if (now < until)
            excluded.insert(node);
    }
    return this->hooks.reader(excluded);
}

std::function<void()> StorePollRouter::start(const StorePoll &request, std::function<void(const KvChanges &)> done)
{
    const auto poll = std::make_shared<Poll>();
    poll->request = request;
    poll->request.era = this->hooks.era ? this->hooks.era() : 0;
    poll->done = std::move(done);
    this->waits[request.prefix] = request.wait;
    const auto reader = this->currentReader();
    if (reader)
        this->askReader(poll, *reader);
    else
        this->askStore(poll, this->needsConfirmation(request.prefix) ? confirmingWait : request.wait);
    return [this, poll] {
        poll->isCancelled = true;
        if (std::exchange(poll->isFallback, false))
            --this->fallbackPolls;
        if (poll->cancel)
            poll->cancel();
    };
}

void StorePollRouter::askReader(const std::shared_ptr<Poll> &poll, const StoreReader &reader)
{
    ++this->peerPolls;
    poll->cancel = this->hooks.askPeer(
        reader.address,
        poll->request,
        [this, poll, node = reader.node, alive = std::weak_ptr<bool>(this->alive)](const PeerPollResult &result) {
            if (!alive.expired() && !poll->isCancelled)
                this->peerAnswered(poll, node, result);
        });
}

void StorePollRouter::peerAnswered(const std::shared_ptr<Poll> &poll,
                                   const std::string &node,
                                   const PeerPollResult &result)
{
    if (result.status == PeerPollResult::Status::Answered) {
        const bool isCurrent = !this->hooks.eraTold || this->hooks.eraTold(result.changes.era);
        // A later era has made this VM read everything anew.
        if (poll->isCancelled)
            return;
        if (isCurrent && result.changes.era == poll->request.era)
            return poll->done(result.changes);
        // The reader is in another era than this poll.
        KvChanges failure;
        failure.error = "the peer answered from another era of the store";
        return poll->done(failure);
    }
    this->failedUntil[node] = this->hooks.now() + this->settings.failedPeerTime;
    logEvent(LogLevel::Info,
             "store-reader-failed",
             {{"reader", node}, {"prefix", poll->request.prefix}, {"error", result.error}});
    // A reader that has lost the store may be cut off alone.
    poll->isFallback = true;
    ++this->fallbackPolls;
    this->askStore(poll, confirmingWait);
}

bool StorePollRouter::needsConfirmation(const std::string &prefix) const
{
    const TimePoint now = this->hooks.now();
    return this->pollServer.isAsked(now) && !this->pollServer.isCurrent(prefix, now);
}

void StorePollRouter::askStore(const std::shared_ptr<Poll> &poll, std::chrono::milliseconds wait)
{
    ++this->storePolls;
    poll->cancel =
        this->kv.waitForChanges(poll->request.prefix,
                                poll->request.revision,
                                wait,
                                [this, poll, prefix = poll->request.prefix, alive = std::weak_ptr<bool>(this->alive)](
                                    const KvChanges &changes) {
                                    if (alive.expired() || poll->isCancelled)
                                        return;
                                    if (std::exchange(poll->isFallback, false))
                                        --this->fallbackPolls;
                                    if (changes.status == KvStatus::Ok)
                                        this->storeAnswered(prefix);
                                    else if (!changes.isCompacted)
                                        this->pollServer.storeLost(prefix);
                                    poll->done(changes);
                                });
}

void StorePollRouter::storeAnswered(const std::string &prefix)
{
    this->pollServer.storeAnswered(prefix, this->hooks.now() + this->waits[prefix] + validityMargin);
}

void StorePollRouter::storeLost()
{
    if (!this->readsStore())
        return;
    for (const auto &[prefix, wait] : this->waits)
        this->pollServer.storeLost(prefix);
}

} // namespace hemlock
